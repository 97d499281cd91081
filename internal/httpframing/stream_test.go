package httpframing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"testing"
)

var lengthLine, codingLine = regexp.MustCompile(`(?im)^content-length:`), regexp.MustCompile(`(?im)^transfer-encoding:`)

// compare reads a connection's bytes with net/http and with a Stream, which gets them in parts: of each request that net/http
// reads whole both must know the same.
func compare(t *testing.T, raw []byte, part int) (read int) {
	var s Stream
	for rest := raw; len(rest) > 0; {
		n := min(max(1, part), len(rest))
		s.Read(rest[:n])
		rest = rest[n:]
	}
	source := bytes.NewReader(raw)
	in := bufio.NewReader(source)
	at := func() int { return len(raw) - source.Len() - in.Buffered() }
	for last := ""; ; {
		if last == http.MethodPost { // as net/http's server does, for old clients
			next, _ := in.Peek(4)
			in.Discard(len(next) - len(bytes.TrimLeft(next, "\r\n")))
		}
		from := at()
		r, err := http.ReadRequest(in)
		if err != nil {
			return read
		}
		head := raw[from:at()]
		last = r.Method
		is := s.Next()
		if lengths, codings := len(lengthLine.FindAll(head, -1)), len(codingLine.FindAll(head, -1)); !is.Lost &&
			(lengths != is.Lengths || codings != is.TransferEncodings) {
			t.Fatalf("%q: %d lengths and %d codings, not %+v", head, lengths, codings, is)
		}
		if is.Ambiguous() || is.TransferEncodings > 0 && !r.ProtoAtLeast(1, 1) { // the connection ends here
			if is.Lost && len(lengthLine.FindAll(head, -1)) == 0 {
				t.Fatalf("%q is lost", head)
			}
			return read
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return read
		}
		read++
	}
}

func TestStream(t *testing.T) {
	get := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, x := range map[string]struct {
		raw  string
		read int
	}{
		"one":                {get, 1},
		"three":              {get + get + get, 3},
		"bodies":             {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nGET " + get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" + get, 4},
		"chunks":             {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nA;x=\"y\"\r\n0123456789\r\n001\r\n\n\r\n0\r\nContent-Length: 3\r\n\r\n" + get, 2},
		"both":               {get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, 1},
		"two lengths":        {get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\ncontent-length: 0\r\n\r\n" + get, 1},
		"a long name":        {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length-But-Not-Quite: 9\r\n\r\n" + get, 2},
		"a length of spaces": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: \t 1 \r\n\r\n1" + get, 2},
		"HTTP/1.0":           {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, 0},
		"lines between":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, 1},
		"no end":             {get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 400\r\n\r\n" + get, 1},
	} {
		for part := 1; part < len(x.raw)+1; part++ {
			if got := compare(t, []byte(x.raw), part); got != x.read {
				t.Errorf("%s, in parts of %d: %d read, wanted %d", name, part, got, x.read)
			}
		}
	}
}

func FuzzStream(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"), 7)
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 1)
	f.Add([]byte("POST / HTTP/1.1\nTransfer-Encoding:chunked\nContent-Length: 1\n\n0\n\n"), 100)
	f.Add([]byte("POST / HTTP/1.1\r\nX: y\r\n Content-Length: 1\r\nContent-Length:\r\n 1\r\n\r\n0"), 3)
	f.Fuzz(func(t *testing.T, raw []byte, part int) { compare(t, raw, part) })
}
