// Package resolver keeps the address of a peer, which may change while calls to the peer are in flight. It does not resolve
// names; its users set the address. Start reading at Address.Run.
package resolver

import (
	"context"
	"net/http"
	"sync/atomic"
)

// Address is the current address of one peer. It is safe for concurrent use, except that Run must not be called concurrently.
type Address struct {
	current atomic.Pointer[string]
	changed chan struct{} // has a buffer of one; Set sends to it and Run receives
}

// New returns an Address with an initial value.
func New(first string) *Address {
	a := &Address{changed: make(chan struct{}, 1)}
	a.current.Store(&first)
	return a
}

// Current returns the address that was set last.
func (a *Address) Current() string { return *a.current.Load() }

// Set changes the address and makes Run call use again, even if the address is the same. It does not block.
func (a *Address) Set(to string) {
	a.current.Store(&to)
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Run calls use with the current address, and again after each Set, until ctx is done. Set cancels the context of the running
// call, and the next call starts once that one has returned. If use returns on its own, Run waits for the next Set. Calls to
// Set in quick succession may lead to a single call, with the last address.
func (a *Address) Run(ctx context.Context, use func(ctx context.Context, address string)) {
	for ctx.Err() == nil {
		useCtx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { // ends when use returns; Run waits for it below
			defer close(ended)
			use(useCtx, a.Current())
		}()
		select {
		case <-a.changed:
		case <-ctx.Done():
		}
		cancel()
		<-ended
	}
}

// NoRedirect is a CheckRedirect function for http.Client that returns the redirect response instead of following it, so that
// a client connects only to the configured address.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
