package stream

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// allocated returns how many bytes a call allocates, on average.
func allocated(times int, call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range times {
		call()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / uint64(times)
}

// Encoding a frame must not allocate a new compressor: with one a frame, control processes with 510 proxies allocated 280 GB within a
// minute, and grew to 370 MB.
func TestFrameCost(t *testing.T) {
	c := qt.New(t)
	raw := []byte(strings.Repeat(`{"h":{"i":"host-00001","s":"desk"}},`, 40))
	EncodeFrame(raw)
	cost := allocated(400, func() { EncodeFrame(raw) })
	fresh := allocated(20, func() {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		c.Assert(err, qt.IsNil)
		w.Write(raw)
	})
	t.Logf("a frame of %d bytes: %d allocated, a deflater of its own %d", len(raw), cost, fresh)
	c.Check(cost < fresh/2, qt.IsTrue) // the race detector has a pool lose every fourth
}

// Frames that are compressed by one compressor one after another have each what was written, and nothing of the one before.
func TestFramesApart(t *testing.T) {
	c := qt.New(t)
	for n := range 50 {
		raw := []byte(strings.Repeat(string(rune('a'+n%26)), compressionThreshold+n*100))
		f := EncodeFrame(raw)
		head := binary.BigEndian.Uint32(f)
		c.Assert(head&(1<<31) != 0, qt.IsTrue)
		c.Assert(int(head&^(1<<31)), qt.Equals, len(f)-4)
		back, err := io.ReadAll(flate.NewReader(bytes.NewReader(f[4:])))
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(back, raw), qt.IsTrue)
	}
}

// Whatever comes on a connection, Run reads it to its end or says why not.
func FuzzRun(f *testing.F) {
	f.Add([]byte("pfl1\x00\x00\x00\x00"))
	f.Add(append([]byte("pfl1"), EncodeFrame([]byte(`{"a":1}`))...))
	f.Add(append([]byte("pfl1"), EncodeFrame([]byte(`{"a":"`+strings.Repeat("x", 600)+`"}`))...))
	f.Add([]byte("pfl1\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, b := net.Pipe()
		l := Open[map[string]any](a, ProxyKeepalive)
		go io.Copy(io.Discard, b)
		go func() {
			b.Write(raw)
			b.Close()
		}()
		if err := l.Run(func(map[string]any) {}); err == nil {
			t.Fatal("a connection that ended gives no reason")
		}
	})
}
