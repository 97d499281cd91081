// Package resolver is where a peer is asked that may move to another address while it is.
package resolver

import (
	"context"
	"net/http"
	"sync/atomic"
)

// Address is that of one peer.
type Address struct {
	current atomic.Pointer[string]
	changed chan struct{} // gets one when it is another
}

// New makes the address that is asked first.
func New(first string) *Address {
	a := &Address{changed: make(chan struct{}, 1)}
	a.current.Store(&first)
	return a
}

// Current is the present address.
func (a *Address) Current() string { return *a.current.Load() }

// Set takes up another address.
func (a *Address) Set(to string) {
	a.current.Store(&to)
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Run runs stay at one address after another until the context ends; a move ends the context of the present one, and
// the next begins when it has returned.
func (a *Address) Run(ctx context.Context, use func(ctx context.Context, at string)) {
	for ctx.Err() == nil {
		visit, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			use(visit, a.Current())
		}()
		select {
		case <-a.changed:
		case <-ctx.Done():
		}
		cancel()
		<-ended
	}
}

// NoRedirect is for http.Client: a peer is where the configuration says, and nowhere else.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
