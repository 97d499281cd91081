package export

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/backoff"
	"portflow/internal/random"
	"portflow/internal/router/flow"
	"portflow/internal/router/flow/ipfix"
	"portflow/internal/router/flow/netflow9"
)

// Collector is the address of a flow collector.
type Collector struct {
	Network string // "udp", "tcp" or "tls"
	Address string
	TLS     *tls.Config // for Network tls
}

// Options configures an Exporter.
type Options struct {
	Collectors []Collector
	Domain     uint32 // observation domain ID; the source ID in NetFlow v9
	Enterprise uint32 // private enterprise number of portflow's information elements
	Version9   bool   // use NetFlow v9, which does not export totals, instead of IPFIX
	Names      ipfix.Names
	Refresh    time.Duration // over UDP, templates are sent again after this time
	Packets    int           // or after this number of messages
	MTU        int           // maximum octets of a message over UDP; others have the maximum of the protocol
	Linger     time.Duration // time to send the remaining records after Run's context ends
}

// Exporter sends the records of a Meter to collectors.
type Exporter struct {
	Options
	*Meter
	log  zerolog.Logger
	done chan struct{}
}

// messageEncoder encodes the messages for one collector.
type messageEncoder interface {
	Templates(to []byte, now int64) []byte
	Data(to []byte, now int64, records []flow.Record, most int) ([]byte, int)
	Unsent(records int) // the last message of Data, with this number of records, was not sent
}

const (
	batchRecords = 64 // maximum records per message
	writeTimeout = 2 * time.Second
	dialTimeout  = 2 * time.Second
	tickInterval = 250 * time.Millisecond // interval of Meter.Tick; short compared to the active and idle timeouts
)

// New returns an exporter of the records of m, which must have been created for the same number of collectors.
func New(o Options, m *Meter, log zerolog.Logger) *Exporter {
	return &Exporter{Options: o, Meter: m, log: log, done: make(chan struct{})}
}

// Run sends records until ctx ends, and then sends the remaining records for up to Linger.
func (e *Exporter) Run(ctx context.Context) {
	defer close(e.done)
	ended := make(chan struct{})
	for i := range e.Collectors {
		go func() {
			defer func() { ended <- struct{}{} }()
			e.serve(ctx, i)
		}()
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for left := len(e.Collectors); left > 0; {
		select {
		case <-tick.C:
			e.Tick()
		case <-ended:
			left--
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (e *Exporter) Done() <-chan struct{} { return e.done }

// session is a connection to a collector: a transport session in the terms of RFC 7011.
type session struct {
	conn            net.Conn
	closed          atomic.Bool // the collector closed the connection; a write could still succeed, but the data would be lost
	templatesSentAt int64       // Unix nanoseconds; 0 if templates must be sent
	messages        int         // number of messages since the templates
}

// serve sends the records of collector i. Each collector has its own goroutine, so an unavailable one does not delay the others.
func (e *Exporter) serve(ctx context.Context, i int) {
	c, q := e.Collectors[i], e.queues[i]
	encoder, ipfixEncoder := messageEncoder(nil), &ipfix.Encoder{Domain: e.Domain, Enterprise: e.Enterprise, Names: e.Names, Boot: e.clock()}
	if encoder = ipfixEncoder; e.Version9 {
		encoder = &netflow9.Encoder{Source: e.Domain, Names: e.Names, Boot: e.clock()}
	}
	var s *session
	defer func() {
		if s != nil {
			s.conn.Close()
		}
	}()
	retryBackoff := backoff.Backoff{Source: random.Source{Seed: uint64(e.Domain)<<8 + uint64(i)}}
	failures, disconnected := 0, false
	deadline := time.Time{}
	reportedLost := flow.Totals{}
	for {
		if ctx.Err() != nil && deadline.IsZero() {
			e.Flush()
			deadline = time.Now().Add(e.Linger)
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			return
		}
		e.mu.Lock()
		records := q.Take(batchRecords)
		account := q.Account
		e.mu.Unlock()
		if len(records) == 0 {
			if !deadline.IsZero() {
				return
			}
			select {
			case <-q.wake:
			case <-ctx.Done():
			}
			continue
		}
		sent, err := 0, error(nil)
		if s == nil {
			s, err = e.dial(c)
		}
		if err == nil {
			sent, err = e.send(s, c, encoder, records)
		}
		if sent > 0 {
			e.mu.Lock()
			q.Sent(sent)
			e.mu.Unlock()
		}
		if err == nil && account.Lost != reportedLost && !e.Version9 { // report the records that were dropped, as the collector can't tell otherwise that it will never get them
			if err = s.write(ipfixEncoder.Totals(nil, e.clock(), account)); err == nil {
				reportedLost = account.Lost
			}
		}
		if err != nil {
			if s != nil {
				s.conn.Close()
				s = nil
			}
			if !disconnected {
				e.log.Warn().Err(err).Str("collector", c.Address).Msg("collector lost")
			}
			disconnected = true
			if failures++; deadline.IsZero() {
				retryBackoff.Wait(ctx, failures)
			} else {
				time.Sleep(20 * time.Millisecond)
			}
			continue
		}
		if failures = 0; disconnected {
			e.log.Info().Str("collector", c.Address).Msg("collector back")
			disconnected = false
		}
	}
}

func (e *Exporter) dial(c Collector) (*session, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	switch c.Network {
	case "udp", "tcp":
		conn, err := dialer.Dial(c.Network, c.Address)
		return newSession(c, conn, err)
	case "tls":
		conn, err := tls.DialWithDialer(&dialer, "tcp", c.Address, c.TLS)
		return newSession(c, conn, err)
	}
	return nil, fmt.Errorf("collector %s: network %q is unknown", c.Address, c.Network)
}

// newSession starts a session on conn, or returns err. Over TCP and TLS it reads from the connection to detect that the collector
// closes it, since collectors send no data. Over UDP, an unreachable port is reported by the next write.
func newSession(c Collector, conn net.Conn, err error) (*session, error) {
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn}
	if c.Network != "udp" {
		go func() {
			var b [1]byte
			for {
				if _, err := conn.Read(b[:]); err != nil {
					s.closed.Store(true)
					return
				}
			}
		}()
	}
	return s, nil
}

var errCollectorClosed = errors.New("collector closed the connection")

func (s *session) write(b []byte) error {
	if s.closed.Load() {
		return errCollectorClosed
	}
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := s.conn.Write(b)
	if err == nil && n < len(b) {
		err = errors.New("message was written only in part")
	}
	s.messages++
	return err
}

// send writes one message with as many of the records as fit, and returns their number. It sends the templates first if they are
// due: at the start of a session, and over UDP again after Refresh or Packets.
func (e *Exporter) send(s *session, c Collector, encoder messageEncoder, records []flow.Record) (int, error) {
	now, maxOctets := e.clock(), 1<<16
	if c.Network == "udp" {
		maxOctets = e.MTU
		if now-s.templatesSentAt >= int64(e.Refresh) || s.messages >= e.Packets {
			s.templatesSentAt = 0
		}
	}
	if s.templatesSentAt == 0 {
		if err := s.write(encoder.Templates(nil, now)); err != nil {
			return 0, err
		}
		s.templatesSentAt, s.messages = now, 0
	}
	message, n := encoder.Data(nil, now, records, maxOctets)
	if err := s.write(message); err != nil {
		encoder.Unsent(n)
		return 0, err
	}
	return n, nil
}
