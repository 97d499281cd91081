package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// HeartbeatStats counts the heartbeats of all hosts.
type HeartbeatStats struct {
	Sent, Acknowledged, Refused, Failed, Dials, Failovers atomic.Int64
	ByDistance                                            [3]atomic.Int64 // by distance to the control process
	BytesByDirection                                      [2]atomic.Int64 // bytes of requests, bytes of responses; without TCP overhead
}

// hollowHost emulates a host: it sends heartbeats to a control process and serves no requests.
type hollowHost struct {
	run         *run
	index       int
	id          string
	ip          string
	zone        int
	service     string
	sequence    int
	draining    atomic.Bool
	controlZone int // zone of the control process that receives the heartbeats
	conn        net.Conn
	reader      *bufio.Reader
}

// runHeartbeats sends heartbeats until ctx is done. The first one is delayed by a time that depends on the host, which spreads the
// heartbeats of all hosts over the interval. After a failure the host switches to another control process at once.
func (h *hollowHost) runHeartbeats(ctx context.Context) {
	defer func() {
		if h.conn != nil {
			h.conn.Close()
		}
	}()
	next := time.NewTimer(time.Duration(h.index*7919%1300) * time.Millisecond)
	defer next.Stop()
	zones := h.run.controlZones()
	for {
		select {
		case <-next.C:
		case <-ctx.Done():
			return
		}
		next.Reset(heartbeatInterval)
		h.sequence++
		for attempt := 0; attempt < len(zones) && ctx.Err() == nil; attempt++ {
			if h.sendHeartbeat(ctx) {
				break
			}
			if h.conn != nil {
				h.conn.Close()
				h.conn = nil
			}
			h.run.heartbeats.Failovers.Add(1)
			h.controlZone = zones[(h.index+h.sequence+attempt)%len(zones)]
		}
		if h.run.FreshConnections && h.conn != nil {
			h.conn.Close()
			h.conn = nil
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether the control process acknowledged it. If the response names another control
// process, the host uses that one from the next heartbeat on.
func (h *hollowHost) sendHeartbeat(ctx context.Context) bool {
	stats := &h.run.heartbeats
	if h.run.partitioned(h.zone, h.controlZone) {
		stats.Failed.Add(1)
		return false
	}
	if h.conn == nil {
		dialer := net.Dialer{Timeout: time.Second, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.ip)}}
		nc, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(address(h.controlZone, 0), strconv.Itoa(controlPort)))
		if err != nil {
			stats.Failed.Add(1)
			return false
		}
		stats.Dials.Add(1)
		h.conn, h.reader = nc, bufio.NewReaderSize(nc, 1024)
	}
	state := "ready"
	if h.draining.Load() {
		state = "draining"
	}
	body := fmt.Sprintf(`{"address":"%s:%d","information":{"service":%q,"version":"v1","zone-name":%q,"slot-count":6},`+
		`"current-status":{"server-state":%q,"sequence":%d,"cold-remaining-s":0}}`, h.ip, proxyPort, h.service, zoneName(h.zone), state, h.sequence)
	request := fmt.Sprintf("POST /-/rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
	h.conn.SetDeadline(time.Now().Add(time.Second))
	stats.Sent.Add(1)
	stats.ByDistance[distance(h.zone, h.controlZone)].Add(1)
	if _, err := io.WriteString(h.conn, request); err != nil {
		stats.Failed.Add(1)
		return false
	}
	resp, err := http.ReadResponse(h.reader, nil)
	if err != nil {
		stats.Failed.Add(1)
		return false
	}
	raw, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		stats.Refused.Add(1)
		return false
	}
	stats.Acknowledged.Add(1)
	stats.BytesByDirection[0].Add(int64(len(request)))
	stats.BytesByDirection[1].Add(int64(len(raw) + 110)) // 110: approximate size of the response header
	var reply struct {
		To string `json:"heartbeat-address"`
	}
	if json.Unmarshal(raw, &reply) == nil && reply.To != "" {
		for _, z := range h.run.controlZones() {
			if reply.To == net.JoinHostPort(address(z, 0), strconv.Itoa(controlPort)) && z != h.controlZone {
				h.controlZone = z
				h.conn.Close()
				h.conn = nil
			}
		}
	}
	return true
}
