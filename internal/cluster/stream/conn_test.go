package stream

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fakeConn is a net.Conn that reads from in and discards writes.
type fakeConn struct{ in io.Reader }

func (c fakeConn) Read(b []byte) (int, error)       { return c.in.Read(b) }
func (c fakeConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c fakeConn) Close() error                     { return nil }
func (c fakeConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c fakeConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c fakeConn) SetDeadline(time.Time) error      { return nil }
func (c fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (c fakeConn) SetWriteDeadline(time.Time) error { return nil }

type message struct {
	Text   string
	Number uint64
}

// readAll returns the messages that Run receives from raw, and its error.
func readAll(raw []byte) (all []message, err error) {
	conn := Open[message](fakeConn{bytes.NewReader(raw)}, ProxyKeepalive)
	err = conn.Run(func(m message) { all = append(all, m) })
	return all, err
}

// Small and large messages must be received as sent, and a truncated stream must yield only complete messages. An invalid preamble or
// frame must fail the connection without delivering a message.
func TestFrames(t *testing.T) {
	sent := []message{{"a", 1}, {strings.Repeat("long ", 1000), 2}, {"", 1 << 63}}
	raw := append([]byte{}, preamble...)
	for _, m := range sent {
		b, _ := json.Marshal(m)
		raw = append(append(raw, EncodeFrame(b)...), 0, 0, 0, 0) // followed by a heartbeat
	}
	all, err := readAll(raw)
	qt.Check(t, err, qt.Equals, io.EOF)
	qt.Check(t, all, qt.DeepEquals, sent)
	for n := range raw { // truncated after n bytes
		all, _ := readAll(raw[:n])
		qt.Check(t, len(all) <= len(sent) && (len(all) == 0 || all[len(all)-1] == sent[len(all)-1]), qt.IsTrue)
	}
	malformedBefore := MalformedFrames.Load()
	for _, bad := range []string{"GET / HTTP/1.1\r\n\r\n", "pfl1\xff\xff\xff\xff", "pfl1" + string(binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)), "pfl1\x00\x00\x00\x02{]", "pfl1\x80\x00\x00\x02{}"} {
		all, err := readAll([]byte(bad))
		qt.Check(t, len(all), qt.Equals, 0)
		qt.Check(t, err, qt.Not(qt.IsNil), qt.Commentf("%q", bad))
	}
	qt.Check(t, MalformedFrames.Load()-malformedBefore, qt.Equals, int64(5))
}

// A frame that is encoded once and passed to several connections must be received on each in order with other messages, and stay unmodified.
func TestSendFrame(t *testing.T) {
	c := qt.New(t)
	long := message{strings.Repeat("long ", 1000), 2}
	raw, _ := json.Marshal(long)
	frame := EncodeFrame(raw)
	original := bytes.Clone(frame)
	for range 3 {
		a, b := net.Pipe()
		from, to := Open[message](a, ProxyKeepalive), Open[message](b, ProxyKeepalive)
		go from.Run(func(message) {})
		from.Send(message{"before", 1})
		from.SendFrame(frame)
		from.Send(message{"behind", 3})
		var all []message
		to.Run(func(m message) {
			if all = append(all, m); len(all) == 3 {
				to.Close(io.EOF)
			}
		})
		c.Check(all, qt.DeepEquals, []message{{"before", 1}, long, {"behind", 3}})
		from.Close(io.EOF)
	}
	c.Check(frame, qt.DeepEquals, original)
}

// FuzzFrames compares the messages received from arbitrary bytes with those of a separate, simple decoder.
func FuzzFrames(f *testing.F) {
	b, _ := json.Marshal(message{strings.Repeat("x", 600), 7})
	f.Add(append(append([]byte("pfl1"), EncodeFrame([]byte(`{"Text":"a"}`))...), EncodeFrame(b)...))
	f.Add([]byte("pfl1\x00\x00\x00\x00\x80\x00\x00\x03\x01\x02\x03"))
	f.Add([]byte("pfl1\x00\x00\x00\x04null\x00\x00\x00\x02{}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) > 64<<10 {
			return
		}
		all, _ := readAll(raw)
		var want []message
		if rest, ok := bytes.CutPrefix(raw, preamble); ok {
			for len(rest) >= 4 {
				n := binary.BigEndian.Uint32(rest)
				compressed := n>>31 == 1
				if n &^= 1 << 31; int(n) > len(rest)-4 {
					break
				}
				b := rest[4 : 4+n]
				rest = rest[4+n:]
				if n == 0 {
					continue
				}
				if compressed {
					var err error
					if b, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), MaxFrameBytes+1)); err != nil || len(b) > MaxFrameBytes {
						break
					}
				}
				var m message
				if json.Unmarshal(b, &m) != nil {
					break
				}
				want = append(want, m)
			}
		}
		if len(all) != len(want) {
			t.Fatalf("got %d messages, want %d", len(all), len(want))
		}
		for i := range all {
			if all[i] != want[i] {
				t.Fatalf("got message %+v, want %+v", all[i], want[i])
			}
		}
	})
}
