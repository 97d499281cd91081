package peers

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/dispatch"
)

func TestGossipReceived(t *testing.T) {
	heard := make(chan dispatch.Event, 4)
	var all [3]*Socket // the last is no peer of the first
	for i := range all {
		p, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, zerolog.Nop(), func(e dispatch.Event) { heard <- e })
		if err != nil {
			t.Fatal(err)
		}
		all[i] = p
	}
	at := func(i int) netip.AddrPort { return all[i].conn.LocalAddr().(*net.UDPAddr).AddrPort() }
	all[0].addresses = []netip.AddrPort{at(0), at(1)}
	all[1].addresses, all[2].addresses = all[0].addresses, all[0].addresses
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { all[0].Run(ctx); done <- true }()
	all[2].SendGossip(0, []byte("foreign"))
	all[1].conn.WriteToUDPAddrPort(make([]byte, 300), at(0))
	all[1].SendGossip(0, make([]byte, 300))
	all[1].SendGossip(7, []byte("nobody"))
	all[1].SendGossip(0, []byte("hi"))
	if h := (<-heard).(dispatch.GossipReceived); h.Peer != 1 || string(h.Message) != "hi" {
		t.Error(h)
	}
	cancel()
	<-done
}

// An error of the socket that stays once kept a core busy, and that is a crash where a thread may not run for long.
func TestPersistentError(t *testing.T) {
	p, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, zerolog.Nop(), func(dispatch.Event) {})
	if err != nil {
		t.Fatal(err)
	}
	p.conn.SetReadDeadline(time.Unix(1, 0)) // each read fails at once
	fourth := make(chan time.Duration, 1)
	began := time.Now()
	p.onReadFailure = func(failures int) {
		if failures == 4 {
			fourth <- time.Since(began)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { p.Run(ctx); done <- true }()
	if after := <-fourth; after < 250*time.Millisecond {
		t.Errorf("the fourth failure after %v", after)
	}
	cancel()
	<-done
}
