package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"portflow/internal/dispatch"
)

// Options are a Pool's settings.
type Options struct {
	Protocol       Protocol      // what is written and read on connections
	ConnectTimeout time.Duration // an attempt that has no connection by then never gets one
	ReadTimeout    time.Duration // the most between an answer's first byte and its end, 0 for any
	IdleTimeout    time.Duration // after which hosts close connections that are idle
	MaxConns       int           // connections at once, to all hosts
	Dial           Dial          // opens a connection, nil for TCP
	Observe        Observer      // counts what passes on connections, nil for nothing
	OnPanic        func(v any, stack []byte)
}

// Protocol makes requests and reads answers; the pool itself knows only connections, and how far an attempt got.
type Protocol interface {
	// NewRequest returns the HTTP request to a host that has so long to answer. It must not have GetBody set:
	// http.Transport would send a request whose body it can have anew again by itself.
	NewRequest(to dispatch.Host, r *dispatch.Request, timeout time.Duration) *http.Request
	// ReadAnswer reads the complete answer; an error says that what came is no answer.
	ReadAnswer(r *dispatch.Request, resp *http.Response) (dispatch.Outcome, error)
}

// DeadlineRenewer is a Protocol whose requests state how long the host has. RenewDeadline is called once an attempt has
// its connection, as a request that waited for one has less time left by then.
type DeadlineRenewer interface {
	RenewDeadline(r *http.Request, timeout time.Duration)
}

// WriteTracker follows what is written of a request. If a request's Payload is one, no byte of it is written without its
// consent.
type WriteTracker interface {
	// WrittenOn says whether the request was written on this connection before: a second answer to that may still come on it.
	WrittenOn(conn any) bool
	// BeginWrite is asked before the first byte is written on a connection, at most once an attempt.
	BeginWrite(conn any) bool
	// Wrote is called with the result of each write.
	Wrote(n int, err error)
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Observer returns what counts the bytes of a new connection to a host.
type Observer func(to string, local, remote net.Addr) ConnCounter

// ConnCounter counts what passes on one connection.
type ConnCounter interface {
	BytesRead(n int)
	BytesWritten(n int)
	AttemptStarted(to dispatch.Host, r *dispatch.Request) // the connection is the attempt's from now on
	Closed()
}

// noCounter counts nothing.
type noCounter struct{}

var _ ConnCounter = noCounter{}

func (noCounter) BytesRead(int)                                   {}
func (noCounter) BytesWritten(int)                                {}
func (noCounter) AttemptStarted(dispatch.Host, *dispatch.Request) {}
func (noCounter) Closed()                                         {}
