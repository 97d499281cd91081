// Package peers carries the routers' messages to each other as UDP datagrams.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/backoff"
	"portflow/internal/dispatch"
)

const longest = 256 // bytes of a datagram

// Peers is this router's socket among the others'.
type Peers struct {
	conn      *net.UDPConn
	addresses []netip.AddrPort // by rank
	log       zerolog.Logger
	post      func(dispatch.Event)
	failed    func(failures int) // for tests: a read failed, so many in a row
}

// Listen opens the socket.
func Listen(at netip.AddrPort, peers []netip.AddrPort, log zerolog.Logger, post func(dispatch.Event)) (*Peers, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return &Peers{conn: conn, addresses: peers, log: log, post: post}, nil
}

// Tell sends a message. A datagram that can't go out at once is lost, as any may be.
func (p *Peers) Tell(peer int, message []byte) {
	if peer < 0 || peer >= len(p.addresses) || len(message) > longest {
		return
	}
	p.conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
	if _, err := p.conn.WriteToUDPAddrPort(message, p.addresses[peer]); err != nil {
		p.log.Debug().Err(err).Int("peer", peer).Msg("tell")
	}
}

// Run reads datagrams, with waits that grow while the socket fails, until the context ends; those of other senders or over
// the length are dropped.
func (p *Peers) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	raw := make([]byte, longest+1)
	var waits backoff.Waits // of its own socket: nobody else is asked
	for failures := 0; ; {
		n, from, err := p.conn.ReadFromUDPAddrPort(raw)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what an earlier datagram met, or one that stays
			if failures++; failures == 1 {
				p.log.Warn().Err(err).Msg("peers")
			}
			if p.failed != nil {
				p.failed(failures)
			}
			if failures > 1 {
				waits.Wait(ctx, failures)
			}
			continue
		}
		failures = 0
		peer := slices.Index(p.addresses, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if peer < 0 || n > longest {
			continue
		}
		p.post(dispatch.Heard{Peer: peer, Message: slices.Clone(raw[:n])})
	}
}
