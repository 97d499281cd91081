package simulation

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// runRudeClients are clients that pipeline, go away in the middle of a body, or with their request at a host.
func (r *faultyHostRun) runRudeClients(zoneIndex int, duration time.Duration) {
	process := r.Network.Process(fmt.Sprintf("10.%d.201.1", zoneIndex+1))
	deadline := time.Now().Add(duration)
	for n := 0; time.Now().Before(deadline); n++ {
		time.Sleep(time.Duration(50+r.intn(200)) * time.Millisecond)
		kind, address := r.intn(4), r.pickProxy(zoneIndex)
		r.background.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, time.Second)
			defer cancel()
			nc, err := process.Dial(ctx, "tcp", address)
			if err != nil {
				return
			}
			defer nc.Close()
			requests, ids := "", []string{}
			for k := range 3 {
				id := fmt.Sprintf("visit-%d-%d-%d", zoneIndex, n, k)
				ids = append(ids, id)
				requests += fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nTime-Remaining: 2000\r\nContent-Length: 9\r\n\r\n123456789", unsafeRoute.Prefix, id)
			}
			recordOutcome := func(id, outcome string) {
				r.Cluster.mu.Lock()
				defer r.Cluster.mu.Unlock()
				if r.requests = append(r.requests, time.Now()); r.outcomes[id] == "" || outcome != "gone" {
					r.outcomes[id] = outcome
				}
			}
			first := requests[:len(requests)/3]
			switch kind {
			case 0: // in the middle of a body: its id was never sent whole, and no host may run it
				io.WriteString(nc, first[:len(first)-1-r.intn(8)])
				time.Sleep(time.Duration(r.intn(200)) * time.Millisecond)
				if r.intn(2) == 0 {
					nc.(*conn).reset()
				}
				r.count("half a body")
			case 1:
				recordOutcome(ids[0], "gone")
				io.WriteString(nc, first)
				time.Sleep(time.Duration(r.intn(150)) * time.Millisecond)
				if r.intn(2) == 0 {
					nc.(*conn).reset()
				}
				r.count("client gone")
			default:
				if kind == 3 { // long bodies
					requests = strings.ReplaceAll(requests, "Content-Length: 9\r\n\r\n123456789", fmt.Sprintf("Content-Length: %d\r\n\r\n", 5*sendWindow)+strings.Repeat("b", 5*sendWindow))
					r.count("long bodies")
				}
				for _, id := range ids {
					recordOutcome(id, "gone")
				}
				r.background.Go(func() { io.WriteString(nc, requests) })
				nc.SetReadDeadline(time.Now().Add(8 * time.Second))
				reader := bufio.NewReader(nc)
				for _, id := range ids {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					body, err := io.ReadAll(resp.Body)
					if err != nil {
						break
					}
					if recordOutcome(id, fmt.Sprint(resp.StatusCode)); resp.StatusCode == 200 && !strings.HasSuffix(string(body), " ran "+id) {
						r.violation("MIXED: %s got %q", id, body)
					}
					if resp.Close {
						break
					}
				}
				r.count("pipelined")
			}
		})
	}
}
