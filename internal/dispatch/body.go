package dispatch

import (
	"errors"
	"io"
)

// ErrTooLarge says that a body is longer than the protocol allows.
var ErrTooLarge = errors.New("body of more than 64 KiB")

const maxBodyBytes = 64 << 10 // a body's bytes

// ReadBody reads a body whole, at once where its length is stated; -1 says that it is not.
func ReadBody(r io.Reader, length int64) ([]byte, error) {
	if length > maxBodyBytes {
		return nil, ErrTooLarge
	}
	if length >= 0 {
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, err
		}
		_, err := r.Read(make([]byte, 1)) // the end, which frees the connection
		if err == io.EOF {
			err = nil
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = ErrTooLarge
	}
	return body, err
}
