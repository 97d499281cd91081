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
	received := make(chan dispatch.Event, 4)
	var sockets [3]*Socket // the last one is not a peer of the first
	for i := range sockets {
		socket, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, zerolog.Nop(), func(e dispatch.Event) { received <- e })
		if err != nil {
			t.Fatal(err)
		}
		sockets[i] = socket
	}
	addressOf := func(i int) netip.AddrPort { return sockets[i].conn.LocalAddr().(*net.UDPAddr).AddrPort() }
	sockets[0].addresses = []netip.AddrPort{addressOf(0), addressOf(1)}
	sockets[1].addresses, sockets[2].addresses = sockets[0].addresses, sockets[0].addresses
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { sockets[0].Run(ctx); done <- true }()
	sockets[2].SendGossip(0, []byte("foreign"))
	sockets[1].conn.WriteToUDPAddrPort(make([]byte, 300), addressOf(0))
	sockets[1].SendGossip(0, make([]byte, 300))
	sockets[1].SendGossip(7, []byte("nobody"))
	sockets[1].SendGossip(0, []byte("hi"))
	if gossip := (<-received).(dispatch.GossipReceived); gossip.Peer != 1 || string(gossip.Message) != "hi" {
		t.Error(gossip)
	}
	cancel()
	<-done
}

// Run must back off after a persistent read error instead of spinning.
func TestBackoffOnReadErrors(t *testing.T) {
	socket, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, zerolog.Nop(), func(dispatch.Event) {})
	if err != nil {
		t.Fatal(err)
	}
	socket.conn.SetReadDeadline(time.Unix(1, 0)) // each read fails at once
	untilFourth := make(chan time.Duration, 1)
	start := time.Now()
	socket.onReadFailure = func(failures int) {
		if failures == 4 {
			untilFourth <- time.Since(start)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { socket.Run(ctx); done <- true }()
	if elapsed := <-untilFourth; elapsed < 250*time.Millisecond {
		t.Errorf("fourth failed read after %v, want at least 250ms", elapsed)
	}
	cancel()
	<-done
}
