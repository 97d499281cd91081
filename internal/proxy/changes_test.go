package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/update"
)

// Every request that was read must get one complete response, whichever change is applied while it is queued, at a host, being retried, or
// receiving a streamed response. So must the request pipelined behind it.
func TestChangesDuringRequests(t *testing.T) {
	type env struct {
		p    *Proxy
		host *scriptedHost
	}
	applyItem := func(w env, i config.Item) { w.p.publish(w.p.endpoints.Apply([]update.Change{{Item: &i}}, false)) }
	changes := map[string]func(t *testing.T, w env){
		"route dropped": func(t *testing.T, w env) {
			applyChange(t, w.p, `{"set-items":{},"drop-names":{"routes":[{"name":"long","version":"00000005"}]}}`)
		},
		"route and service dropped": func(t *testing.T, w env) {
			applyChange(t, w.p, `{"set-items":{},"drop-names":{"routes":[{"name":"long","version":"00000005"},{"name":"safe","version":"00000005"},
{"name":"unsafe","version":"00000005"},{"name":"root","version":"00000005"}],"services":[{"name":"desk","version":"00000005"}]}}`)
		},
		"retargeted": func(t *testing.T, w env) {
			applyChange(t, w.p, setRoutes([]string{"other"}, longRoute("safe_method", "other", 20, 20, 5)))
		},
		"kind changed": func(t *testing.T, w env) {
			applyChange(t, w.p, setRoutes(nil, longRoute("unsafe_method", "desk", 20, 20, 5)))
		},
		"timeout lowered": func(t *testing.T, w env) {
			applyChange(t, w.p, setRoutes(nil, longRoute("safe_method", "desk", 0.001, 0.001, 5)))
		},
		"timeout raised": func(t *testing.T, w env) {
			applyChange(t, w.p, setRoutes(nil, longRoute("safe_method", "desk", 300, 100, 5)))
		},
		"all limits lowered": func(t *testing.T, w env) {
			w.p.mu.Unlock()
			setLimits(t, w.p, `"header-bytes":1,"body-bytes":0,"header-timeout-s":0.001,"idle-timeout-s":0.001`)
			w.p.mu.Lock()
		},
		"800 routes": func(t *testing.T, w env) { applyChange(t, w.p, manyRoutes(800)) },
		"connection-limit lowered": func(t *testing.T, w env) {
			applyChange(t, w.p, strings.Replace(strings.Replace(setRoutes([]string{"desk"}), `140`, `1`, 1), `"00000001"]]`, `"00000005"]]`, 1))
		},
		"evacuated": func(t *testing.T, w env) {
			applyItem(w, config.Item{Kind: config.KindEvacuations, Name: "z", Version: 1, Body: []byte(`{"begun":true}`)})
		},
		"another stable version": func(t *testing.T, w env) {
			applyItem(w, config.Item{Kind: config.KindStableVersions, Name: "desk", Version: 9, Body: []byte(`{"version":"v2"}`)})
		},
		"rollout": func(t *testing.T, w env) {
			applyItem(w, config.Item{Kind: config.KindRollouts, Name: "desk", Version: 2, Body: []byte(`{"order":1,"target":"v2","state":1}`)})
		},
		"host draining": func(t *testing.T, w env) {
			w.p.publish(w.p.endpoints.Apply([]update.Change{instanceChange(0, w.host.address, instance.Draining, 2, false)}, false))
		},
		"host silent": func(t *testing.T, w env) {
			w.p.publish(w.p.endpoints.Apply([]update.Change{instanceChange(0, w.host.address, 0, 2, true)}, false))
		},
		"host gone": func(t *testing.T, w env) {
			w.p.publish(w.p.endpoints.Apply([]update.Change{instanceChange(0, w.host.address, instance.Gone, 2, false)}, false))
		},
		"empty snapshot": func(t *testing.T, w env) { w.p.publish(w.p.endpoints.Apply(nil, true)) },
	}
	long := strings.Repeat("y", 4*maxBufferedAnswer)
	states := map[string]string{"at the host": "200", "streams": "200", "being retried": "200", "waits": "200 503"} // allowed status codes by state of the request
	for state, want := range states {
		for name, change := range changes {
			t.Run(state+"/"+name, func(t *testing.T) {
				t.Parallel()
				arrived, proceed := make(chan bool, 100), make(chan bool)
				h := startScriptedHost(t, func(n int, r *http.Request, body string) (string, bool) {
					if state == "being retried" && n == 1 {
						return notRunAnswer(r.Header.Get("Attempt-Id")), true
					}
					if state != "streams" {
						arrived <- true
						<-proceed
					}
					return goodAnswer(r, "x"), true
				})
				if state == "streams" {
					h = startStreamingHost(t, long, arrived, proceed)
				}
				p, addr := startProxy(t, h)
				p.mu.Lock()
				p.publish(p.endpoints.Apply([]update.Change{instanceChange(0, h.address, 0, 1, false)}, false))
				applyChange(t, p, setRoutes(nil, longRoute("safe_method", "desk", 20, 4, 2)))
				p.mu.Unlock()
				count := int64(1)
				if state == "waits" { // more than the host gets at once
					count = 12
				}
				conns := make([]net.Conn, count)
				for i := range conns {
					c, err := net.Dial("tcp", addr)
					qt.Assert(t, err, qt.IsNil)
					defer c.Close()
					c.SetDeadline(time.Now().Add(30 * time.Second))
					io.WriteString(c, strings.Replace(virtualRequest, "/look/x", "/long/x", 1)) // with another one pipelined behind it
					io.WriteString(c, strings.Replace(virtualRequest, "/look/x", "/long/behind", 1))
					conns[i] = c
				}
				<-arrived
				waitUntil(t, func() bool { return p.counters.received.Load() >= count })
				if forwarded := p.counters.byDistance[0].Load(); state == "waits" {
					qt.Assert(t, forwarded < count, qt.IsTrue, qt.Commentf("%d of %d requests were forwarded", forwarded, count))
				}
				p.mu.Lock()
				change(t, env{p, h})
				p.mu.Unlock()
				close(proceed)
				for _, c := range conns {
					in := bufio.NewReader(c)
					r, err := http.ReadResponse(in, nil)
					qt.Assert(t, err, qt.IsNil)
					body, err := io.ReadAll(r.Body)
					qt.Assert(t, err, qt.IsNil, qt.Commentf("connection cut: %s", &p.counters.cuts))
					qt.Check(t, strings.Contains(want, r.Status[:3]), qt.IsTrue, qt.Commentf("%s", r.Status))
					if r.StatusCode == 200 {
						qt.Check(t, len(body), qt.Equals, map[bool]int{true: len(long), false: 1}[state == "streams"])
					}
					_, err = http.ReadResponse(in, nil) // any response to the pipelined request
					qt.Check(t, err, qt.IsNil, qt.Commentf("pipelined request; connection cut: %s", &p.counters.cuts))
				}
			})
		}
	}
}

// Requests must be accepted, served and timed out while a configuration change holds Proxy.mu, however long that takes.
func TestRequestsDuringLongChange(t *testing.T) {
	never := make(chan bool)
	t.Cleanup(func() { close(never) })
	h := startScriptedHost(t, func(_ int, r *http.Request, _ string) (string, bool) {
		if strings.HasSuffix(r.URL.Path, "never") {
			<-never
		}
		return goodAnswer(r, "x"), true
	})
	p, addr := startProxy(t, h)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range []struct{ target, want string }{{"/look/x", "200"}, {"/look/never", "504"}, {"/nowhere", "404"}, {"/look/x", "200"}} {
		qt.Check(t, status(exchange(t, addr, "GET", x.target, "a", "")), qt.Equals, x.want, qt.Commentf("%s", x.target))
	}
}
