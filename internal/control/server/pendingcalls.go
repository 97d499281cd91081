package server

import "portflow/internal/control/consensus"

// pendingCalls holds the operations and reads that the consensus node has not answered yet. Each belongs to a call of Server.await, which
// removes it. The server's mu guards it.
type pendingCalls struct {
	lastTag uint64
	results map[uint64]chan consensus.Result // by tag; each channel has capacity 1
}

func newPendingCalls() pendingCalls {
	return pendingCalls{results: map[uint64]chan consensus.Result{}}
}

// add returns a tag that was not used before and the channel that receives its result.
func (p *pendingCalls) add() (tag uint64, result <-chan consensus.Result) {
	p.lastTag++
	ch := make(chan consensus.Result, 1)
	p.results[p.lastTag] = ch
	return p.lastTag, ch
}

// resolve delivers an answer to the call that waits for it, if there still is one. It never blocks.
func (p *pendingCalls) resolve(answer consensus.Answer) {
	ch := p.results[answer.Tag]
	if ch == nil {
		return
	}
	delete(p.results, answer.Tag)
	ch <- answer.Result
}

// remove drops a call that no longer waits.
func (p *pendingCalls) remove(tag uint64) { delete(p.results, tag) }

func (p *pendingCalls) len() int { return len(p.results) }
