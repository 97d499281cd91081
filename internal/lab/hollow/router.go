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

// Kind is what a frame that control sends a router holds.
type Kind int

const (
	Empty Kind = iota // a beat of the line
	Greeting
	Snapshot
	Batch
	Status
	Tons
	Other
	kinds
)

func (k Kind) String() string {
	return [...]string{"beat", "hello", "snapshot", "news", "status", "shares", "other"}[k]
}

// head is a frame from control, as far as its beginning tells: where the rest is long it isn't read.
type head struct {
	Kind            Kind
	Life            string
	From, To        uint64
	Part            update.Progress // of a snapshot that comes in chunks: what is there with this one
	Of              int             // notes that it has in all; 0 where it comes in one frame
	Whole, Majority bool
	Hosts, Fronts   int // notes of a batch
	Items           int
	Body            []byte // of a batch
}

const (
	enough  = 2 * update.ChunkBytes // bytes up to which a frame is read whole
	opening = 2 << 10               // of a longer one
)

// readHead reads a frame's body: the first member of a word says what it is, and of news the numbers come before the notes.
func readHead(raw []byte, packed bool) (h head, err error) {
	if len(raw) == 0 {
		return head{}, nil
	}
	if packed {
		most := int64(opening)
		if len(raw) < enough {
			most = 4 << 20
		}
		if raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), most)); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			return head{}, err
		}
	}
	switch {
	case bytes.HasPrefix(raw, []byte(`{"h":`)):
		return head{Kind: Greeting}, nil
	case bytes.HasPrefix(raw, []byte(`{"s":`)):
		var w struct {
			S update.Status `json:"s"`
		}
		err := json.Unmarshal(raw, &w)
		return head{Kind: Status, Whole: w.S.Complete, Majority: w.S.HasQuorum}, err
	case bytes.HasPrefix(raw, []byte(`{"t":`)):
		return head{Kind: Tons}, nil
	case bytes.HasPrefix(raw, []byte(`{"k":`)):
		return readChunk(raw)
	case !bytes.HasPrefix(raw, []byte(`{"n":`)):
		return head{Kind: Other}, nil
	}
	h.Kind = Batch
	d := json.NewDecoder(bytes.NewReader(raw[len(`{"n":`):]))
	for {
		t, err := d.Token()
		if err != nil {
			return h, nil // news without notes, or as much of it as was read
		}
		name, _ := t.(string)
		switch name {
		case "l", "f", "t", "s":
			var v any
			if err := d.Decode(&v); err != nil {
				return head{}, fmt.Errorf("news: %w", err)
			}
			switch x := v.(type) {
			case string:
				h.Life = x
			case bool:
				h.Kind = Snapshot
			case float64:
				if name == "f" {
					h.From = uint64(x)
				} else {
					h.To = uint64(x)
				}
			}
		case "n":
			h.Body = raw
			h.Hosts, h.Fronts, h.Items = bytes.Count(raw, []byte(`{"h":{`)), bytes.Count(raw, []byte(`{"f":{"n"`)), bytes.Count(raw, []byte(`{"i":{"k"`))
			return h, nil
		}
	}
}

// readChunk reads a snapshot's chunk; it is short enough to be read whole.
func readChunk(raw []byte) (head, error) {
	var w struct {
		K struct {
			update.Chunk
			Notes []json.RawMessage `json:"n"`
		} `json:"k"`
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return head{}, err
	}
	c := w.K
	return head{Kind: Snapshot, Life: c.Incarnation, To: c.To, Part: update.Progress{Name: c.Name, Received: c.From + len(c.Notes)}, Of: c.Total}, nil
}

// Tally counts what routers were told, by kind and by how far the control process is.
type Tally struct {
	Frames, Bytes        [kinds][3]atomic.Int64
	Up, UpBytes          [3]atomic.Int64
	Hosts, Fronts, Items atomic.Int64 // notes
	Dials                atomic.Int64
}

