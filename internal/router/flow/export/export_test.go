package export

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/router/flow"
	"portflow/internal/router/flow/ipfix"
	"portflow/internal/standin/collector"
)

// loopbackTLS returns a server configuration with a certificate for 127.0.0.1, and a client configuration that trusts it.
func loopbackTLS(t *testing.T) (server, client *tls.Config) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	trusted, _ := x509.ParseCertificate(raw)
	pool := x509.NewCertPool()
	pool.AddCert(trusted)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}}}, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
}

func options(c *collector.Collector, network string, config *tls.Config) Options {
	version9 := network == "netflow9"
	if version9 {
		network = "udp"
	}
	return Options{Version9: version9, Collectors: []Collector{{network, c.Address, config}}, Domain: 7, Enterprise: ipfix.Documentation,
		Names: ipfix.Names{Carriers: []string{"rila", "dunav"}, Bands: []string{"display"}}, Refresh: time.Second, Packets: 20, MTU: 1400,
		Linger: 5 * time.Second}
}

func clock() int64 { return time.Now().UnixNano() }

var testAddr = netip.MustParseAddrPort("127.0.0.1:8081")

// runShortConnections opens and closes n connections with one command each, and returns their traffic.
func runShortConnections(m *Meter, n int) (passed flow.Counts) {
	for i := range n {
		label := flow.Label{Side: flow.Side(i % 2)}
		c := m.Open(label, testAddr, testAddr)
		label.Carrier, label.Band = uint16(1+i%2), 1
		c.BytesRead(100 + i%7)
		c.Command(label, uint64(i%50+1))
		c.BytesWritten(1000)
		c.Answered()
		if i%2 == 0 {
			passed.Add(flow.Counts{Forward: uint64(100 + i%7), Reverse: 1000, Commands: 1})
		} else {
			passed.Add(flow.Counts{Forward: 1000, Reverse: uint64(100 + i%7), Commands: 1})
		}
		c.Close(i%3 == 0)
	}
	return passed
}

// waitForConnections waits until the collector has received or dropped the records of the given number of connections.
func waitForConnections(t *testing.T, c *collector.Collector, connections int) flow.Totals {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		sum, _, stats, lost := c.Totals()
		if int(sum.Connections)+lost >= connections {
			return sum
		}
		if time.Now().After(end) {
			t.Fatalf("collector has %+v, %+v, %d records dropped", sum, stats, lost)
		}
	}
}

// With each transport, the collector must receive the records of all connections, with the traffic that the router counted.
func TestBurst(t *testing.T) {
	server, client := loopbackTLS(t)
	for _, network := range []string{"udp", "tcp", "tls", "netflow9"} {
		t.Run(network, func(t *testing.T) {
			c, err := collector.New(network, server)
			if err != nil {
				t.Fatal(err)
			}
			m := NewMeter(flow.Limits{Active: 60e9, Idle: 15e9, MaxConnections: 1024}, 1, 8<<20, clock)
			e := New(options(c, network, client), m, zerolog.Nop())
			ctx, cancel := context.WithCancel(context.Background())
			go e.Run(ctx)
			passed := runShortConnections(m, 10000)
			sum := waitForConnections(t, c, 10000)
			cancel()
			<-e.Done()
			c.Stop()
			a, _ := m.Account(0)
			if sum.Counts != passed || a.Exported.Counts != passed || a.Exported.Connections != 10000 || !a.Balanced() {
				t.Errorf("collector %+v, account %+v, passed %+v", sum, a, passed)
			}
		})
	}
}

