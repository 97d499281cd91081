package hollow

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/network"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// FrameKind is the kind of a frame that a control process sends to a router.
type FrameKind int

// Kinds of frames.
const (
	HeartbeatFrame FrameKind = iota // empty
	HelloFrame
	SnapshotFrame
	BatchFrame
	StatusFrame
	QuotaFrame
	OtherFrame
	frameKinds
)

func (k FrameKind) String() string {
	return [...]string{"beat", "hello", "snapshot", "news", "status", "shares", "other"}[k]
}

// frameHeader is the part of a frame that a hollow router needs. The changes of an update are not decoded, and of a large compressed
// frame only the beginning is decompressed.
type frameHeader struct {
	Kind             FrameKind
	Incarnation      string
	From, To         uint64
	Progress         update.Progress // of a chunked snapshot: the changes received, including this chunk
	ChunkTotal       int             // number of changes in a chunked snapshot; 0 if the snapshot is one frame
	Complete, Quorum bool
	Hosts, Routers   int    // numbers of host and router changes in the batch
	Items            int    // number of item changes in the batch
	Body             []byte // encoded batch
}

const (
	fullReadBytes   = 2 * update.ChunkBytes // compressed frames shorter than this are decompressed completely
	headerReadBytes = 2 << 10               // bytes to decompress of longer frames
)

// parseFrame parses the payload of a frame. It relies on the encoding order of update.Message: the first key identifies the kind, and
// the offsets of a batch precede its changes.
func parseFrame(raw []byte, compressed bool) (header frameHeader, err error) {
	if len(raw) == 0 {
		return frameHeader{}, nil
	}
	if compressed {
		limit := int64(headerReadBytes)
		if len(raw) < fullReadBytes {
			limit = 4 << 20
		}
		if raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), limit)); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			return frameHeader{}, err
		}
	}
	switch {
	case bytes.HasPrefix(raw, []byte(`{"h":`)):
		return frameHeader{Kind: HelloFrame}, nil
	case bytes.HasPrefix(raw, []byte(`{"s":`)):
		var msg struct {
			S update.Status `json:"s"`
		}
		err := json.Unmarshal(raw, &msg)
		return frameHeader{Kind: StatusFrame, Complete: msg.S.Complete, Quorum: msg.S.HasQuorum}, err
	case bytes.HasPrefix(raw, []byte(`{"t":`)):
		return frameHeader{Kind: QuotaFrame}, nil
	case bytes.HasPrefix(raw, []byte(`{"k":`)):
		return parseChunk(raw)
	case !bytes.HasPrefix(raw, []byte(`{"n":`)):
		return frameHeader{Kind: OtherFrame}, nil
	}
	header.Kind = BatchFrame
	dec := json.NewDecoder(bytes.NewReader(raw[len(`{"n":`):]))
	for {
		tok, err := dec.Token()
		if err != nil {
			return header, nil // a batch without changes, or truncated by headerReadBytes
		}
		name, _ := tok.(string)
		switch name {
		case "l", "f", "t", "s":
			var value any
			if err := dec.Decode(&value); err != nil {
				return frameHeader{}, fmt.Errorf("decode update batch: %w", err)
			}
			switch x := value.(type) {
			case string:
				header.Incarnation = x
			case bool:
				header.Kind = SnapshotFrame
			case float64:
				if name == "f" {
					header.From = uint64(x)
				} else {
					header.To = uint64(x)
				}
			}
		case "n":
			header.Body = raw
			header.Hosts, header.Routers, header.Items = bytes.Count(raw, []byte(`{"h":{`)), bytes.Count(raw, []byte(`{"f":{"n"`)), bytes.Count(raw, []byte(`{"i":{"k"`))
			return header, nil
		}
	}
}

// parseChunk decodes a complete chunk of a snapshot.
func parseChunk(raw []byte) (frameHeader, error) {
	var msg struct {
		K struct {
			update.Chunk
			Notes []json.RawMessage `json:"n"`
		} `json:"k"`
	}
	if err := json.Unmarshal(raw, &msg); err != nil {
		return frameHeader{}, err
	}
	c := msg.K
	return frameHeader{Kind: SnapshotFrame, Incarnation: c.Incarnation, To: c.To, Progress: update.Progress{Name: c.Name, Received: c.From + len(c.Notes)}, ChunkTotal: c.Total}, nil
}

