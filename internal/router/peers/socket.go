// Package peers exchanges gossip messages with other routers as UDP datagrams.
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

// maxDatagramBytes is the maximum size of a message.
const maxDatagramBytes = 256

// Socket sends and receives gossip messages. It implements dispatch.Peers.
type Socket struct {
	conn          *net.UDPConn
	addresses     []netip.AddrPort // by rank
	log           zerolog.Logger
	post          func(dispatch.Event)
	onReadFailure func(failures int) // test hook: called after each failed read with the number of consecutive failures
}

// Listen opens a socket. peers has the addresses of all routers by rank, including this one. Run closes the socket.
func Listen(address netip.AddrPort, peers []netip.AddrPort, log zerolog.Logger, post func(dispatch.Event)) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return &Socket{conn: conn, addresses: peers, log: log, post: post}, nil
}

// SendGossip implements dispatch.Peers. It drops a message that is too long, is for an unknown peer or cannot be sent within a
// millisecond; gossip tolerates lost datagrams.
func (s *Socket) SendGossip(peer int, message []byte) {
	if peer < 0 || peer >= len(s.addresses) || len(message) > maxDatagramBytes {
		return
	}
	s.conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
	if _, err := s.conn.WriteToUDPAddrPort(message, s.addresses[peer]); err != nil {
		s.log.Debug().Err(err).Int("peer", peer).Msg("tell")
	}
}

// Run receives messages and posts them as GossipReceived events until ctx is done, and closes the socket then. It drops datagrams
// that are too long or from unknown senders. While reads fail, it backs off.
func (s *Socket) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	raw := make([]byte, maxDatagramBytes+1)
	var delays backoff.Backoff // needs no seed, as reading the socket puts no load on other processes
	for failures := 0; ; {
		size, from, err := s.conn.ReadFromUDPAddrPort(raw)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an error of an earlier datagram, which is reported once, or a persistent one
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
