package stream

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

// A frame is a header of four bytes, big-endian, and a body of JSON. The highest bit of the header says that the body is compressed
// by DEFLATE (RFC 1951), the others are the length of the body. A header of zero is a heartbeat.
const (
	frameHeaderSize = 4
	compressedFlag  = 1 << 31

	// MaxFrameBytes is how many bytes a body may have, also decompressed. A longer frame ends the connection.
	MaxFrameBytes = 24 << 20
	// compressionThreshold is the length of a body, in bytes, from which on it is compressed.
	compressionThreshold = 512
)

// compressors are reused, as each has tables of half a megabyte, many times what a frame holds. The garbage collector frees those
// that are idle.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is wrong
	}
	return w
}}

// EncodeFrame returns JSON as a frame, for Conn.SendFrame. It is compressed where that makes it shorter.
func EncodeFrame(raw []byte) []byte {
	header := uint32(len(raw))
	if len(raw) >= compressionThreshold {
		compressed := compress(raw)
		if len(compressed) < len(raw) {
			raw = compressed
			header = uint32(len(compressed)) | compressedFlag
		}
	}
	return append(binary.BigEndian.AppendUint32(nil, header), raw...)
}

// compress compresses bytes. Writing to memory can't fail.
func compress(raw []byte) []byte {
	var compressed bytes.Buffer
	writer := compressors.Get().(*flate.Writer)
	writer.Reset(&compressed)
	_, _ = writer.Write(raw)
	_ = writer.Close()
	compressors.Put(writer)
	return compressed.Bytes()
}

func decompress(raw []byte) ([]byte, error) {
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), MaxFrameBytes+1))
	if err != nil {
		return nil, err
	}
	if len(decompressed) > MaxFrameBytes {
		return nil, errors.New("a frame that inflates too far")
	}
	return decompressed, nil
}

// readFrame reads a frame by read, which fills its argument, and returns the body; nil for a heartbeat. header is a buffer of
// frameHeaderSize. A frame that isn't valid is counted in MalformedFrames.
func readFrame(read func([]byte) error, header []byte) ([]byte, error) {
	if err := read(header); err != nil {
		return nil, err
	}
	headerValue := binary.BigEndian.Uint32(header)
	length := headerValue &^ compressedFlag
	if length == 0 {
		return nil, nil
	}
	if length > MaxFrameBytes {
		MalformedFrames.Add(1)
		return nil, fmt.Errorf("a frame of %d bytes", length)
	}
	raw := make([]byte, length)
	if err := read(raw); err != nil {
		return nil, err
	}
	if headerValue&compressedFlag == 0 {
		return raw, nil
	}
	body, err := decompress(raw)
	if err != nil {
		MalformedFrames.Add(1)
		return nil, err
	}
	return body, nil
}
