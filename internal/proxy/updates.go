package proxy

import (
	"errors"
	"time"

	"portflow/internal/cluster/update"
	"portflow/internal/proxy/endpoint"
)

// updateClockOffset goes by what a word tells of the clock of who says it.
func (p *Proxy) updateClockOffset(k *controlLink, w update.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.Hello != nil {
		k.clockOffset.Observe(w.Hello.Now, p.clock())
	}
	k.clockOffset.Observe(w.Now, p.clock())
}

// takeChunk takes a snapshot's chunk. Nothing of it is in force before the whole is there with what came since.
func (p *Proxy) takeChunk(k *controlLink, c update.Chunk) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := k.incoming.Add(c); err != nil {
		k.stream.Close(err)
		return
	}
	k.lastChunkAt = time.Now()
	part := k.incoming.Progress()
	k.stream.Send(update.Message{Progress: &part})
}

// dropStaleSnapshot lets a part of a snapshot go whose rest nobody keeps any more.
func (p *Proxy) dropStaleSnapshot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control != nil && time.Since(p.control.lastChunkAt) > partialSnapshotLifetime {
		p.control.incoming.Reset()
	}
}

// takeUpdate takes a batch of news.
func (p *Proxy) takeUpdate(k *controlLink, n update.Batch) {
	p.mu.Lock()
	if notes, ok := k.incoming.Finish(n); ok { // the snapshot and what came since, in one step
		n.Changes, n.Snapshot = notes, true
	} else if n.Snapshot {
		k.incoming.Reset()
	}
	if !k.subscription.Advance(n.Incarnation, n.From, n.To, n.Snapshot) {
		p.mu.Unlock()
		k.stream.Close(errors.New("news does not follow"))
		return
	}
	for i := range n.Changes {
		n.Changes[i] = n.Changes[i].ToLocal(k.clockOffset)
	}
	p.publish(p.endpoints.ApplyAt(endpoint.Position{Epoch: n.Epoch, Number: n.Number}, n.Changes, n.Snapshot))
	k.stream.Send(update.Message{Ack: n.To})
	p.mu.Unlock()
	if n.Snapshot {
		p.ready.Store(true)
		p.reportStatus()
	}
}
