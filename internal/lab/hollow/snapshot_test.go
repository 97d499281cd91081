package hollow

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// Measures a router's snapshot by numbers of routes, hosts and quotas: the longest uncompressed message, the bytes on the wire, and
// the time to encode and to decode it. It is sent in chunks, or in one frame to older routers.
func BenchmarkRouterSnapshot(b *testing.B) {
	for _, x := range [][4]int{{1, 4, 10, 0}, {13, 107, 100, 0}, {92, 757, 1000, 0}, {510, 4200, 3200, 33000}} {
		s := newTestRegistry(x[0], x[1], 0)
		for n := range x[2] {
			s.Set.Merge(config.Item{Kind: config.KindRoutes, Name: fmt.Sprintf("route-%04d", n), Version: 1, Body: fmt.Appendf(nil,
				`{"host-name":"desk-%d.example","maximum-attempts":2,"name":"route-%04d","path-prefix":"/r%d/","priority-level":1,"route-kind":"unsafe_method","service":"service-%d","target-s":0.8,"timeout-s":2}`, n%40, n, n, n%220)})
		}
		for n := range x[3] {
			s.Set.Merge(config.Item{Kind: config.KindQuotas, Name: fmt.Sprintf("share-%05d", n), Version: 1, Body: fmt.Appendf(nil,
				`{"burst":10,"caller":"tenant-%05d","caller-header":"X-Tenant","name":"share-%05d","per-s":1,"service":"service-%d"}`, n, n, n%220)})
		}
		name := fmt.Sprintf("%d-routes-%d-shares-%d-hosts", x[2], x[3], x[1])
		b.Run(name+"/chunks", func(b *testing.B) {
			b.ReportAllocs()
			encodeTime, decodeTime := time.Hour, time.Hour // minima, which are least affected by other load
			var bytes, longestFrame, chunks int
			for b.Loop() {
				start := time.Now()
				changes := s.Snapshot(1, false)
				c, err := update.NewSnapshot(update.SnapshotHeader{Name: "l.1", Incarnation: "l", To: 1}, changes, func(w []byte) []byte {
					longestFrame = max(longestFrame, len(w))
					return stream.EncodeFrame(w)
				})
				if err != nil {
					b.Fatal(err)
				}
				encodeTime, bytes, chunks = min(encodeTime, time.Since(start)), c.Bytes, len(c.Messages)
				plain, err := update.NewSnapshot(update.SnapshotHeader{Name: "l.1", Incarnation: "l", To: 1}, changes, func(w []byte) []byte { return w })
				if err != nil {
					b.Fatal(err)
				}
				start = time.Now()
				var a update.Assembly
				for _, raw := range plain.Messages {
					var w update.Message
					if err := json.Unmarshal(raw, &w); err != nil {
						b.Fatal(err)
					}
					if err := a.Add(*w.Chunk); err != nil {
						b.Fatal(err)
					}
				}
				if _, ok := a.Finish(update.Batch{Incarnation: "l", From: 1, To: 1}); !ok {
					b.Fatal("snapshot is incomplete after its last chunk")
				}
				decodeTime = min(decodeTime, time.Since(start))
			}
			reportSizes(b, longestFrame, bytes, chunks, encodeTime, decodeTime)
		})
		b.Run(name+"/one", func(b *testing.B) {
			b.ReportAllocs()
			encodeTime, decodeTime := time.Hour, time.Hour
			var bytes, longestFrame int
			for b.Loop() {
				start := time.Now()
				raw, err := json.Marshal(update.Message{Batch: &update.Batch{Incarnation: "l", To: 1, Snapshot: true, Changes: s.Snapshot(1, false)}})
				if err != nil {
					b.Fatal(err)
				}
				longestFrame, bytes = len(raw), len(stream.EncodeFrame(raw))
				encodeTime = min(encodeTime, time.Since(start))
				start = time.Now()
				var w update.Message
				if err := json.Unmarshal(raw, &w); err != nil {
					b.Fatal(err)
				}
				decodeTime = min(decodeTime, time.Since(start))
			}
			reportSizes(b, longestFrame, bytes, 1, encodeTime, decodeTime)
		})
	}
}

func reportSizes(b *testing.B, longestFrame, bytes, chunks int, encodeTime, decodeTime time.Duration) {
	b.ReportMetric(float64(longestFrame), "longest-inflated")
	b.ReportMetric(float64(bytes), "on-the-line")
	b.ReportMetric(float64(chunks), "frames")
	b.ReportMetric(float64(encodeTime.Microseconds())/1e3, "made-ms")
	b.ReportMetric(float64(decodeTime.Microseconds())/1e3, "taken-ms")
}
