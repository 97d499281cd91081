package snapshot

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/testing/digest"
)

// TestTrace pins the behaviour of Cache and Upload by digests: snapshots are read chunk by chunk while the items change, and restored from
// chunks that may be repeated, corrupted or from another snapshot. The digests include the bytes of chunks and the texts of errors.
func TestTrace(t *testing.T) {
	digest.Pin(t, 6, []string{"3b0e77edce7fa610", "6c990500b456623e", "d4659259a1b752fc", "482b3953e7de6d29"}, func(seed uint64, d *digest.Digest) {
		rng := rand.New(rand.NewPCG(seed, 1))
		all, number := items(900), uint64(5)
		current := func() ([]config.Item, uint64, uint64) { return all, 3, number }
		var cache Cache
		var upload Upload
		var req ReadRequest
		now := int64(1e12)
		var last []byte
		for range 12 {
			now += rng.Int64N(6e9)
			if rng.IntN(12) == 0 {
				all, number = items(600+rng.IntN(3)*150), number+1
			}
			chunk, err := cache.Serve(now, req, current)
			d.Add(chunk, err, apierror.KindOf(err))
			if err != nil || chunk.Done {
				req = ReadRequest{}
			} else {
				req = ReadRequest{Snapshot: chunk.Snapshot, FirstItem: chunk.NextItem}
			}
			raw := chunk.Chunk
			switch rng.IntN(10) {
			case 0:
				raw = last
			case 1:
				if len(raw) > 0 {
					raw = bytes.Clone(raw)
					raw[rng.IntN(len(raw))] ^= 1
				}
			}
			last = chunk.Chunk
			resp, restored, header, err := upload.AddChunk(now, raw)
			d.Add(IsChunk(raw), resp, restored, header, err, apierror.KindOf(err))
			if len(restored) > 0 {
				upload.Finish(header, rng.IntN(3) > 0)
			}
		}
		d.Add(ValidateItem(all[rng.IntN(len(all))]))
	})
}
