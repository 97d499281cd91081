package httpframing

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"testing"
)

var (
	lengthLine = regexp.MustCompile(`(?im)^content-length:`)
	codingLine = regexp.MustCompile(`(?im)^transfer-encoding:`)
)

// compare parses the bytes of a connection with net/http and with a Stream that gets them in reads of the given size. Both must find
// the same framing for each request that net/http accepts. It returns the number of requests read completely.
func compare(t *testing.T, raw []byte, readSize int) (read int) {
	var s Stream
	for rest := raw; len(rest) > 0; {
		n := min(max(1, readSize), len(rest))
		s.Read(rest[:n])
		rest = rest[n:]
	}
	source := bytes.NewReader(raw)
	in := bufio.NewReader(source)
	position := func() int { return len(raw) - source.Len() - in.Buffered() }
	for last := ""; ; {
		if last == http.MethodPost { // net/http's server skips line breaks after a POST for old clients
			next, _ := in.Peek(4)
			in.Discard(len(next) - len(bytes.TrimLeft(next, "\r\n")))
		}
		from := position()
		r, err := http.ReadRequest(in)
		if err != nil {
			return read
		}
		head := raw[from:position()]
		last = r.Method
		got := s.Next()
		lengths := len(lengthLine.FindAll(head, -1))
		codings := len(codingLine.FindAll(head, -1))
		if !got.Lost && (lengths != got.Lengths || codings != got.TransferEncodings) {
			t.Fatalf("%q has %d Content-Length and %d Transfer-Encoding lines, got %+v", head, lengths, codings, got)
		}
		if got.Ambiguous() || got.TransferEncodings > 0 && !r.ProtoAtLeast(1, 1) { // the proxy rejects it
			if got.Lost && lengths == 0 {
				t.Fatalf("framing is lost at %q", head)
			}
			return read
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return read
		}
		read++
	}
}

// A Stream must find the same requests as net/http, however the bytes are split into reads.
func TestStream(t *testing.T) {
	get := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, test := range map[string]struct {
		raw  string
		read int
	}{
		"one":                         {get, 1},
		"three":                       {get + get + get, 3},
		"bodies":                      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nGET " + get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n" + get, 4},
		"chunks":                      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nA;x=\"y\"\r\n0123456789\r\n001\r\n\n\r\n0\r\nContent-Length: 3\r\n\r\n" + get, 2},
		"both":                        {get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, 1},
		"two lengths":                 {get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\ncontent-length: 0\r\n\r\n" + get, 1},
		"longer field name":           {"GET / HTTP/1.1\r\nHost: a\r\nContent-Length-But-Not-Quite: 9\r\n\r\n" + get, 2},
		"length between spaces":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: \t 1 \r\n\r\n1" + get, 2},
		"HTTP/1.0":                    {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, 0},
		"empty line between requests": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, 1},
		"truncated body":              {get + "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 400\r\n\r\n" + get, 1},
	} {
		for readSize := 1; readSize < len(test.raw)+1; readSize++ {
			if got := compare(t, []byte(test.raw), readSize); got != test.read {
				t.Errorf("%s, in reads of %d bytes: got %d requests, want %d", name, readSize, got, test.read)
			}
		}
	}
}

// FuzzStream checks that a Stream and net/http agree on the framing of arbitrary bytes, split into reads of any size.
func FuzzStream(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\nPOST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"), 7)
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 1)
	f.Add([]byte("POST / HTTP/1.1\nTransfer-Encoding:chunked\nContent-Length: 1\n\n0\n\n"), 100)
	f.Add([]byte("POST / HTTP/1.1\r\nX: y\r\n Content-Length: 1\r\nContent-Length:\r\n 1\r\n\r\n0"), 3)
	f.Fuzz(func(t *testing.T, raw []byte, readSize int) { compare(t, raw, readSize) })
}
