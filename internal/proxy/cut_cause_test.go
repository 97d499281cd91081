package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Each connection that the proxy cuts must be counted once, by its cause.
func TestCutsByCause(t *testing.T) {
	h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) { return goodAnswer(r, "x"), true })
	never := make(chan bool)
	t.Cleanup(func() { close(never) })
	slow := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) { <-never; return "", false })
	for cause, provoke := range map[cutCause]func(p *Proxy, c net.Conn){
		cutIdleTimeout: func(p *Proxy, c net.Conn) {
			setLimits(t, p, `"header-bytes":16384,"body-bytes":1048576,"header-timeout-s":3,"idle-timeout-s":0.05`)
			io.WriteString(c, virtualRequest)
			io.Copy(io.Discard, c)
		},
		cutHeaderTimeout: func(p *Proxy, c net.Conn) {
			setLimits(t, p, `"header-bytes":16384,"body-bytes":1048576,"header-timeout-s":0.05,"idle-timeout-s":15`)
			io.WriteString(c, virtualRequest) // the limit applies from the next header on
			io.ReadFull(c, make([]byte, 12))
			io.WriteString(c, virtualRequest[:20])
			io.Copy(io.Discard, c)
		},
		cutClientGone: func(p *Proxy, c net.Conn) {
			io.WriteString(c, virtualRequest)
			waitUntil(t, func() bool { return p.openRequests.Load() > 0 })
			c.Close()
		},
		cutBodyUnread: func(p *Proxy, c net.Conn) {
			fmt.Fprintf(c, "POST /nowhere HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1000000\r\n\r\n")
			io.ReadFull(c, make([]byte, 12))
			c.Close()
		},
	} {
		t.Run(cause.String(), func(t *testing.T) {
			host := h
			if cause == cutClientGone {
				host = slow
			}
			p, addr := startProxy(t, host)
			c, err := net.Dial("tcp", addr)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			provoke(p, c)
			waitUntil(t, func() bool { return p.counters.cuts.String() != "" })
			qt.Check(t, p.counters.cuts.String(), qt.Equals, fmt.Sprintf(" cut.%s=1", cause))
		})
	}
}
