package proxy

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

// minBodyTimeout is the time to read a request body, plus one second for each MiB of its Content-Length.
const minBodyTimeout = 5 * time.Second

// bodyReadTimeout returns the time limit for reading a request body. A length of -1 means unknown.
func bodyReadTimeout(length int64) time.Duration {
	return minBodyTimeout + time.Duration(max(0, length)>>20)*time.Second
}

// setBodyDeadline limits the time to read a request body. The limit also covers what net/http reads of it after the request was rejected.
func setBodyDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout(r.ContentLength)))
	}
}

var errNoBodyMemory = errors.New("not enough memory left to buffer the request body")

// readBody reads a request's body completely, within the memory limit for all bodies. reserved is the number of bytes that it has reserved;
// the caller must release them, also when kind is an error.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, limits config.Limits) (body []byte, reserved int64, kind apierror.Kind) {
	if r.ContentLength == 0 {
		return nil, 0, apierror.None
	}
	if r.ContentLength > int64(limits.BodyBytes) {
		return nil, 0, apierror.BodyTooLarge
	}
	var err error
	if r.ContentLength > 0 {
		body, reserved, err = p.readSizedBody(r.Body, r.ContentLength)
	} else {
		body, reserved, err = p.readChunkedBody(http.MaxBytesReader(w, r.Body, int64(limits.BodyBytes)))
	}
	if err != nil {
		return nil, reserved, p.bodyError(w, err)
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, reserved, apierror.None
}

// bodyError returns the kind of an error from reading a body. If there was no memory for the body, it also sets Connection: close.
func (p *Proxy) bodyError(w http.ResponseWriter, err error) apierror.Kind {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoBodyMemory):
		p.counters.bodyRefused.Add(1)
		w.Header()["Connection"] = []string{"close"} // don't wait for the rest of the body
		return apierror.Overloaded
	case errors.As(err, &tooLarge):
		return apierror.BodyTooLarge
	}
	return apierror.Malformed
}

// readSizedBody reads a body whose Content-Length is known.
func (p *Proxy) readSizedBody(from io.Reader, length int64) (body []byte, reserved int64, err error) {
	if !p.reserveBody(length, length) {
		return nil, 0, errNoBodyMemory
	}
	body = make([]byte, length)
	_, err = io.ReadFull(from, body)
	return body, length, err
}

// readChunkedBody reads a body of unknown length into chunks, each half as long as all earlier ones together, and then concatenates them.
func (p *Proxy) readChunkedBody(from io.Reader) (body []byte, reserved int64, err error) {
	var chunks [][]byte
	total := int64(0)
	for err == nil {
		last := len(chunks) - 1
		if last < 0 || len(chunks[last]) == cap(chunks[last]) {
			more := max(firstChunkBytes, total/2)
			if !p.reserveBody(more, total+more) {
				return nil, reserved, errNoBodyMemory
			}
			reserved += more
			chunks = append(chunks, make([]byte, 0, more))
			last++
		}
		var n int
		chunk := chunks[last]
		n, err = from.Read(chunk[len(chunk):cap(chunk)])
		chunks[last] = chunk[:len(chunk)+n]
		total += int64(n)
	}
	if !errors.Is(err, io.EOF) {
		return nil, reserved, err
	}
	if len(chunks) == 1 {
		return chunks[0], reserved, nil
	}
	if !p.reserveBody(total, total) {
		return nil, reserved, errNoBodyMemory
	}
	body = slices.Concat(chunks...)
	p.heldBodyBytes.Add(-reserved)
	return body, total, nil
}
