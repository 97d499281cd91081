package proxy

import (
	"io"
	"net/http"
)

// reply is a host's answer: complete, or the beginning of a streamed one.
type reply struct {
	status      int
	header      http.Header
	body        []byte
	noBody      bool // by its kind; the header may state the length that it would have
	notRun      bool // the host says that it has not run the request
	misdirected bool // another host has the address
}

// streamedReply is an answer of which only the beginning has been read. Whoever takes it from clientRequest.streams reads the rest and
// reports the end on done.
type streamedReply struct {
	*reply
	length int64 // -1 where it isn't stated
	rest   io.Reader
	stop   func() // ends rest, also while it is read
	done   chan error
}
