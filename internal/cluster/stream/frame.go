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

// A frame is a four-byte big-endian header followed by a JSON body. The highest bit of the header is set if the body is compressed with
// DEFLATE (RFC 1951); the other bits are the length of the body as sent. A header of zero is a heartbeat.
const (
	frameHeaderSize = 4
	compressedFlag  = 1 << 31

	// MaxFrameBytes is the maximum size of a received body, both as sent and decompressed. A larger frame is an error that closes the
	// connection.
	MaxFrameBytes = 24 << 20
	// compressionThreshold is the minimum size in bytes of a body that is compressed.
	compressionThreshold = 512
)

// compressors is a pool because each compressor allocates tables of about half a megabyte, many times the size of a typical frame. The
// garbage collector frees idle ones.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // only for an invalid level
	}
	return w
}}

// EncodeFrame returns a frame with raw, a JSON document, as its body. The body is compressed if it is large and that makes it shorter.
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

// compress returns raw compressed with DEFLATE. Errors are ignored because writes to a bytes.Buffer can't fail.
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
		return nil, errors.New("decompressed frame body exceeds the limit of 24 MiB")
	}
	return decompressed, nil
}

// readFrame reads a frame and returns its decompressed body, or nil for a heartbeat. read must fill the slice that it is passed; header
// is a buffer of frameHeaderSize bytes. Invalid frames are counted in MalformedFrames.
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
		return nil, fmt.Errorf("frame body of %d bytes exceeds the limit of 24 MiB", length)
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
