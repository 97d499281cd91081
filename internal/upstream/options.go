package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"portflow/internal/dispatch"
)

// Options configures a Pool.
type Options struct {
	Protocol       Protocol
	ConnectTimeout time.Duration // for getting a connection, including the wait for a free slot
	ReadTimeout    time.Duration // from the first byte of a response to its end; 0 means no limit
	IdleTimeout    time.Duration // idle time after which hosts close a connection; the pool closes it earlier
	MaxConns       int           // bounds the open connections to all hosts together
	Dial           Dial          // nil means TCP
	Observe        Observer      // nil disables counting
	OnPanic        func(v any, stack []byte)
}

// Protocol creates requests and reads responses. The pool itself only manages connections and tracks the progress of
// attempts.
type Protocol interface {
	// NewRequest returns the HTTP request for an attempt with this timeout. GetBody must be nil, as http.Transport could
	// otherwise resend a request with a body by itself.
	NewRequest(to dispatch.Host, r *dispatch.Request, timeout time.Duration) *http.Request
	// ReadAnswer reads the entire response. It returns an error if the response is incomplete or invalid.
	ReadAnswer(r *dispatch.Request, resp *http.Response) (dispatch.Outcome, error)
}

// DeadlineRenewer is implemented by a Protocol whose requests carry the time that the host has left. RenewDeadline
// updates it when an attempt gets a connection, as waiting for one takes part of that time.
type DeadlineRenewer interface {
	RenewDeadline(r *http.Request, timeout time.Duration)
}

// WriteTracker allows or denies the writes of a request and records them. The pool uses one if the request's Payload
// implements it.
type WriteTracker interface {
	// WrittenOn reports whether an earlier attempt of the request was written on this connection. The connection is not
	// used again for the request then, as a late response to the earlier attempt would be taken for the new one's.
	WrittenOn(conn any) bool
	// BeginWrite is called before an attempt's first byte is written, at most once per attempt, and reports whether the
	// attempt may be written.
	BeginWrite(conn any) bool
	// Wrote is called with the result of each write. A write that fails because the host stopped reading is passed as
	// complete if an earlier part of the request was written.
	Wrote(n int, err error)
}

// Dial opens a connection. It must return a syscall.Conn or a PendingConn.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Observer returns the counter for a new connection to the host with address to.
type Observer func(to string, local, remote net.Addr) ConnCounter

// ConnCounter counts the traffic of one connection.
type ConnCounter interface {
	BytesRead(n int)
	BytesWritten(n int)
	AttemptStarted(to dispatch.Host, r *dispatch.Request) // later bytes belong to this attempt
	Closed()
}

type noCounter struct{}

var _ ConnCounter = noCounter{}

func (noCounter) BytesRead(int)                                   {}
func (noCounter) BytesWritten(int)                                {}
func (noCounter) AttemptStarted(dispatch.Host, *dispatch.Request) {}
func (noCounter) Closed()                                         {}