// UpdateStats counts the frames between control and all routers. Arrays are indexed by frame kind and by distance to the control
// process.
type UpdateStats struct {
	Frames, Bytes         [frameKinds][3]atomic.Int64
	Uploads, UploadBytes  [3]atomic.Int64
	Hosts, Routers, Items atomic.Int64 // changes in batches
	Dials                 atomic.Int64
}

// hollowRouter emulates the control-plane side of a proxy: gossip and a subscription to a control process.
type hollowRouter struct {
	run   *run
	index int
	name  string
	ip    string
	zone  int

	mu             sync.Mutex // guards conn, controlZone and lastWrite
	conn           net.Conn
	controlZone    int // zone of the control process at the other end of conn
	lastWrite      time.Time
	subscription   update.Subscription
	snapshotHeader frameHeader  // last chunk received of an incomplete snapshot
	subscribedZone int          // zone of the control process that sent the last snapshot
	readySince     atomic.Int64 // Unix nanoseconds since when the router is ready; 0 if it is not
	registeredAt   int64        // Unix nanoseconds when conn was established
	cancel         context.CancelFunc
	gossiper       *gossip.Gossiper
}

// start runs the router until ctx is done. It can be called again after that, which emulates a restart.
func (r *hollowRouter) start(ctx context.Context) error {
	p, err := network.Host{}.ListenPacket(net.JoinHostPort(r.ip, strconv.Itoa(lastInternalPort)))
	if err != nil {
		return err
	}
	r.gossiper = gossip.NewGossiper(gossip.Member{IP: r.ip, Kind: gossip.Proxy, Zone: zoneName(r.zone)}, partitionedPacketConn{p, &partitionedNetwork{}}, [2]int{firstInternalPort, lastInternalPort},
		r.run.Seed^uint64(r.index)<<20, func(string, []byte) {})
	for _, z := range r.run.seeds() {
		r.gossiper.Add(gossip.Member{IP: address(z, 0), Kind: gossip.Control})
	}
	go r.gossiper.Run(ctx)
	go r.keepSubscribed(ctx)
	return nil
}

