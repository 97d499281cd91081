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

// FrameKind is what a frame that control sends a router holds.
type FrameKind int

// The kinds of frames.
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

// frameHeader is a frame from control, as far as its beginning tells: where the rest is long it isn't read.
type frameHeader struct {
	Kind             FrameKind
	Incarnation      string
	From, To         uint64
	Progress         update.Progress // of a snapshot that comes in chunks: what is there with this one
	ChunkTotal       int             // notes that it has in all; 0 where it comes in one frame
	Complete, Quorum bool
	Hosts, Routers   int // notes of a batch
	Items            int
	Body             []byte // of a batch
}

const (
	fullReadBytes   = 2 * update.ChunkBytes // bytes up to which a frame is read whole
	headerReadBytes = 2 << 10               // of a longer one
)

// parseFrame reads a frame's body: the first member of a word says what it is, and of news the numbers come before the notes.
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
			return header, nil // news without notes, or as much of it as was read
		}
		name, _ := tok.(string)
		switch name {
		case "l", "f", "t", "s":
			var value any
			if err := dec.Decode(&value); err != nil {
				return frameHeader{}, fmt.Errorf("news: %w", err)
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

// parseChunk reads a snapshot's chunk; it is short enough to be read whole.
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

// UpdateStats counts what routers were told, by kind and by how far the control process is.
type UpdateStats struct {
	Frames, Bytes         [frameKinds][3]atomic.Int64
	Uploads, UploadBytes  [3]atomic.Int64
	Hosts, Routers, Items atomic.Int64 // notes
	Dials                 atomic.Int64
}

// hollowRouter is a hollow one.
type hollowRouter struct {
	run   *run
	index int
	name  string
	ip    string
	zone  int

	mu             sync.Mutex
	conn           net.Conn
	controlZone    int // zone of the control process
	lastWrite      time.Time
	subscription   update.Subscription
	snapshotHeader frameHeader  // the last chunk of a snapshot that isn't whole with what came since
	subscribedZone int          // the zone of the control process whose news it has
	readySince     atomic.Int64 // Unix nanoseconds since when it follows with a snapshot, 0 for not
	registeredAt   int64
	cancel         context.CancelFunc
	gossiper       *gossip.Gossiper
}

// start is one life.
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

// keepSubscribed keeps a line as fairway does: a seed first, then the nearest.
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

// nearest is the control process of these zones to be followed; who failed of late comes last.
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
	errNearerControl = errors.New("a nearer one is known")
	errControlBehind = errors.New("it hears too few others")
)

// closeReason is why this side ended a line, if it did.
type closeReason struct{ atomic.Pointer[error] }

func (r *closeReason) or(err error) error {
	if own := r.Load(); own != nil {
		return *own
	}
	return err
}

const (
	dialTimeout    = time.Second
	statusTimeout  = 600 * time.Millisecond  // for a status that says that control has caught up
	nearerInterval = 1500 * time.Millisecond // until a nearer control process is preferred
	preamble       = "pfl1"                  // of both directions of a stream
	compressedBit  = 1 << 31                 // of a frame's length
)

// controlStream is a router's stream to a control process.
type controlStream struct {
	*hollowRouter
	nc          net.Conn
	zone        int // of the control process
	distance    int
	closed      closeReason
	statusTimer *time.Timer
}

// subscribe subscribes to the control process of a zone until the stream ends, and returns why it did.
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
		return s.closed.or(cmp.Or(err, errors.New("no stream of this protocol")))
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

// sendHello makes the stream the router's connection, and sends what the router has.
func (s *controlStream) sendHello() {
	r := s.hollowRouter
	r.mu.Lock()
	r.conn, r.controlZone, r.registeredAt = s.nc, s.zone, time.Now().UnixNano()
	hello := update.Hello{Name: r.name, IP: r.ip, Zone: zoneName(r.zone), Incarnation: r.subscription.Incarnation, Offset: r.subscription.Offset}
	progress := r.snapshotHeader.Progress
	r.mu.Unlock()
	_, _ = s.nc.Write([]byte(preamble)) // where it fails, the first read does too
	r.send(update.Message{Hello: &hello, Progress: &progress})
	r.sendStatus(false)
}

// clearConn leaves the router without a connection.
func (r *hollowRouter) clearConn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn = nil
}

// closeFor closes the stream for a reason.
func (s *controlStream) closeFor(reason *error) {
	s.closed.Store(reason)
	s.nc.Close()
}

// closeForNearer closes the stream of a ready router if a nearer control process could be used.
func (s *controlStream) closeForNearer(avoid map[int]time.Time) {
	if s.readySince.Load() == 0 {
		return
	}
	if best := s.nearest(s.run.controlZones(), avoid); distance(best, s.hollowRouter.zone) < s.distance {
		s.closeFor(&errNearerControl)
	}
}

// read reads a number of bytes within the keepalive's timeout.
func (s *controlStream) read(b []byte) error {
	s.nc.SetReadDeadline(time.Now().Add(stream.ProxyKeepalive.Timeout))
	_, err := io.ReadFull(s.nc, b)
	return err
}

// readFrame reads a frame's payload.
func (s *controlStream) readFrame() (payload []byte, compressed bool, err error) {
	prefix := make([]byte, 4)
	if err := s.read(prefix); err != nil {
		return nil, false, err
	}
	length := binary.BigEndian.Uint32(prefix)
	payload = make([]byte, length&^compressedBit)
	return payload, length&compressedBit != 0, s.read(payload)
}

// handleFrame counts a frame and answers it.
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

// handleStatus notes whether control has caught up.
func (s *controlStream) handleStatus(header frameHeader) {
	if !header.Complete || !header.Quorum {
		s.statusTimer.Reset(statusTimeout)
		return
	}
	s.statusTimer.Stop()
	if s.subscription.Incarnation != "" && s.subscribedZone == s.zone { // it was subscribed here before: changes are enough
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
	if header.Progress.Name != "" { // the changes since it come with the next batch
		r.snapshotHeader = header
		r.send(update.Message{Progress: &header.Progress})
		return nil
	}
	if header.completes(r.snapshotHeader) {
		header.Kind, r.snapshotHeader = SnapshotFrame, frameHeader{}
	}
	isSnapshot := header.Kind == SnapshotFrame
	if !r.subscription.Advance(header.Incarnation, header.From, header.To, isSnapshot) {
		return errors.New("an update does not follow on the last one")
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

// completes reports whether a batch follows on the last chunk of a snapshot.
func (h frameHeader) completes(snapshot frameHeader) bool {
	received := snapshot.Progress.Name != "" && snapshot.ChunkTotal == snapshot.Progress.Received
	return received && h.Kind == BatchFrame && h.Incarnation == snapshot.Incarnation && h.From == snapshot.To
}

// markReady notes that the router knows all, and tells control so.
func (r *hollowRouter) markReady() {
	if r.readySince.CompareAndSwap(0, time.Now().UnixNano()) {
		r.sendStatus(true)
	}
}

// sendStatus tells control how the router is.
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

// sendHeartbeat says that the router is there, where it has said nothing of late.
func (r *hollowRouter) sendHeartbeat() {
	r.mu.Lock()
	quiet := time.Since(r.lastWrite) >= stream.ProxyKeepalive.Interval*7/8
	r.mu.Unlock()
	if quiet {
		r.write(make([]byte, 4))
	}
}

// closeIfPartitioned ends the line where a cut lies in its way.
func (r *hollowRouter) closeIfPartitioned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && r.run.partitioned(r.zone, r.controlZone) {
		r.conn.Close()
	}
}
