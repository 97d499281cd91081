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

// bodyTimeout is for a body, beside a second for each megabyte of it that is stated.
const bodyTimeout = 5 * time.Second

// bodyTime is how long a body of this length may take, -1 for one that isn't stated.
func bodyTime(length int64) time.Duration {
	return bodyTimeout + time.Duration(max(0, length)>>20)*time.Second
}

// readBody reads a request's body whole, within the memory that bodies have. It tells how much of that it has taken up, which is
// the caller's to give back whatever the fault.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, l config.Limits) (body []byte, weight int64, fault apierror.Kind) {
	if r.ContentLength == 0 {
		return nil, 0, apierror.None
	}
	if r.ContentLength > int64(l.BodyBytes) {
		return nil, 0, apierror.BodyTooLarge
	}
	crowded := func() ([]byte, int64, apierror.Kind) {
		p.counters.bodyRefused.Add(1)
		w.Header()["Connection"] = []string{"close"} // what comes of it is not waited for
		return nil, weight, apierror.Overloaded
	}
	var err error
	if r.ContentLength > 0 {
		if !p.reserveBody(r.ContentLength, r.ContentLength) {
			return crowded()
		}
		weight = r.ContentLength
		body = make([]byte, weight)
		_, err = io.ReadFull(r.Body, body)
	} else {
		var parts [][]byte
		from, total := http.MaxBytesReader(w, r.Body, int64(l.BodyBytes)), int64(0)
		for err == nil {
			last := len(parts) - 1
			if last < 0 || len(parts[last]) == cap(parts[last]) {
				more := max(firstChunkBytes, total/2)
				if !p.reserveBody(more, total+more) {
					return crowded()
				}
				weight += more
				parts = append(parts, make([]byte, 0, more))
				last++
			}
			var n int
			part := parts[last]
			n, err = from.Read(part[len(part):cap(part)])
			parts[last], total = part[:len(part)+n], total+int64(n)
		}
		if err == io.EOF {
			if body, err = parts[0], nil; len(parts) > 1 {
				if !p.reserveBody(total, total) {
					return crowded()
				}
				body = slices.Concat(parts...)
				p.heldBodyBytes.Add(-weight)
				weight = total
			}
		}
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, weight, apierror.BodyTooLarge
	case err != nil:
		return nil, weight, apierror.Malformed
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, weight, apierror.None
}