// router is a hollow one.
type router struct {
	rig  *rig
	n    int
	name string
	ip   string
	zone int

	mu       sync.Mutex
	conn     net.Conn
	to       int // zone of the control process
	wrote    time.Time
	follower update.Subscription
	incoming head         // the last chunk of a snapshot that isn't whole with what came since
	of       int          // the zone of the control process whose news it has
	ready    atomic.Int64 // Unix nanoseconds since when it follows with a snapshot, 0 for not
	change   int64
	cancel   context.CancelFunc
	convoy   *gossip.Gossiper
}

// run is one life.
func (r *router) run(ctx context.Context) error {
	p, err := network.Host{}.ListenPacket(net.JoinHostPort(r.ip, strconv.Itoa(lastPort)))
	if err != nil {
		return err
	}
	r.convoy = gossip.Start(gossip.Member{IP: r.ip, Kind: gossip.Proxy, Zone: zoneName(r.zone)}, fencedPacket{p, &fenced{}}, [2]int{firstPort, lastPort},
		r.rig.Seed^uint64(r.n)<<20, func(string, []byte) {})
	for _, z := range r.rig.seeds() {
		r.convoy.Add(gossip.Member{IP: address(z, 0), Kind: gossip.Control})
	}
	go r.convoy.Run(ctx)
	go r.follow(ctx)
	return nil
}