// keepSubscribed keeps the router subscribed as a real proxy does: to a seed node first, later to the nearest control process.
func (r *hollowRouter) keepSubscribed(ctx context.Context) {
	avoid := map[int]time.Time{}
	known := r.run.seeds()
	for ctx.Err() == nil {
		zone := r.nearest(known, avoid)
		err := r.subscribe(ctx, zone, avoid)
		if r.readySince.Swap(0) != 0 {
			known = r.run.controlZones()
		}
		if !errors.Is(err, errNearerControl) {
			avoid[zone] = time.Now().Add(3 * time.Second)
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// nearest returns the zone of the nearest control process in known. Zones in avoid come last until their time has passed.
func (r *hollowRouter) nearest(known []int, avoid map[int]time.Time) int {
	now := time.Now()
	candidates := slices.Clone(known)
	slices.SortFunc(candidates, func(a, b int) int {
		penalty := func(z int) int {
			if now.Before(avoid[z]) {
				return 1
			}
			return 0
		}
		return cmp.Or(penalty(a)-penalty(b), distance(a, r.zone)-distance(b, r.zone), cmp.Compare((a*31+r.index)*7919%101, (b*31+r.index)*7919%101))
	})
	return candidates[0]
}

var (
	errNearerControl = errors.New("a nearer control process is available")
	errControlBehind = errors.New("timed out waiting for the control process to catch up")
)

// closeReason is the reason why this side closed a stream; nil if it did not.
type closeReason struct{ atomic.Pointer[error] }

// or returns the reason if this side closed the stream, and err otherwise.
func (r *closeReason) or(err error) error {
	if own := r.Load(); own != nil {
		return *own
	}
	return err
}

const (
	dialTimeout    = time.Second
	statusTimeout  = 600 * time.Millisecond  // maximum time between statuses until control has caught up
	nearerInterval = 1500 * time.Millisecond // age of a stream at which the router looks once for a nearer control process
	preamble       = "pfl1"                  // first bytes of a stream, in both directions
	compressedBit  = 1 << 31                 // set in the length prefix of a compressed frame
)

// controlStream is a router's stream to a control process.
type controlStream struct {
	*hollowRouter
	nc          net.Conn
	zone        int // zone of the control process
	distance    int
	closed      closeReason
	statusTimer *time.Timer
}

// subscribe subscribes to the control process of a zone until the stream ends, and returns the reason.
func (r *hollowRouter) subscribe(ctx context.Context, zone int, avoid map[int]time.Time) error {
	r.run.received.Dials.Add(1)
	if r.run.partitioned(r.zone, zone) {
		time.Sleep(time.Second)
		return errUnreachable
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(r.ip)}}
	nc, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(address(zone, 0), strconv.Itoa(firstInternalPort)))
	if err != nil {
		return err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	s := &controlStream{hollowRouter: r, nc: nc, zone: zone, distance: distance(r.zone, zone)}
	s.sendHello()
	defer r.clearConn()
	s.statusTimer = time.AfterFunc(statusTimeout, func() { s.closeFor(&errControlBehind) })
	defer s.statusTimer.Stop()
	nearerTimer := time.AfterFunc(nearerInterval, func() { s.closeForNearer(avoid) })
	defer nearerTimer.Stop()
	prefix := make([]byte, len(preamble))
	if err := s.read(prefix); err != nil || string(prefix) != preamble {
		return s.closed.or(cmp.Or(err, errors.New("unexpected preamble on the stream from the control process")))
	}
	for {
		payload, compressed, err := s.readFrame()
		if err != nil {
			return s.closed.or(err)
		}
		if err := s.handleFrame(payload, compressed); err != nil {
			return err
		}
	}
}

// sendHello makes the stream the router's current connection, and sends the offset and the snapshot progress to resume from.
func (s *controlStream) sendHello() {
	r := s.hollowRouter
	r.mu.Lock()
	r.conn, r.controlZone, r.registeredAt = s.nc, s.zone, time.Now().UnixNano()
	hello := update.Hello{Name: r.name, IP: r.ip, Zone: zoneName(r.zone), Incarnation: r.subscription.Incarnation, Offset: r.subscription.Offset}
	progress := r.snapshotHeader.Progress
	r.mu.Unlock()
	_, _ = s.nc.Write([]byte(preamble)) // if this fails, so does the first read
	r.send(update.Message{Hello: &hello, Progress: &progress})
	r.sendStatus(false)
}

func (r *hollowRouter) clearConn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn = nil
}

// closeFor closes the stream; subscribe then returns the reason.
func (s *controlStream) closeFor(reason *error) {
	s.closed.Store(reason)
	s.nc.Close()
}

// closeForNearer closes the stream if the router is ready and a nearer control process is available.
func (s *controlStream) closeForNearer(avoid map[int]time.Time) {
	if s.readySince.Load() == 0 {
		return
	}
	if best := s.nearest(s.run.controlZones(), avoid); distance(best, s.hollowRouter.zone) < s.distance {
		s.closeFor(&errNearerControl)
	}
}

// read fills b, or fails after the keepalive timeout.
func (s *controlStream) read(b []byte) error {
	s.nc.SetReadDeadline(time.Now().Add(stream.ProxyKeepalive.Timeout))
	_, err := io.ReadFull(s.nc, b)
	return err
}

// readFrame returns the payload of the next frame, still compressed if compressed is set.
func (s *controlStream) readFrame() (payload []byte, compressed bool, err error) {
	prefix := make([]byte, 4)
	if err := s.read(prefix); err != nil {
		return nil, false, err
	}
	length := binary.BigEndian.Uint32(prefix)
	payload = make([]byte, length&^compressedBit)
	return payload, length&compressedBit != 0, s.read(payload)
}

// handleFrame counts a frame and sends the acknowledgement that it requires, if any.
func (s *controlStream) handleFrame(payload []byte, compressed bool) error {
	header, err := parseFrame(payload, compressed)
	if err != nil {
		return err
	}
	stats := &s.run.received
	stats.Frames[header.Kind][s.distance].Add(1)
	stats.Bytes[header.Kind][s.distance].Add(int64(len(payload) + 4))
	switch header.Kind {
	case StatusFrame:
		s.handleStatus(header)
	case SnapshotFrame, BatchFrame:
		return s.handleUpdate(header)
	}
	return nil
}

// handleStatus marks a router ready that resumed at the same control process, once that process has caught up. A status from a
// process that has not caught up restarts the timeout.
func (s *controlStream) handleStatus(header frameHeader) {
	if !header.Complete || !header.Quorum {
		s.statusTimer.Reset(statusTimeout)
		return
	}
	s.statusTimer.Stop()
	if s.subscription.Incarnation != "" && s.subscribedZone == s.zone { // resumed: no snapshot follows
		s.markReady()
	}
}

// handleUpdate acknowledges a chunk of a snapshot or a batch of changes.
func (s *controlStream) handleUpdate(header frameHeader) error {
	r := s.hollowRouter
	stats := &r.run.received
	stats.Hosts.Add(int64(header.Hosts))
	stats.Routers.Add(int64(header.Routers))
	stats.Items.Add(int64(header.Items))
	if header.Progress.Name != "" { // a chunk; the next batch after the last one completes the snapshot
		r.snapshotHeader = header
		r.send(update.Message{Progress: &header.Progress})
		return nil
	}
	if header.completes(r.snapshotHeader) {
		header.Kind, r.snapshotHeader = SnapshotFrame, frameHeader{}
	}
	isSnapshot := header.Kind == SnapshotFrame
	if !r.subscription.Advance(header.Incarnation, header.From, header.To, isSnapshot) {
		return errors.New("update does not continue the last one")
	}
	r.send(update.Message{Ack: header.To})
	if isSnapshot {
		r.subscribedZone = s.zone
		r.markReady()
	} else {
		r.run.recordSeen(r.index, header.Body)
	}
	return nil
}

// completes reports whether h is the batch that directly follows the last chunk of the snapshot.
func (h frameHeader) completes(snapshot frameHeader) bool {
	received := snapshot.Progress.Name != "" && snapshot.ChunkTotal == snapshot.Progress.Received
	return received && h.Kind == BatchFrame && h.Incarnation == snapshot.Incarnation && h.From == snapshot.To
}

// markReady marks the router ready and reports this to control, once per stream.
func (r *hollowRouter) markReady() {
	if r.readySince.CompareAndSwap(0, time.Now().UnixNano()) {
		r.sendStatus(true)
	}
}

// sendStatus sends the router's registration and readiness to control.
func (r *hollowRouter) sendStatus(ready bool) {
	r.send(update.Message{Proxy: &update.Proxy{Name: r.name, Zone: zoneName(r.zone), IP: r.ip, Address: net.JoinHostPort(r.ip, strconv.Itoa(proxyPort)),
		Ready: ready, RegisteredAt: r.registeredAt}})
}

func (r *hollowRouter) send(w update.Message) {
	raw, err := json.Marshal(w)
	if err != nil {
		return
	}
	r.write(append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...))
}

func (r *hollowRouter) write(raw []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil {
		return
	}
	r.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := r.conn.Write(raw); err != nil {
		r.conn.Close()
	}
	r.lastWrite = time.Now()
	t := &r.run.received
	t.Uploads[distance(r.zone, r.controlZone)].Add(1)
	t.UploadBytes[distance(r.zone, r.controlZone)].Add(int64(len(raw)))
}

// sendHeartbeat sends an empty frame if nothing was written for most of the keepalive interval.
func (r *hollowRouter) sendHeartbeat() {
	r.mu.Lock()
	quiet := time.Since(r.lastWrite) >= stream.ProxyKeepalive.Interval*7/8
	r.mu.Unlock()
	if quiet {
		r.write(make([]byte, 4))
	}
}

// closeIfPartitioned closes the connection if an emulated partition separates the router from its control process.
func (r *hollowRouter) closeIfPartitioned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && r.run.partitioned(r.zone, r.controlZone) {
		r.conn.Close()
	}
}
