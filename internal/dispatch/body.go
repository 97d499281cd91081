package dispatch

import (
	"errors"
	"io"
)

// maxBodyBytes is the maximum size of a request or response body.
const maxBodyBytes = 64 << 10

// ErrTooLarge is returned for a body of more than 64 KiB, the limit of the protocol.
var ErrTooLarge = errors.New("body exceeds the limit of 64 KiB")

// ReadBody reads a complete body into memory. A length of -1 means that the length is unknown. ReadBody returns ErrTooLarge
// for a body of more than 64 KiB. For one that ends before length bytes it returns io.ErrUnexpectedEOF, or io.EOF if r is
// empty.
func ReadBody(r io.Reader, length int64) ([]byte, error) {
	if length > maxBodyBytes {
		return nil, ErrTooLarge
	}
	if length < 0 {
		return readUnsized(r)
	}
	return readSized(r, length)
}

func readSized(r io.Reader, length int64) ([]byte, error) {
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	// The connection can be reused only after the body has been read up to io.EOF.
	_, err := r.Read(make([]byte, 1))
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, err
}

func readUnsized(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = ErrTooLarge
	}
	return body, err
}
