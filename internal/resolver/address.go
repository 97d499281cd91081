// Package resolver holds the address of a peer that may change while calls to it are in flight. It looks nothing up: its users set the
// address. Begin reading at Address.Run.
package resolver

import (
	"context"
	"net/http"
	"sync/atomic"
)

// Address is the address of one peer. It is safe for concurrent use, except that only one Run may be active.
type Address struct {
	current atomic.Pointer[string]
	changed chan struct{} // holds one token after Set until Run has noticed
}

// New makes an address with its first value.
func New(first string) *Address {
	a := &Address{changed: make(chan struct{}, 1)}
	a.current.Store(&first)
	return a
}

// Current returns the present address.
func (a *Address) Current() string { return *a.current.Load() }

// Set changes the address.
func (a *Address) Set(to string) {
	a.current.Store(&to)
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Run calls use with the present address, and again with each that follows, until the context ends. A change of the address ends the
// context of the present call, and the next call begins when that has returned. After use has returned by itself, Run waits
// for a change.
func (a *Address) Run(ctx context.Context, use func(ctx context.Context, address string)) {
	for ctx.Err() == nil {
		useCtx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { // ends when use does, which is waited for below
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

// NoRedirect is an http.Client's CheckRedirect that follows none: a peer is where the configuration says, and nowhere else.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