// While the collector is unavailable, records must be folded within the memory limit; after its restart they must all arrive.
func TestUnavailableCollector(t *testing.T) {
	c, err := collector.New("tcp", nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Stop()
	m := NewMeter(flow.Limits{Active: 60e9, Idle: 15e9, MaxConnections: 1024}, 1, 64<<10, clock)
	e := New(options(c, "tcp", nil), m, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	passed := runShortConnections(m, 5000)
	a, bytes := m.Account(0)
	if a.Folded.Records == 0 || a.Lost.Records != 0 || bytes > 64<<10 {
		t.Errorf("ledger %+v, %d bytes", a, bytes)
	}
	if err := c.Restart(); err != nil {
		t.Fatal(err)
	}
	if sum := waitForConnections(t, c, 5000); sum.Counts != passed {
		t.Errorf("collector %+v, passed %+v", sum, passed)
	}
	cancel()
	<-e.Done()
	c.Stop()
}

// Over UDP, the records of dropped datagrams must show up as gaps in the sequence numbers.
func TestDatagramLoss(t *testing.T) {
	c, err := collector.New("udp", nil)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDrop(func(n int) bool { return n > 1 && n%10 == 0 })
	m := NewMeter(flow.Limits{Active: 60e9, Idle: 15e9, MaxConnections: 1024}, 1, 8<<20, clock)
	e := New(options(c, "udp", nil), m, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	runShortConnections(m, 5000)
	for a, _ := m.Account(0); a.Exported.Connections < 5000; a, _ = m.Account(0) {
		time.Sleep(time.Millisecond)
	}
	c.SetDrop(nil)
	last := m.Open(flow.Label{}, testAddr, testAddr) // its record shows a gap before it
	last.Close(false)
	cancel()
	<-e.Done()
	end := time.Now().Add(10 * time.Second)
	for sum, _, stats, _ := c.Totals(); int(sum.Records)+int(stats.Missed) < 5001; sum, _, stats, _ = c.Totals() {
		if time.Now().After(end) {
			t.Fatalf("collector has %+v, %+v", sum, stats)
		}
		time.Sleep(time.Millisecond)
	}
	sum, _, stats, lost := c.Totals()
	if lost == 0 || stats.Missed == 0 || int(sum.Records)+int(stats.Missed) != 5001 {
		t.Errorf("collector has %+v, %+v, %d records dropped", sum, stats, lost)
	}
	c.Stop()
}

// At shutdown, open connections must be flushed and closed ones recorded, all with reason Forced.
func TestShutdown(t *testing.T) {
	c, err := collector.New("tcp", nil)
	if err != nil {
		t.Fatal(err)
	}
	m := NewMeter(flow.Limits{Active: 60e9, Idle: 15e9, MaxConnections: 1024}, 1, 1<<20, clock)
	e := New(options(c, "tcp", nil), m, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	go e.Run(ctx)
	var open []*Conn
	for range 20 {
		x := m.Open(flow.Label{}, testAddr, testAddr)
		x.BytesRead(10)
		open = append(open, x)
	}
	m.Leave()
	for _, x := range open[:10] {
		x.Close(false)
	}
	cancel()
	<-e.Done()
	waitForConnections(t, c, 10)
	sum, by, _, _ := c.Totals()
	if by[flow.Forced].Forward != 200 || sum.Connections != 10 {
		t.Errorf("collector has %+v, by reason %+v", sum, by)
	}
	c.Stop()
}

// A command must not allocate while its connection stays open. A nil Meter must accept all calls and count nothing.
func TestNoAllocations(t *testing.T) {
	m := NewMeter(flow.Limits{Active: 60e9, Idle: 15e9, MaxConnections: 1024}, 1, 1<<20, clock)
	c := m.Open(flow.Label{}, testAddr, testAddr)
	label := flow.Label{Carrier: 1, Band: 1}
	if n := testing.AllocsPerRun(1000, func() {
		c.BytesRead(100)
		c.Command(label, 7)
		c.BytesWritten(100)
		c.Answered()
	}); n > 0 {
		t.Error(n, "allocations per command")
	}
	var none *Meter
	x := none.Open(label, testAddr, testAddr)
	x.BytesRead(1)
	x.Command(label, 1)
	x.BytesWritten(1)
	x.Answered()
	x.Close(true)
	if top := m.Greatest(1); len(top) != 1 || top[0].ID != 7 {
		t.Error(top)
	}
}
