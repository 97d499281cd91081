package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// hand is a router made by hand: it hangs on a control process and takes a snapshot, with a pause after each chunk and an
// end of its line after so many.
type hand struct {
	h        *Harbour
	ip       string
	chunks   bool // it takes them; routers of before don't
	pause    time.Duration
	breaks   int // chunks after which it lets go, 0 for never
	incoming update.Assembly
	came     []int // notes that it had when each chunk came, over all lines
	frames   int   // snapshots that came in one
	notes    []update.Change
	follower update.Subscription
	took     time.Duration
}

// hang takes news until it has a whole snapshot, or its line ends.
func (x *hand) hang(at int) error {
	began := time.Now()
	p := x.h.Sea.Process(x.ip)
	defer p.Kill()
	c, err := p.Dial(context.Background(), "tcp", net.JoinHostPort(x.h.Masters[at].Boot.IP, fmt.Sprint(firstPort)))
	if err != nil {
		return err
	}
	l := stream.Open[update.Message](c, stream.ProxyKeepalive)
	part := x.incoming.Progress()
	w := update.Message{Hello: &update.Hello{Name: "hand-" + x.ip, IP: x.ip, Zone: zone(at)}}
	if x.chunks {
		w.Progress = &part
	}
	l.Send(w)
	n := 0
	return l.Run(func(w update.Message) {
		switch {
		case w.Chunk != nil:
			x.came = append(x.came, w.Chunk.From)
			if err := x.incoming.Add(*w.Chunk); err != nil {
				l.Close(err)
				return
			}
			if n++; n == x.breaks {
				l.Close(fmt.Errorf("broken after %d", n))
				return
			}
			time.Sleep(x.pause)
			part := x.incoming.Progress()
			l.Send(update.Message{Progress: &part})
		case w.Batch != nil:
			notes, ok := x.incoming.Finish(*w.Batch)
			if w.Batch.Snapshot {
				x.frames++
				notes, ok = w.Batch.Changes, true
			}
			if !ok {
				l.Close(fmt.Errorf("news does not follow"))
				return
			}
			x.notes, x.took = notes, time.Since(began)
			x.follower.Advance(w.Batch.Incarnation, 0, w.Batch.To, true)
			l.Close(nil)
		}
	})
}

// prefix is where a route stands by a snapshot, in the order in which it is taken in.
func (x *hand) prefix(name string) (prefix string) {
	for _, n := range x.notes {
		if n.Item != nil && n.Item.Name == name {
			var v struct {
				Prefix string `json:"path-prefix"`
			}
			json.Unmarshal(n.Item.Body, &v)
			prefix = v.Prefix
		}
	}
	return prefix
}

// wide is a harbour of three control processes and so many routes, whose bodies don't pack well.
func wide(c *qt.C, routes int) *Harbour {
	l := small
	l.Zones, l.Routers, l.Hosts = 3, 1, 1
	h := opened(c, l)
	draw := rand.New(rand.NewPCG(1, 2))
	var all []Route
	for n := range routes {
		all = append(all, Route{Name: fmt.Sprintf("wide-%05d", n), Prefix: fmt.Sprintf("/%016x%016x%016x/", draw.Uint64(), draw.Uint64(), draw.Uint64()), Service: "desk", Version: "00000001"})
	}
	configure(c, h, h.Configure(false, all...), 0)
	time.Sleep(2 * time.Second)
	return h
}

// turn changes a route, which is everywhere when it returns.
func turn(c *qt.C, h *Harbour, n int) string {
	prefix := fmt.Sprintf("/turn/%d/", n)
	configure(c, h, h.Configure(false, Route{Name: "wide-00007", Prefix: prefix, Service: "desk", Version: fmt.Sprintf("%08x", 10+n)}), 0)
	return prefix
}

// On the real lines: a router's line breaks after each of the first chunks, with a change before it comes again; it is sent
// each chunk once, nothing is in force before the whole is there, and then the last change is.
func TestSnapshotLineBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := wide(c, 2000)
		whole := &hand{h: h, ip: "10.1.0.90", chunks: true}
		whole.hang(0)
		n := len(whole.came)
		c.Assert(n >= 6, qt.IsTrue, qt.Commentf("%d chunks", n))
		want := ""
		for breaks := 1; breaks < n; breaks++ {
			x := &hand{h: h, ip: fmt.Sprintf("10.1.0.%d", 100+breaks), chunks: true, breaks: breaks}
			c.Assert(x.hang(0), qt.ErrorMatches, "broken after.*")
			c.Assert(x.notes, qt.HasLen, 0)
			want = turn(c, h, breaks)
			x.breaks = 0
			x.hang(0)
			c.Assert(x.came, qt.DeepEquals, whole.came)
			c.Assert(x.prefix("wide-00007"), qt.Equals, want)
		}
		// another control process holds no part of it: it is begun anew there
		x := &hand{h: h, ip: "10.1.0.99", chunks: true, breaks: 5}
		x.hang(0)
		x.breaks = 0
		x.hang(1)
		c.Check(x.came[5], qt.Equals, 0)
		c.Check(x.came[5:], qt.HasLen, n)
		c.Check(x.prefix("wide-00007"), qt.Equals, want)
		// and so it is with this one once it was restarted
		x = &hand{h: h, ip: "10.1.0.98", chunks: true, breaks: 5}
		x.hang(0)
		h.Masters[0].Kill()
		time.Sleep(time.Second)
		c.Assert(h.Masters[0].Start(), qt.IsNil)
		time.Sleep(2 * time.Second)
		x.breaks = 0
		x.hang(0)
		c.Check(x.came[5], qt.Equals, 0)
		c.Check(x.came[5:], qt.HasLen, n)
		c.Check(x.prefix("wide-00007"), qt.Equals, want)
	})
}

// Routers that are slow hold up none that are quick, changes that come meanwhile are in what each ends with, and a router of
// before is sent one frame.
func TestSnapshotSlowBesideFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := wide(c, 8000)
		slow := &hand{h: h, ip: "10.1.0.90", chunks: true, pause: 700 * time.Millisecond}
		done := make(chan error, 1)
		go func() { done <- slow.hang(0) }()
		last := ""
		for n := range 8 {
			last = turn(c, h, n)
			x := &hand{h: h, ip: fmt.Sprintf("10.1.0.%d", 100+n), chunks: true}
			why := x.hang(0)
			c.Assert(x.prefix("wide-00007"), qt.Equals, last, qt.Commentf("turn %d: %v", n, why))
			c.Assert(x.took < time.Second, qt.IsTrue, qt.Commentf("%v", x.took))
		}
		c.Check(slow.notes, qt.HasLen, 0)
		<-done
		c.Check(slow.prefix("wide-00007"), qt.Equals, last)
		c.Check(slow.took > 10*time.Second, qt.IsTrue)
		old := &hand{h: h, ip: "10.1.0.91"}
		old.hang(0)
		c.Check(old.frames, qt.Equals, 1)
		c.Check(old.came, qt.HasLen, 0)
		c.Check(old.prefix("wide-00007"), qt.Equals, last)
		c.Check(strings.HasPrefix(old.follower.Incarnation, slow.follower.Incarnation), qt.IsTrue)
	})
}
