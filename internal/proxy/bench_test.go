package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkBodies measures a request with a body on a keep-alive connection. The results include about ten allocations of the emulated host.
func BenchmarkBodies(b *testing.B) {
	address := acceptConns(b, func(_ int, c net.Conn) {
		defer c.Close()
		in, answer := bufio.NewReader(c), []byte("HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 4\r\n\r\nbody")
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			c.Write(answer)
		}
	})
	_, addr := startProxy(b, &scriptedHost{address: address})
	for _, size := range []int{1 << 10, 64 << 10, 1 << 20} {
		for _, chunked := range []bool{false, true} {
			framing, body := fmt.Sprintf("Content-Length: %d\r\n\r\n", size), bytes.Repeat([]byte("b"), size)
			if chunked {
				framing, body = "Transfer-Encoding: chunked\r\n\r\n", fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", size, body)
			}
			request := append([]byte("POST /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: a\r\nTime-Remaining: 1500\r\n"+framing), body...)
			b.Run(fmt.Sprintf("%dKB,chunked=%v", size>>10, chunked), func(b *testing.B) {
				c, err := net.Dial("tcp", addr)
				qt.Assert(b, err, qt.IsNil)
				defer c.Close()
				answer, n := make([]byte, 4096), 0
				b.ReportAllocs()
				for b.Loop() {
					c.Write(request)
					if n == 0 {
						n, err = c.Read(answer)
					} else {
						_, err = io.ReadFull(c, answer[:n])
					}
					if err != nil || string(answer[9:12]) != "200" {
						b.Fatal(err, string(answer[:n]))
					}
				}
			})
		}
	}
}
