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

// ErrUnsupported is returned if control does not implement a call.
var ErrUnsupported = errors.New("call not supported by this control process")

// maxSnapshotStarts limits the attempts to download a snapshot, which fail if control drops it before the last chunk is read.
const maxSnapshotStarts = 5

// DownloadSnapshot downloads a snapshot chunk by chunk and writes it to a file. The call for a chunk is retried, and the download starts
// again if control no longer has the snapshot. The file is fsynced and renamed into place, so that it is complete if it exists.
func (c *Client) DownloadSnapshot(ctx context.Context, path string) (snapshot.Header, error) {
	partial := path + ".partial"
	file, err := os.Create(partial)
	if err != nil {
		return snapshot.Header{}, err
	}
	defer func() { _ = os.Remove(partial) }() // renamed after a complete download
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
			return header, fmt.Errorf("invalid response from control: %w", err)
		}
		before := assembler.Received()
		if _, err := assembler.Add(response.Chunk); err != nil {
			return header, fmt.Errorf("invalid response from control: %w", err)
		}
		if !assembler.Done() && assembler.Received() == before {
			return header, errors.New("invalid response from control: repeated chunk")
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

// asUnsupported wraps an error with ErrUnsupported if control rejected the call as unknown or not implemented.
func asUnsupported(err error) error {
	var refused *ResponseError
	if errors.As(err, &refused) && (refused.Kind == "unknown_call" || refused.Kind == "unbuilt") {
		return fmt.Errorf("%w: %w", ErrUnsupported, err)
	}
	return err
}

// IsSnapshot reports whether a file begins like a snapshot. It returns false if the file can't be read.
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

// ReadSnapshot reads a snapshot to its end and passes each chunk's offset, bytes and items to handle. If it returns no error, the snapshot is
// complete and its checksum correct.
func ReadSnapshot(source io.Reader, handle func(offset int64, chunk []byte, items []config.Item) error) (header snapshot.Header, err error) {
	var assembler snapshot.Assembler
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
			return header, fmt.Errorf("byte %d: chunk of %d bytes is too long", offset, length)
		}
		chunk := make([]byte, length)
		if _, err := io.ReadFull(reader, chunk); err != nil {
			return header, fmt.Errorf("byte %d: file is truncated: %w", offset, err)
		}
		if assembler.Done() {
			return header, fmt.Errorf("byte %d: unexpected data after the last chunk", offset)
		}
		items, err := assembler.Add(chunk)
		if err != nil {
			return header, fmt.Errorf("byte %d: %w", offset, err)
		}
		if err := handle(offset, chunk, items); err != nil {
			return header, fmt.Errorf("byte %d: %w", offset, err)
		}
		offset += int64(len(size)) + int64(length)
	}
	header, _ = assembler.Header()
	if !assembler.Done() {
		return header, fmt.Errorf("file is truncated: %d of %d items", assembler.Received(), header.Items)
	}
	return header, nil
}
