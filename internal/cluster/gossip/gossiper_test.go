package gossip

import (
	"net"
	"testing"
	"time"
)

// fakePacketConn is a socket that receives the datagrams in, all from one address, and is then closed. It records what is sent.
type fakePacketConn struct {
	in   [][]byte
	from *net.UDPAddr
	out  [][]byte
	to   []string
}

func (c *fakePacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	if len(c.in) == 0 {
		return 0, nil, net.ErrClosed
	}
	n := copy(b, c.in[0])
	c.in = c.in[1:]
	return n, c.from, nil
}

func (c *fakePacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.out, c.to = append(c.out, append([]byte{}, b...)), append(c.to, to.String())
	return len(b), nil
}

func (c *fakePacketConn) Close() error                     { return nil }
func (c *fakePacketConn) LocalAddr() net.Addr              { return &net.UDPAddr{} }
func (c *fakePacketConn) SetDeadline(time.Time) error      { return nil }
func (c *fakePacketConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fakePacketConn) SetWriteDeadline(time.Time) error { return nil }

// Whatever is received, the view must keep its size limit and must not contain its owner or invalid members, and replies must go only to
// the sender and fit into a datagram. There are two datagrams, so that the second meets the state that the first left.
func FuzzDatagrams(f *testing.F) {
	f.Add([]byte(`{"f":{"i":"10.0.0.2","k":1,"z":"a"},"p":[{"i":"10.0.0.3","z":"b","a":3},{"i":"10.0.0.1","z":"c"}]}`), []byte(`{"f":{"i":"10.0.0.2","k":1,"z":"a"},"r":true,"p":[{"i":"10.0.0.4","z":""}]}`))
	f.Add([]byte(`{"f":{"i":"10.0.0.2","k":1,"z":"a"},"t":"desk","g":"AAAA"}`), []byte(`{"f":{"i":"10.0.0.2"},"p":[{"i":"x","a":-1},{"i":"10.0.0.9","k":9}]}`))
	f.Add([]byte(`{"f":{"i":"10.0.0.9","k":1}}`), []byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		conn := &fakePacketConn{in: [][]byte{a, b}, from: &net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 7601}}
		self := Member{IP: "10.0.0.1", Kind: Proxy, Zone: "a"}
		delivered := 0
		gossiper := NewGossiper(self, conn, [2]int{7600, 7601}, 1, func(topic string, _ []byte) {
			if delivered++; topic == "" {
				t.Error("payload delivered without a topic")
			}
		})
		gossiper.Add(Member{IP: "10.0.0.2", Kind: Proxy})
		gossiper.view.BeginShuffle() // so that a reply is accepted
		gossiper.listen()
		members := gossiper.Members()
		if len(members) > MaxViewSize {
			t.Errorf("%d members in the view, want at most MaxViewSize", len(members))
		}
		for _, m := range members {
			if sameMember(m, self) || m.IP == "" || m.Kind > Proxy || m.Age < 0 {
				t.Errorf("%+v", m)
			}
		}
		if len(conn.out)+delivered+int(gossiper.Rejected.Load()) > 2 {
			t.Errorf("%d replies, %d payloads delivered and %d datagrams rejected, want at most two in total", len(conn.out), delivered, gossiper.Rejected.Load())
		}
		for i, to := range conn.to {
			if to != "10.0.0.2:7601" || len(conn.out[i]) > maxDatagramBytes {
				t.Errorf("sent %d bytes to %s", len(conn.out[i]), to)
			}
		}
	})
}
