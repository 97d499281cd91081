package snapshot

// Names of the calls to control that read and restore snapshots.
const (
	SnapshotCall = "harbour.snapshot"
	RestoreCall  = "harbour.restore"
)

// ReadRequest is the body of SnapshotCall.
type ReadRequest struct {
	Snapshot  string `json:"snapshot,omitempty"` // name of the snapshot, empty for a new one of the current items
	FirstItem int    `json:"from,omitempty"`     // index of the first item of the requested chunk
}

// ReadResponse is the response to SnapshotCall.
type ReadResponse struct {
	Snapshot   string `json:"snapshot"` // name of the snapshot
	Chunk      []byte `json:"chunk"`    // result of EncodeChunk, base64 in JSON
	NextItem   int    `json:"next"`     // index of the first item of the next chunk
	TotalItems int    `json:"items"`    // number of items in the snapshot
	Done       bool   `json:"done"`     // whether this is the last chunk
}

// RestoreRequest is the body of RestoreCall.
type RestoreRequest struct {
	Chunk []byte `json:"chunk"` // result of EncodeChunk, base64 in JSON
}

// RestoreResponse is the response to RestoreCall.
type RestoreResponse struct {
	Snapshot      string `json:"snapshot"` // name of the snapshot being restored, empty before its first chunk
	ReceivedItems int    `json:"have"`     // number of items received, also the index of the first item of the next chunk
	InForce       bool   `json:"done"`     // whether the cluster has applied the snapshot
}
