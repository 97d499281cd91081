package dispatch

import (
	"errors"
	"io"
)

// maxBodyBytes bounds the body of a request or of an answer.
const maxBodyBytes = 64 << 10

// ErrTooLarge says that a body is longer than the protocol allows.
var ErrTooLarge = errors.New("body of more than 64 KiB")

// ReadBody reads a complete body into memory. A length of -1 says that the length is not stated; otherwise the body is
// read at once into a buffer of that size. A body of more than 64 KiB is ErrTooLarge, a short one io.ErrUnexpectedEOF.
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
	// Reading up to the end of the body is what frees its connection for the next request.
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
