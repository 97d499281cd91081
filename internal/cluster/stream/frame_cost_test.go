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

// allocatedPerRun returns the average number of bytes that call allocates.
func allocatedPerRun(runs int, call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		call()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / uint64(runs)
}

// EncodeFrame must reuse compressors. Allocating one per frame costs a control process with hundreds of proxies several GB per second.
func TestEncodeFrameAllocations(t *testing.T) {
	c := qt.New(t)
	raw := []byte(strings.Repeat(`{"h":{"i":"host-00001","s":"desk"}},`, 40))
	EncodeFrame(raw)
	cost := allocatedPerRun(400, func() { EncodeFrame(raw) })
	newWriterCost := allocatedPerRun(20, func() {
		w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
		c.Assert(err, qt.IsNil)
		w.Write(raw)
	})
	t.Logf("body of %d bytes: EncodeFrame allocates %d bytes, a new compressor %d", len(raw), cost, newWriterCost)
	c.Check(cost < newWriterCost/2, qt.IsTrue) // not 0: with the race detector, sync.Pool drops a quarter of the items
}

// Frames that are encoded with the same compressor must not contain data of earlier frames.
func TestCompressorReuse(t *testing.T) {
	c := qt.New(t)
	for n := range 50 {
		raw := []byte(strings.Repeat(string(rune('a'+n%26)), compressionThreshold+n*100))
		frame := EncodeFrame(raw)
		header := binary.BigEndian.Uint32(frame)
		c.Assert(header&(1<<31) != 0, qt.IsTrue)
		c.Assert(int(header&^(1<<31)), qt.Equals, len(frame)-4)
		decompressed, err := io.ReadAll(flate.NewReader(bytes.NewReader(frame[4:])))
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(decompressed, raw), qt.IsTrue)
	}
}

// FuzzRun checks that Run terminates with an error for arbitrary input.
func FuzzRun(f *testing.F) {
	f.Add([]byte("pfl1\x00\x00\x00\x00"))
	f.Add(append([]byte("pfl1"), EncodeFrame([]byte(`{"a":1}`))...))
	f.Add(append([]byte("pfl1"), EncodeFrame([]byte(`{"a":"`+strings.Repeat("x", 600)+`"}`))...))
	f.Add([]byte("pfl1\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, b := net.Pipe()
		conn := Open[map[string]any](a, ProxyKeepalive)
		go io.Copy(io.Discard, b)
		go func() {
			b.Write(raw)
			b.Close()
		}()
		if err := conn.Run(func(map[string]any) {}); err == nil {
			t.Fatal("Run returned nil after the connection was closed")
		}
	})
}
