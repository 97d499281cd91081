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

// Collector is where records go.
type Collector struct {
	Network string // udp, tcp or tls
	Address string
	TLS     *tls.Config // of tls
}

// Options are an exporter's.
type Options struct {
	Collectors []Collector
	Domain     uint32
	Enterprise uint32
	Version9   bool // NetFlow v9, which tells no totals; else IPFIX
	Names      ipfix.Names
	Refresh    time.Duration // over UDP, templates are sent again after so long
	Packets    int           // or after so many messages
	MTU        int           // octets of a message over UDP; others are as large as they may be
	Linger     time.Duration // for what is left when the router ends
}

// Exporter sends a meter's records.
type Exporter struct {
	Options
	*Meter
	log  zerolog.Logger
	done chan struct{}
}

// codec writes one collector's messages.
type messageEncoder interface {
	Templates(to []byte, now int64) []byte
	Data(to []byte, now int64, records []flow.Record, most int) ([]byte, int)
	Unsent(records int) // the last message never went
}

const (
	batchRecords = 64 // records at once: about as many as a message over TCP is worth waiting for
	writeTimeout = 2 * time.Second
	dialTimeout  = 2 * time.Second
	tickInterval = 250 * time.Millisecond // between looks at what is open: short beside any time-out
)

// New makes an exporter for a meter, which owes as many backlogs as there are collectors.
func New(o Options, m *Meter, log zerolog.Logger) *Exporter {
	return &Exporter{Options: o, Meter: m, log: log, done: make(chan struct{})}
}

// Run sends until the context ends, and then what is left for as long as Linger says.
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

// Done is closed once Run has ended.
func (e *Exporter) Done() <-chan struct{} { return e.done }

// session is one connection to a collector.
type session struct {
	conn            net.Conn
	closed          atomic.Bool // the collector's end was seen: what is written now comes nowhere
	templatesSentAt int64       // when templates were sent
	messages        int
}

// serve is one collector's goroutine: it alone writes there, and a collector that is away costs it alone.
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
		if err == nil && account.Lost != reportedLost && !e.Version9 { // the collector is told what it will never get
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

// begin watches a connection for its end, as collectors send nothing; over UDP a refusal shows at the next write.
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

var errCollectorClosed = errors.New("the collector has closed")

func (s *session) write(b []byte) error {
	if s.closed.Load() {
		return errCollectorClosed
	}
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := s.conn.Write(b)
	if err == nil && n < len(b) {
		err = errors.New("a message was cut")
	}
	s.messages++
	return err
}

// send writes one message of records, after the templates where they are due: at the beginning, and over UDP again and
// again. It tells how many went.
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
