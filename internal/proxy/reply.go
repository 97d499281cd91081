package proxy

import (
	"io"
	"net/http"
)

// reply is a complete response from a host, or the beginning of a streamed one.
type reply struct {
	status      int
	header      http.Header
	body        []byte
	noBody      bool // by method or status; the header may still have a Content-Length
	notRun      bool // the host reported that it did not run the request
	misdirected bool // another instance uses the address now
}

// streamedReply is a response of which only the beginning has been read. Whoever receives it from clientRequest.streams must send one
// value to done: the result of forwarding the rest, or the reason for not reading it.
type streamedReply struct {
	*reply
	length int64 // -1 if unknown
	rest   io.Reader
	stop   func() // closes rest; may be called during a read
	done   chan error
}
