package pilot

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/soundings"
)

// ErrUnserved says that control does not serve a call yet.
var ErrUnserved = errors.New("this control process does not serve the call")

// begins is how often a snapshot is begun anew, as its cut went while it was asked for.
const begins = 5

// Snapshot asks control for a snapshot and writes it to a file, chunk by chunk; a call that fails is repeated from the chunk at
// which it failed. The file appears whole or not at all.
func (p *Pilot) Snapshot(ctx context.Context, path string) (soundings.Head, error) {
	part := path + ".partial"
	f, err := os.Create(part)
	if err != nil {
		return soundings.Head{}, err
	}
	defer os.Remove(part)
	defer f.Close()
	for n := 0; ; n++ {
		h, err := p.snapshot(ctx, f)
		var r *Refused
		if errors.As(err, &r) && r.Kind == "missing" && n+1 < begins {
			if err = f.Truncate(0); err == nil {
				_, err = f.Seek(0, io.SeekStart)
			}
			if err != nil {
				return h, err
			}
			continue
		}
		if err == nil {
			err = f.Sync()
		}
		if err == nil {
			err = os.Rename(part, path)
		}
		return h, err
	}
}

func (p *Pilot) snapshot(ctx context.Context, w io.Writer) (h soundings.Head, err error) {
	var g soundings.Gather
	ask := soundings.Ask{}
	for !g.Done() {
		body, err := json.Marshal(ask)
		if err != nil {
			return h, err
		}
		raw, err := p.Call(ctx, soundings.SnapshotCall, "", body)
		if err != nil {
			return h, unserved(err)
		}
		var part soundings.Part
		if err := json.Unmarshal(raw, &part); err != nil {
			return h, fmt.Errorf("what control answered: %w", err)
		}
		had := g.Have()
		if _, err := g.Take(part.Chunk); err != nil {
			return h, fmt.Errorf("what control answered: %w", err)
		}
		if !g.Done() && g.Have() == had {
			return h, errors.New("what control answered: a chunk that was there")
		}
		if _, err := w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part.Chunk)))); err != nil {
			return h, err
		}
		if _, err := w.Write(part.Chunk); err != nil {
			return h, err
		}
		ask = soundings.Ask{Snapshot: part.Snapshot, From: g.Have()}
	}
	h, _ = g.Head()
	return h, nil
}

// unserved tells the refusal of a call that nobody serves from others.
func unserved(err error) error {
	var r *Refused
	if errors.As(err, &r) && (r.Kind == "unknown_call" || r.Kind == "unbuilt") {
		return fmt.Errorf("%w: %w", ErrUnserved, err)
	}
	return err
}

// IsSnapshot tells whether a file begins as a snapshot does; others are changes.
func IsSnapshot(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer f.Close()
	var b [10]byte
	n, _ := io.ReadFull(f, b[:])
	return n == len(b) && soundings.Begins(b[4:])
}

// ReadSnapshot reads a snapshot to its end, chunk by chunk, and hands over where each begins in the file, its bytes and its
// items. Without an error the snapshot is whole, and its sum is right.
func ReadSnapshot(r io.Reader, take func(at int64, chunk []byte, items []manifest.Item) error) (h soundings.Head, err error) {
	var g soundings.Gather
	b := bufio.NewReader(r)
	for at := int64(0); ; {
		var size [4]byte
		if _, err := io.ReadFull(b, size[:]); err == io.EOF {
			break
		} else if err != nil {
			return h, fmt.Errorf("byte %d: %w", at, err)
		}
		n := binary.BigEndian.Uint32(size[:])
		if n > soundings.MostChunk {
			return h, fmt.Errorf("byte %d: a chunk of %d bytes", at, n)
		}
		chunk := make([]byte, n)
		if _, err := io.ReadFull(b, chunk); err != nil {
			return h, fmt.Errorf("byte %d: the file is cut short: %w", at, err)
		}
		if g.Done() {
			return h, fmt.Errorf("byte %d: the file goes on behind its end", at)
		}
		items, err := g.Take(chunk)
		if err != nil {
			return h, fmt.Errorf("byte %d: %w", at, err)
		}
		if err := take(at, chunk, items); err != nil {
			return h, fmt.Errorf("byte %d: %w", at, err)
		}
		at += int64(len(size)) + int64(n)
	}
	h, _ = g.Head()
	if !g.Done() {
		return h, fmt.Errorf("the file is cut short: %d of %d items", g.Have(), h.Items)
	}
	return h, nil
}
