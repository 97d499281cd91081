package client

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"portflow/internal/cluster/config"
	"portflow/internal/control/snapshot"
)

// ErrUnsupported says that control does not serve a call yet.
var ErrUnsupported = errors.New("this control process does not serve the call")

// maxSnapshotStarts is how often a snapshot is begun anew, as its cut went while it was asked for.
const maxSnapshotStarts = 5

// DownloadSnapshot asks control for a snapshot and writes it to a file, chunk by chunk; a call that fails is repeated from the chunk at
// which it failed. The file appears whole or not at all.
func (c *Client) DownloadSnapshot(ctx context.Context, path string) (snapshot.Header, error) {
	partial := path + ".partial"
	file, err := os.Create(partial)
	if err != nil {
		return snapshot.Header{}, err
	}
	defer os.Remove(partial)
	defer file.Close()
	for starts := 0; ; starts++ {
		header, err := c.download(ctx, file)
		var responseErr *ResponseError
		if errors.As(err, &responseErr) && responseErr.Kind == "missing" && starts+1 < maxSnapshotStarts {
			if err = file.Truncate(0); err == nil {
				_, err = file.Seek(0, io.SeekStart)
			}
			if err != nil {
				return header, err
			}
			continue
		}
		if err == nil {
			err = file.Sync()
		}
		if err == nil {
			err = os.Rename(partial, path)
		}
		return header, err
	}
}

func (c *Client) download(ctx context.Context, writer io.Writer) (header snapshot.Header, err error) {
	var assembler snapshot.Assembler
	request := snapshot.ReadRequest{}
	for !assembler.Done() {
		body, err := json.Marshal(request)
		if err != nil {
			return header, err
		}
		raw, err := c.Call(ctx, snapshot.SnapshotCall, "", body)
		if err != nil {
			return header, asUnsupported(err)
		}
		var response snapshot.ReadResponse
		if err := json.Unmarshal(raw, &response); err != nil {
			return header, fmt.Errorf("what control answered: %w", err)
		}
		before := assembler.Received()
		if _, err := assembler.Add(response.Chunk); err != nil {
			return header, fmt.Errorf("what control answered: %w", err)
		}
		if !assembler.Done() && assembler.Received() == before {
			return header, errors.New("what control answered: a chunk that was there")
		}
		if _, err := writer.Write(binary.BigEndian.AppendUint32(nil, uint32(len(response.Chunk)))); err != nil {
			return header, err
		}
		if _, err := writer.Write(response.Chunk); err != nil {
			return header, err
		}
		request = snapshot.ReadRequest{Snapshot: response.Snapshot, FirstItem: assembler.Received()}
	}
	header, _ = assembler.Header()
	return header, nil
}

// asUnsupported tells the refusal of a call that nobody serves from others.
func asUnsupported(err error) error {
	var refused *ResponseError
	if errors.As(err, &refused) && (refused.Kind == "unknown_call" || refused.Kind == "unbuilt") {
		return fmt.Errorf("%w: %w", ErrUnsupported, err)
	}
	return err
}

// IsSnapshot tells whether a file begins as a snapshot does; others are changes.
func IsSnapshot(path string) bool {
	file, err := os.Open(path)
	if err != nil {
		return false
	}
	defer file.Close()
	var start [10]byte
	length, _ := io.ReadFull(file, start[:])
	return length == len(start) && snapshot.IsChunk(start[4:])
}

// ReadSnapshot reads a snapshot to its end, chunk by chunk, and hands over where each begins in the file, its bytes and its
// items. Without an error the snapshot is whole, and its sum is right.
func ReadSnapshot(source io.Reader, handle func(offset int64, chunk []byte, items []config.Item) error) (header snapshot.Header, err error) {
	var gather snapshot.Assembler
	reader := bufio.NewReader(source)
	for offset := int64(0); ; {
		var size [4]byte
		if _, err := io.ReadFull(reader, size[:]); err == io.EOF {
			break
		} else if err != nil {
			return header, fmt.Errorf("byte %d: %w", offset, err)
		}
		length := binary.BigEndian.Uint32(size[:])
		if length > snapshot.MaxChunkBytes {
			return header, fmt.Errorf("byte %d: a chunk of %d bytes", offset, length)
		}
		chunk := make([]byte, length)
		if _, err := io.ReadFull(reader, chunk); err != nil {
			return header, fmt.Errorf("byte %d: the file is cut short: %w", offset, err)
		}
		if gather.Done() {
			return header, fmt.Errorf("byte %d: the file goes on behind its end", offset)
		}
		items, err := gather.Add(chunk)
		if err != nil {
			return header, fmt.Errorf("byte %d: %w", offset, err)
		}
		if err := handle(offset, chunk, items); err != nil {
			return header, fmt.Errorf("byte %d: %w", offset, err)
		}
		offset += int64(len(size)) + int64(length)
	}
	header, _ = gather.Header()
	if !gather.Done() {
		return header, fmt.Errorf("the file is cut short: %d of %d items", gather.Received(), header.Items)
	}
	return header, nil
}
