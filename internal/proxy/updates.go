package proxy

import (
	"time"

	"portflow/internal/cluster/update"
	"portflow/internal/proxy/endpoint"
)

// updateClockOffset goes by what a message says of its sender's clock.
func (p *Proxy) updateClockOffset(link *controlLink, m update.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Hello != nil {
		link.clockOffset.Observe(m.Hello.Now, p.clock())
	}
	link.clockOffset.Observe(m.Now, p.clock())
}

// applyChunk adds a chunk of a snapshot. Nothing of the snapshot is in force before it is complete, with the changes since.
func (p *Proxy) applyChunk(link *controlLink, c update.Chunk) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := link.incoming.Add(c); err != nil {
		link.stream.Close(err)
		return
	}
	link.lastChunkAt = time.Now()
	progress := link.incoming.Progress()
	link.stream.Send(update.Message{Progress: &progress})
}

// dropStaleSnapshot drops a part of a snapshot whose rest no control process keeps any more.
func (p *Proxy) dropStaleSnapshot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control != nil && time.Since(p.control.lastChunkAt) > partialSnapshotLifetime {
		p.control.incoming.Reset()
	}
}

// applyBatch applies a batch of changes, or a snapshot; the link ends where the batch does not follow the one before.
func (p *Proxy) applyBatch(link *controlLink, b update.Batch) {
	if err := p.publishBatch(link, &b); err != nil {
		link.stream.Close(err)
		return
	}
	if b.Snapshot {
		p.ready.Store(true)
		p.reportStatus()
	}
}

// publishBatch publishes what the endpoint table is after a batch, and acknowledges the batch. A batch that completes a snapshot in
// chunks becomes that snapshot.
func (p *Proxy) publishBatch(link *controlLink, b *update.Batch) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if changes, ok := link.incoming.Finish(*b); ok { // the snapshot and the changes since, in one step
		b.Changes, b.Snapshot = changes, true
	} else if b.Snapshot {
		link.incoming.Reset()
	}
	if !link.subscription.Advance(b.Incarnation, b.From, b.To, b.Snapshot) {
		return errUpdateGap
	}
	for i := range b.Changes {
		b.Changes[i] = b.Changes[i].ToLocal(link.clockOffset)
	}
	p.publish(p.endpoints.ApplyAt(endpoint.Position{Epoch: b.Epoch, Number: b.Number}, b.Changes, b.Snapshot))
	link.stream.Send(update.Message{Ack: b.To})
	return nil
}
