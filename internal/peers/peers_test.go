package peers

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"

	"portflow/internal/router"
)

func TestHeard(t *testing.T) {
	heard := make(chan router.Event, 4)
	var all [3]*Peers // the last is no peer of the first
	for i := range all {
		p, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, zerolog.Nop(), func(e router.Event) { heard <- e })
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
	all[2].Tell(0, []byte("foreign"))
	all[1].conn.WriteToUDPAddrPort(make([]byte, 300), at(0))
	all[1].Tell(0, make([]byte, 300))
	all[1].Tell(7, []byte("nobody"))
	all[1].Tell(0, []byte("hi"))
	if h := (<-heard).(router.Heard); h.Peer != 1 || string(h.Message) != "hi" {
		t.Error(h)
	}
	cancel()
	<-done
}
