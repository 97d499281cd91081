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
	maxUploadRounds = 3                      // limits how often each chunk is sent, if control loses received chunks
	pollInterval    = 200 * time.Millisecond // between checks whether the snapshot is in force
	maxPolls        = 60
)

// ValidateSnapshot reads a snapshot from a file and validates all its items. It returns the offset of each chunk in the file, by the index of
// the chunk's first item. Only one chunk is kept in memory at a time.
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

// RestoreSnapshot validates a snapshot and sends it, chunk by chunk, to one control process. If that stops answering, it starts again with
// the next one. It returns nil once the snapshot is in force in the cluster.
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
	for _, address := range c.Addresses { // chunks are collected by one process, so that all must be sent to it
		single := &Client{Addresses: []string{address}, HTTP: c.HTTP, Timeout: c.Timeout}
		if lastErr = single.uploadSnapshot(ctx, file, header, offsets); !errors.Is(lastErr, ErrNoAnswer) {
			return header, asUnsupported(lastErr)
		}
	}
	return header, lastErr
}

func (c *Client) uploadSnapshot(ctx context.Context, file io.ReaderAt, header snapshot.Header, offsets map[int]int64) error {
	lastChunkItem := 0 // first item of the last chunk, which is sent again to poll
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
			return fmt.Errorf("invalid response from control: no chunk begins with item %d", received)
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
			return fmt.Errorf("invalid response from control: %w", err)
		}
		switch {
		case response.Snapshot != "" && response.Snapshot != header.String():
			return fmt.Errorf("invalid response from control: got snapshot %s, want %s", response.Snapshot, header)
		case response.InForce:
			return nil
		case response.ReceivedItems == header.Items:
			if polls++; polls > maxPolls {
				return errors.New("restore snapshot: all chunks were received, but the snapshot did not come into force in time")
			}
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		received = response.ReceivedItems
	}
	return errors.New("restore snapshot: control repeatedly lost the chunks that it had received")
}

func readChunkAt(file io.ReaderAt, offset int64) ([]byte, error) {
	var size [4]byte
	if _, err := file.ReadAt(size[:], offset); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > snapshot.MaxChunkBytes { // the file was changed after ValidateSnapshot
		return nil, fmt.Errorf("byte %d: chunk of %d bytes is too long", offset, length)
	}
	chunk := make([]byte, length)
	_, err := file.ReadAt(chunk, offset+int64(len(size)))
	return chunk, err
}
