package server

import "portflow/internal/control/consensus"

// pendingCalls are the operations and reads that the consensus node has been given and hasn't answered. Each belongs to a call of
// Server.await, which removes it. The server's mu guards it.
type pendingCalls struct {
	lastTag uint64
	results map[uint64]chan consensus.Result // by tag; each has room for one result
}

func newPendingCalls() pendingCalls {
	return pendingCalls{results: map[uint64]chan consensus.Result{}}
}

// add makes a tag that was not used before, and the channel of its result.
func (p *pendingCalls) add() (tag uint64, result <-chan consensus.Result) {
	p.lastTag++
	ch := make(chan consensus.Result, 1)
	p.results[p.lastTag] = ch
	return p.lastTag, ch
}

// resolve sends an answer to the call that waits for it, if there still is one.
func (p *pendingCalls) resolve(answer consensus.Answer) {
	ch := p.results[answer.Tag]
	if ch == nil {
		return
	}
	delete(p.results, answer.Tag)
	ch <- answer.Result
}

// remove drops a call that doesn't wait any more.
func (p *pendingCalls) remove(tag uint64) { delete(p.results, tag) }

func (p *pendingCalls) len() int { return len(p.results) }
