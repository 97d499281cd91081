package snapshot

// The names of the calls of control that read and restore snapshots.
const (
	SnapshotCall = "harbour.snapshot"
	RestoreCall  = "harbour.restore"
)

// ReadRequest is the body of SnapshotCall: the name of a snapshot, empty for a new one, and the item that the chunk begins with.
type ReadRequest struct {
	Snapshot  string `json:"snapshot,omitempty"`
	FirstItem int    `json:"from,omitempty"`
}

// ReadResponse is the answer to SnapshotCall.
type ReadResponse struct {
	Snapshot   string `json:"snapshot"`
	Chunk      []byte `json:"chunk"` // base64 in JSON
	NextItem   int    `json:"next"`
	TotalItems int    `json:"items"`
	Done       bool   `json:"done"`
}

// RestoreRequest is the body of RestoreCall.
type RestoreRequest struct {
	Chunk []byte `json:"chunk"`
}

// RestoreResponse is the answer to RestoreCall: how many items of which snapshot were received, and whether they are in force.
type RestoreResponse struct {
	Snapshot      string `json:"snapshot"`
	ReceivedItems int    `json:"have"`
	InForce       bool   `json:"done"`
}
