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

const maxDatagramBytes = 256 // bytes of a datagram

// Socket is this router's socket among the others'.
type Socket struct {
	conn          *net.UDPConn
	addresses     []netip.AddrPort // by rank
	log           zerolog.Logger
	post          func(dispatch.Event)
	onReadFailure func(failures int) // for tests: a read failed, so many in a row
}

// Listen opens the socket.
func Listen(address netip.AddrPort, peers []netip.AddrPort, log zerolog.Logger, post func(dispatch.Event)) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return &Socket{conn: conn, addresses: peers, log: log, post: post}, nil
}

// SendGossip sends a message. A datagram that can't go out at once is lost, as any may be.
func (s *Socket) SendGossip(peer int, message []byte) {
	if peer < 0 || peer >= len(s.addresses) || len(message) > maxDatagramBytes {
		return
	}
	s.conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
	if _, err := s.conn.WriteToUDPAddrPort(message, s.addresses[peer]); err != nil {
		s.log.Debug().Err(err).Int("peer", peer).Msg("tell")
	}
}

// Run reads datagrams, with waits that grow while the socket fails, until the context ends; those of other senders or over
// the length are dropped.
func (s *Socket) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	raw := make([]byte, maxDatagramBytes+1)
	var delays backoff.Backoff // of its own socket: nobody else is asked
	for failures := 0; ; {
		size, from, err := s.conn.ReadFromUDPAddrPort(raw)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what an earlier datagram met, or one that stays
			if failures++; failures == 1 {
				s.log.Warn().Err(err).Msg("peers")
			}
			if s.onReadFailure != nil {
				s.onReadFailure(failures)
			}
			if failures > 1 {
				delays.Wait(ctx, failures)
			}
			continue
		}
		failures = 0
		peer := slices.Index(s.addresses, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		if peer < 0 || size > maxDatagramBytes {
			continue
		}
		s.post(dispatch.GossipReceived{Peer: peer, Message: slices.Clone(raw[:size])})
	}
}
