package client

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"portflow/internal/cluster/config"
	"portflow/internal/control/snapshot"
)

const (
	maxUploadRounds = 3                      // in which a snapshot is sent, where control forgot what it had
	pollInterval    = 200 * time.Millisecond // between looks whether it is in force
	maxPolls        = 60
)

// ValidateSnapshot reads a snapshot from a file and checks all that it holds; where is the place of each chunk in the file, by the item
// that it begins with. Nothing but one chunk is held at once.
func ValidateSnapshot(file io.ReadSeeker) (header snapshot.Header, offsets map[int]int64, err error) {
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return header, nil, err
	}
	offsets = map[int]int64{}
	count := 0
	header, err = ReadSnapshot(file, func(offset int64, _ []byte, items []config.Item) error {
		offsets[count] = offset
		count += len(items)
		for _, i := range items {
			if err := snapshot.ValidateItem(i); err != nil {
				return err
			}
		}
		return nil
	})
	return header, offsets, err
}

// RestoreSnapshot checks a snapshot and sends it, chunk by chunk, to one control process, and to the next where that is not
// heard any more; it returns once the core has put it in force.
func (c *Client) RestoreSnapshot(ctx context.Context, path string) (snapshot.Header, error) {
	file, err := os.Open(path)
	if err != nil {
		return snapshot.Header{}, err
	}
	defer file.Close()
	header, offsets, err := ValidateSnapshot(file)
	if err != nil {
		return header, fmt.Errorf("%s: %w", path, err)
	}
	lastErr := error(ErrNoAnswer)
	for _, address := range c.Addresses { // what came of a snapshot lies with one
		single := &Client{Addresses: []string{address}, HTTP: c.HTTP, Timeout: c.Timeout}
		if lastErr = single.uploadSnapshot(ctx, file, header, offsets); !errors.Is(lastErr, ErrNoAnswer) {
			return header, asUnsupported(lastErr)
		}
	}
	return header, lastErr
}

func (c *Client) uploadSnapshot(ctx context.Context, file io.ReaderAt, header snapshot.Header, offsets map[int]int64) error {
	lastChunkItem := 0 // the last chunk's item
	for first := range offsets {
		lastChunkItem = max(lastChunkItem, first)
	}
	polls := 0
	for received, round := 0, 0; round < maxUploadRounds*len(offsets)+maxPolls; round++ {
		offset, exists := offsets[received]
		if received == header.Items && header.Items > 0 {
			offset, exists = offsets[lastChunkItem], true
		}
		if !exists {
			return fmt.Errorf("what control answered: no chunk begins with item %d", received)
		}
		chunk, err := readChunkAt(file, offset)
		if err != nil {
			return err
		}
		body, err := json.Marshal(snapshot.RestoreRequest{Chunk: chunk})
		if err != nil {
			return err
		}
		raw, err := c.Call(ctx, snapshot.RestoreCall, "", body)
		if err != nil {
			return err
		}
		var response snapshot.RestoreResponse
		if err := json.Unmarshal(raw, &response); err != nil {
			return fmt.Errorf("what control answered: %w", err)
		}
		switch {
		case response.Snapshot != "" && response.Snapshot != header.String():
			return fmt.Errorf("what control answered: %s, not %s", response.Snapshot, header)
		case response.InForce:
			return nil
		case response.ReceivedItems == header.Items:
			if polls++; polls > maxPolls {
				return errors.New("the core has not put it in force")
			}
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		received = response.ReceivedItems
	}
	return errors.New("control has forgotten what it had, again and again")
}

func readChunkAt(file io.ReaderAt, offset int64) ([]byte, error) {
	var size [4]byte
	if _, err := file.ReadAt(size[:], offset); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > snapshot.MaxChunkBytes { // it has changed since it was checked
		return nil, fmt.Errorf("byte %d: a chunk of %d bytes", offset, length)
	}
	chunk := make([]byte, length)
	_, err := file.ReadAt(chunk, offset+int64(len(size)))
	return chunk, err
}