// follow keeps a line as fairway does: a seed first, then the nearest.
func (r *router) follow(ctx context.Context) {
	avoid := map[int]time.Time{}
	known := r.rig.seeds()
	for ctx.Err() == nil {
		z := r.nearest(known, avoid)
		err := r.hang(ctx, z, avoid)
		if r.ready.Swap(0) != 0 {
			known = r.rig.homes()
		}
		if !errors.Is(err, errNearer) {
			avoid[z] = time.Now().Add(3 * time.Second)
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// nearest is the control process of these zones to be followed; who failed of late comes last.
func (r *router) nearest(known []int, avoid map[int]time.Time) int {
	now := time.Now()
	all := slices.Clone(known)
	slices.SortFunc(all, func(a, b int) int {
		late := func(z int) int {
			if now.Before(avoid[z]) {
				return 1
			}
			return 0
		}
		return cmp.Or(late(a)-late(b), ring(a, r.zone)-ring(b, r.zone), cmp.Compare((a*31+r.n)*7919%101, (b*31+r.n)*7919%101))
	})
	return all[0]
}

var (
	errNearer = errors.New("a nearer one is known")
	errBehind = errors.New("it hears too few others")
)

// reason is why this side ended a line, if it did.
type reason struct{ atomic.Pointer[error] }

func (r *reason) or(err error) error {
	if own := r.Load(); own != nil {
		return *own
	}
	return err
}

func (r *router) hang(ctx context.Context, z int, avoid map[int]time.Time) error {
	r.rig.tally.Dials.Add(1)
	if r.rig.apart(r.zone, z) {
		time.Sleep(time.Second)
		return errOff
	}
	d := net.Dialer{Timeout: time.Second, KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(r.ip)}}
	c, err := d.DialContext(ctx, "tcp", net.JoinHostPort(address(z, 0), strconv.Itoa(firstPort)))
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	at := ring(r.zone, z)
	r.mu.Lock()
	r.conn, r.to, r.change = c, z, time.Now().UnixNano()
	hello := update.Hello{Name: r.name, IP: r.ip, Zone: zoneName(r.zone), Incarnation: r.follower.Incarnation, Offset: r.follower.Offset}
	part := r.incoming.Part
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.conn = nil
	}()
	c.Write([]byte("pfl1"))
	r.say(update.Message{Hello: &hello, Progress: &part})
	r.tellSelf(false)
	var why reason
	patience := time.AfterFunc(600*time.Millisecond, func() { why.Store(&errBehind); c.Close() })
	defer patience.Stop()
	look := time.AfterFunc(1500*time.Millisecond, func() {
		if r.ready.Load() != 0 {
			if best := r.nearest(r.rig.homes(), avoid); ring(best, r.zone) < at {
				why.Store(&errNearer)
				c.Close()
			}
		}
	})
	defer look.Stop()
	four := make([]byte, 4)
	read := func(b []byte) error {
		c.SetReadDeadline(time.Now().Add(stream.ProxyKeepalive.Timeout))
		_, err := io.ReadFull(c, b)
		return err
	}
	if err := read(four); err != nil || string(four) != "pfl1" {
		return why.or(cmp.Or(err, errors.New("no line of ours")))
	}
	for {
		if err := read(four); err != nil {
			return why.or(err)
		}
		n := binary.BigEndian.Uint32(four)
		packed := n&(1<<31) != 0
		raw := make([]byte, n&^(1<<31))
		if err := read(raw); err != nil {
			return why.or(err)
		}
		h, err := readHead(raw, packed)
		if err != nil {
			return err
		}
		t := &r.rig.tally
		t.Frames[h.Kind][at].Add(1)
		t.Bytes[h.Kind][at].Add(int64(len(raw) + 4))
		switch h.Kind {
		case Status:
			if h.Whole && h.Majority {
				if patience.Stop(); r.follower.Incarnation != "" && r.of == z { // it has been here before: changes are enough
					r.follows()
				}
			} else {
				patience.Reset(600 * time.Millisecond)
			}
		case Snapshot, Batch:
			t.Hosts.Add(int64(h.Hosts))
			t.Fronts.Add(int64(h.Fronts))
			t.Items.Add(int64(h.Items))
			if h.Part.Name != "" { // the changes since it come with the next batch
				r.incoming = h
				r.say(update.Message{Progress: &h.Part})
				continue
			}
			if i := r.incoming; i.Of == i.Part.Received && i.Part.Name != "" && h.Kind == Batch && h.Life == i.Life && h.From == i.To {
				h.Kind, r.incoming = Snapshot, head{}
			}
			if !r.follower.Advance(h.Life, h.From, h.To, h.Kind == Snapshot) {
				return errors.New("news does not follow")
			}
			r.say(update.Message{Ack: h.To})
			if h.Kind == Snapshot {
				r.of = z
				r.follows()
			} else {
				r.rig.seen(r.n, h.Body)
			}
		}
	}
}

// follows notes that the router knows all, and tells control so.
func (r *router) follows() {
	if r.ready.CompareAndSwap(0, time.Now().UnixNano()) {
		r.tellSelf(true)
	}
}

// tellSelf tells control how the router is.
func (r *router) tellSelf(ready bool) {
	r.say(update.Message{Proxy: &update.Proxy{Name: r.name, Zone: zoneName(r.zone), IP: r.ip, Address: net.JoinHostPort(r.ip, strconv.Itoa(frontPort)),
		Ready: ready, RegisteredAt: r.change}})
}

func (r *router) say(w update.Message) {
	raw, err := json.Marshal(w)
	if err != nil {
		return
	}
	r.write(append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...))
}

func (r *router) write(raw []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil {
		return
	}
	r.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := r.conn.Write(raw); err != nil {
		r.conn.Close()
	}
	r.wrote = time.Now()
	t := &r.rig.tally
	t.Up[ring(r.zone, r.to)].Add(1)
	t.UpBytes[ring(r.zone, r.to)].Add(int64(len(raw)))
}

// beat says that the router is there, where it has said nothing of late.
func (r *router) beat() {
	r.mu.Lock()
	quiet := time.Since(r.wrote) >= stream.ProxyKeepalive.Interval*7/8
	r.mu.Unlock()
	if quiet {
		r.write(make([]byte, 4))
	}
}

// sever ends the line where a cut lies in its way.
func (r *router) sever() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && r.rig.apart(r.zone, r.to) {
		r.conn.Close()
	}
}
