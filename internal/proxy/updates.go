package proxy

import (
	"time"

	"portflow/internal/cluster/update"
	"portflow/internal/proxy/endpoint"
)

// updateClockOffset updates the clock offset of a link by the sender's time in a message, if it has one.
func (p *Proxy) updateClockOffset(link *controlLink, m update.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Hello != nil {
		link.clockOffset.Observe(m.Hello.Now, p.clock())
	}
	link.clockOffset.Observe(m.Now, p.clock())
}

// applyChunk adds a chunk of a snapshot and acknowledges it. The snapshot takes effect only once it is complete and the batch of the
// changes since then is received.
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

// dropStaleSnapshot drops a partial snapshot that is so old that control may not have the rest any more.
func (p *Proxy) dropStaleSnapshot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control != nil && time.Since(p.control.lastChunkAt) > partialSnapshotLifetime {
		p.control.incoming.Reset()
	}
}

// applyBatch applies a batch of changes or a snapshot. It closes the link if the batch doesn't follow the last one.
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

// publishBatch applies a batch to the endpoint table, publishes the result and acknowledges the batch. If the batch completes a snapshot
// that was received in chunks, it is replaced by that snapshot with the changes of the batch.
func (p *Proxy) publishBatch(link *controlLink, b *update.Batch) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if changes, ok := link.incoming.Finish(*b); ok { // the snapshot and the changes since then, in one step
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
