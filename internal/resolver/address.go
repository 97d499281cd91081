// Package resolver is where a peer is asked that may move to another address while it is.
package resolver

import (
	"context"
	"net/http"
	"sync/atomic"
)

// Address is that of one peer.
type Address struct {
	now   atomic.Pointer[string]
	moved chan struct{} // gets one when it is another
}

// New makes the address that is asked first.
func New(first string) *Address {
	a := &Address{moved: make(chan struct{}, 1)}
	a.now.Store(&first)
	return a
}

// Now is the present address.
func (a *Address) Now() string { return *a.now.Load() }

// Move takes up another address.
func (a *Address) Move(to string) {
	a.now.Store(&to)
	select {
	case a.moved <- struct{}{}:
	default:
	}
}

// Run runs stay at one address after another until the context ends; a move ends the context of the present one, and
// the next begins when it has returned.
func (a *Address) Run(ctx context.Context, stay func(ctx context.Context, at string)) {
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			stay(here, a.Now())
		}()
		select {
		case <-a.moved:
		case <-ctx.Done():
		}
		leave()
		<-ended
	}
}

// NoRedirect is for http.Client: a peer is where the configuration says, and nowhere else.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
