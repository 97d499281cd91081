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

// Beats counts the beats of all hosts.
type Beats struct {
	Sent, Acknowledged, Refused, Failed, Dials, Moved atomic.Int64
	Far                                               [3]atomic.Int64 // by how far the control process is
	Bytes                                             [2]atomic.Int64 // of questions, of answers, less what TCP adds
}

// host is a hollow one.
type host struct {
	rig      *rig
	n        int
	id       string
	ip       string
	zone     int
	service  string
	sequence int
	draining atomic.Bool
	at       int // zone of the control process that it beats to
	conn     net.Conn
	read     *bufio.Reader
}

// run beats until the context ends; the first beat comes at a moment of the host's own.
func (h *host) run(ctx context.Context) {
	defer func() {
		if h.conn != nil {
			h.conn.Close()
		}
	}()
	next := time.NewTimer(time.Duration(h.n*7919%1300) * time.Millisecond)
	defer next.Stop()
	homes := h.rig.homes()
	for {
		select {
		case <-next.C:
		case <-ctx.Done():
			return
		}
		next.Reset(beat)
		h.sequence++
		for try := 0; try < len(homes) && ctx.Err() == nil; try++ {
			if h.beat(ctx) {
				break
			}
			if h.conn != nil {
				h.conn.Close()
				h.conn = nil
			}
			h.rig.beats.Moved.Add(1)
			h.at = homes[(h.n+h.sequence+try)%len(homes)]
		}
		if h.rig.Fresh && h.conn != nil {
			h.conn.Close()
			h.conn = nil
		}
	}
}

// beat calls the control process once, and tells whether that acknowledged it.
func (h *host) beat(ctx context.Context) bool {
	b := &h.rig.beats
	if h.rig.apart(h.zone, h.at) {
		b.Failed.Add(1)
		return false
	}
	if h.conn == nil {
		d := net.Dialer{Timeout: time.Second, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.ip)}}
		c, err := d.DialContext(ctx, "tcp", net.JoinHostPort(address(h.at, 0), strconv.Itoa(controlPort)))
		if err != nil {
			b.Failed.Add(1)
			return false
		}
		b.Dials.Add(1)
		h.conn, h.read = c, bufio.NewReaderSize(c, 1024)
	}
	state := "ready"
	if h.draining.Load() {
		state = "draining"
	}
	body := fmt.Sprintf(`{"address":"%s:%d","information":{"service":%q,"version":"v1","zone-name":%q,"slot-count":6},`+
		`"current-status":{"server-state":%q,"sequence":%d,"cold-remaining-s":0}}`, h.ip, frontPort, h.service, zoneName(h.zone), state, h.sequence)
	question := fmt.Sprintf("POST /-/rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
	h.conn.SetDeadline(time.Now().Add(time.Second))
	b.Sent.Add(1)
	b.Far[ring(h.zone, h.at)].Add(1)
	if _, err := io.WriteString(h.conn, question); err != nil {
		b.Failed.Add(1)
		return false
	}
	resp, err := http.ReadResponse(h.read, nil)
	if err != nil {
		b.Failed.Add(1)
		return false
	}
	raw, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Refused.Add(1)
		return false
	}
	b.Acknowledged.Add(1)
	b.Bytes[0].Add(int64(len(question)))
	b.Bytes[1].Add(int64(len(raw) + 110)) // and the head
	var v struct {
		To string `json:"heartbeat-address"`
	}
	if json.Unmarshal(raw, &v) == nil && v.To != "" {
		for _, z := range h.rig.homes() {
			if v.To == net.JoinHostPort(address(z, 0), strconv.Itoa(controlPort)) && z != h.at {
				h.at = z
				h.conn.Close()
				h.conn = nil
			}
		}
	}
	return true
}
