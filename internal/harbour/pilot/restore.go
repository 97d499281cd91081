package pilot

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/soundings"
)

const (
	rounds = 3                      // in which a snapshot is sent, where control forgot what it had
	settle = 200 * time.Millisecond // between looks whether it is in force
	looks  = 60
)

// Valid reads a snapshot from a file and checks all that it holds; where is the place of each chunk in the file, by the item
// that it begins with. Nothing but one chunk is held at once.
func Valid(f io.ReadSeeker) (h soundings.Head, where map[int]int64, err error) {
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return h, nil, err
	}
	where = map[int]int64{}
	count := 0
	h, err = ReadSnapshot(f, func(at int64, _ []byte, items []manifest.Item) error {
		where[count] = at
		count += len(items)
		for _, i := range items {
			if err := soundings.Valid(i); err != nil {
				return err
			}
		}
		return nil
	})
	return h, where, err
}

// RestoreSnapshot checks a snapshot and sends it, chunk by chunk, to one control process, and to the next where that is not
// heard any more; it returns once the core has put it in force.
func (p *Pilot) RestoreSnapshot(ctx context.Context, path string) (soundings.Head, error) {
	f, err := os.Open(path)
	if err != nil {
		return soundings.Head{}, err
	}
	defer f.Close()
	h, where, err := Valid(f)
	if err != nil {
		return h, fmt.Errorf("%s: %w", path, err)
	}
	last := error(ErrNobody)
	for _, address := range p.Control { // what came of a snapshot lies with one
		one := &Pilot{Control: []string{address}, HTTP: p.HTTP, Limit: p.Limit}
		if last = one.send(ctx, f, h, where); !errors.Is(last, ErrNobody) {
			return h, unserved(last)
		}
	}
	return h, last
}

func (p *Pilot) send(ctx context.Context, f io.ReaderAt, h soundings.Head, where map[int]int64) error {
	end := 0 // the last chunk's item
	for from := range where {
		end = max(end, from)
	}
	waits := 0
	for have, n := 0, 0; n < rounds*len(where)+looks; n++ {
		at, there := where[have]
		if have == h.Items && h.Items > 0 {
			at, there = where[end], true
		}
		if !there {
			return fmt.Errorf("what control answered: no chunk begins with item %d", have)
		}
		chunk, err := chunkAt(f, at)
		if err != nil {
			return err
		}
		body, err := json.Marshal(soundings.Piece{Chunk: chunk})
		if err != nil {
			return err
		}
		raw, err := p.Call(ctx, soundings.RestoreCall, "", body)
		if err != nil {
			return err
		}
		var l soundings.Landed
		if err := json.Unmarshal(raw, &l); err != nil {
			return fmt.Errorf("what control answered: %w", err)
		}
		switch {
		case l.Snapshot != "" && l.Snapshot != h.String():
			return fmt.Errorf("what control answered: %s, not %s", l.Snapshot, h)
		case l.Done:
			return nil
		case l.Have == h.Items:
			if waits++; waits > looks {
				return errors.New("the core has not put it in force")
			}
			select {
			case <-time.After(settle):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		have = l.Have
	}
	return errors.New("control has forgotten what it had, again and again")
}

func chunkAt(f io.ReaderAt, at int64) ([]byte, error) {
	var size [4]byte
	if _, err := f.ReadAt(size[:], at); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > soundings.MostChunk { // it has changed since it was checked
		return nil, fmt.Errorf("byte %d: a chunk of %d bytes", at, n)
	}
	chunk := make([]byte, n)
	_, err := f.ReadAt(chunk, at+int64(len(size)))
	return chunk, err
}
