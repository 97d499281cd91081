package update

// Transfer sends a snapshot to one proxy, with a window of ChunkWindow chunks. It is not safe for concurrent use.
type Transfer struct {
	Snapshot *Snapshot
	next     int // index of the chunk to send next
}

// NewTransfer returns a transfer that starts with the first chunk that the proxy doesn't have.
func NewTransfer(snapshot *Snapshot, progress Progress) *Transfer {
	return &Transfer{Snapshot: snapshot, next: snapshot.NextChunk(progress)}
}

// Next returns the messages that the window allows to be sent once the proxy has acknowledged progress. done reports whether all
// messages have now been returned; the batch of the changes since the snapshot is to be sent after them.
func (t *Transfer) Next(progress Progress) (messages [][]byte, done bool) {
	acknowledged := min(t.Snapshot.NextChunk(progress), t.next)
	end := min(len(t.Snapshot.Messages), acknowledged+ChunkWindow)
	if end > t.next {
		messages = t.Snapshot.Messages[t.next:end]
		t.next = end
	}
	return messages, t.next == len(t.Snapshot.Messages)
}
