package update

// Transfer is a snapshot that is being sent to one proxy.
type Transfer struct {
	Snapshot *Snapshot
	next     int // index of the chunk to send next
}

// NewTransfer returns a transfer that begins with what the proxy doesn't have.
func NewTransfer(snapshot *Snapshot, progress Progress) *Transfer {
	return &Transfer{Snapshot: snapshot, next: snapshot.NextChunk(progress)}
}

// Next returns the messages that may be sent now, after the proxy has acknowledged progress. done says that with them all have been
// sent, and that the changes since the snapshot follow.
func (t *Transfer) Next(progress Progress) (messages [][]byte, done bool) {
	acknowledged := min(t.Snapshot.NextChunk(progress), t.next)
	end := min(len(t.Snapshot.Messages), acknowledged+ChunkWindow)
	if end > t.next {
		messages = t.Snapshot.Messages[t.next:end]
		t.next = end
	}
	return messages, t.next == len(t.Snapshot.Messages)
}
