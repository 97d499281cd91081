package simulation

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/random"
)

var rough = flag.Int("rough", 6, "drawn days of hosts with bad answers to play")

// quirk is something that a bad host does with an answer.
type quirk uint8

const (
	lost      quirk = iota // it runs, says nothing and keeps the connection
	broken                 // it runs and resets the connection
	closed                 // it runs and closes it
	unread                 // it closes it without having run
	late                   // it answers after a second or two
	doubled                // its answer comes twice at once
	copied                 // and once more some time later, in the place of another's
	unrun                  // it turns it away, in two copies
	unrunLate              // it turns it away, and once more some time later
	cut                    // its answer ends early
	noise                  // it sends bytes that are no answer
	behind                 // it sends some behind its answer
	another                // it says another's id
	nobodys                // it says none
	switched               // it changes the protocol
	hinted                 // it sends 1xx before
	chunked                // it answers in chunks, with trailers
	endless                // its answer has no stated end, and is reset on the way
	unframed               // its answer has no stated end, and ends with its connection
	early                  // it turns it away, or answers, before it has read its body, and reads on
	promising              // it runs, and answers 429 without a word that it did not
	quirks
)

var quirkNames = [quirks]string{"lost", "broken", "closed", "unread", "late", "doubled", "copied", "unrun", "unrun late", "cut", "noise", "behind",
	"another's", "nobody's", "switched", "hinted", "chunked", "endless", "unframed", "early", "promising"}

// roughDay is one drawn day.
type roughDay struct {
	*Harbour
	mu   sync.Mutex
	draw random.Source
	did  map[string]int
	over map[string]bool // addresses whose first host has ended, and routers that were stopped
}

// router is one that was not stopped yet.
func (d *roughDay) router() *Fairway {
	for {
		if f := d.Fairways[d.n(len(d.Fairways))]; !d.over[f.Boot.Name] {
			d.over[f.Boot.Name] = true
			return f
		}
	}
}

func (d *roughDay) n(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int(d.draw.Next() * float64(n))
}

func (d *roughDay) note(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.did[what]++
}

// ends crashes a host that has its address to itself.
func (d *roughDay) ends() *Quay {
	for {
		if q := d.Quays[d.n(len(d.Quays))]; !d.over[q.Address] {
			d.over[q.Address] = true
			q.Crash()
			return q
		}
	}
}

// host starts a host that speaks for itself, at an address that may have been another's; of its requests so many in a hundred
// are answered by each of its quirks.
func (d *roughDay) host(service string, z int, address string, part int, has ...quirk) *Quay {
	d.Harbour.mu.Lock()
	d.lastHost++
	n := d.lastHost
	d.Harbour.mu.Unlock()
	if address == "" {
		address = fmt.Sprintf("10.%d.64.%d:9000", z+1, n)
	}
	q := &Quay{h: d.Harbour, ID: fmt.Sprintf("i-%04d", n), Service: service, Zone: zone(z), Version: "v1", Address: address, Work: d.Work,
		slots: make(chan struct{}, d.Slots), state: "ready", server: &http.Server{}}
	q.process = d.Sea.Process(q.IP())
	ctx, cancel := context.WithCancel(d.ctx)
	q.cancel = cancel
	l, err := q.process.Listen(address)
	if err != nil {
		panic(err)
	}
	d.Harbour.mu.Lock()
	d.Quays = append(d.Quays, q)
	d.Harbour.mu.Unlock()
	d.all.Go(func() { q.beat(ctx, z) })
	d.all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.all.Go(func() { d.serve(ctx, q, c, part, has) })
		}
	})
	return q
}

// serve is one connection of such a host.
func (d *roughDay) serve(ctx context.Context, q *Quay, c net.Conn, part int, has []quirk) {
	defer c.Close()
	var mu sync.Mutex // whole answers, whoever sends them
	say := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		io.WriteString(c, text)
	}
	wait := func(t time.Duration) {
		select {
		case <-time.After(t):
		case <-ctx.Done():
		}
	}
	in, before := bufio.NewReader(c), "none"
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		echo := "Attempt-Id: " + id + "\r\n"
		if r.ContentLength > window && d.n(100) < part && slices.Contains(has, early) && r.Header.Get("Expected-Instance") == q.ID {
			d.note(quirkNames[early])
			q.arrived(id)
			say("HTTP/1.1 503 Service Unavailable\r\n" + echo + "Request-Not-Run: full\r\nContent-Length: 0\r\n\r\n")
			wait(time.Duration(d.n(400)) * time.Millisecond)
			rest, err := io.ReadAll(r.Body)
			if strings.Trim(string(rest), "b") != "" {
				d.broken("UNASKED: other bytes in the body of %s", id)
			}
			if err != nil {
				return
			}
			continue
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.Header.Get("Expected-Instance") != q.ID {
			d.note("misdirected")
			say("HTTP/1.1 421 Misdirected Request\r\n" + echo + "Content-Length: 0\r\n\r\n")
			continue
		}
		q.arrived(id)
		does := quirks
		if d.n(100) < part {
			does = has[d.n(len(has))]
			d.note(quirkNames[does])
		}
		full := "HTTP/1.1 503 Service Unavailable\r\n" + echo + "Request-Not-Run: full\r\nContent-Length: 0\r\n\r\n"
		free := func() {}
		select {
		case q.slots <- struct{}{}:
			free = func() { <-q.slots }
		default: // it has no queue
			does = unrun
		}
		switch does {
		case unread:
			free()
			return
		case unrun, unrunLate:
			free()
			say(full)
			if does == unrunLate {
				wait(time.Duration(d.n(40)) * time.Millisecond)
			}
			say(full)
			before = id
			continue
		}
		d.Harbour.mu.Lock()
		d.runs[id]++
		q.runs++
		d.Harbour.mu.Unlock()
		wait(q.Work/2 + time.Duration(d.n(int(q.Work))))
		free()
		body := q.ID + " ran " + id
		head := func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + id + "Server-Seal: " + q.ID + "\r\n"
		}
		whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(echo), len(body), body)
		switch does {
		case lost:
			continue
		case broken:
			c.(*conn).reset()
			return
		case closed:
			return
		case late:
			wait(time.Duration(500+d.n(2000)) * time.Millisecond)
			say(whole)
		case doubled:
			say(whole + whole)
		case copied:
			say(whole)
			d.all.Go(func() {
				wait(time.Duration(d.n(300)) * time.Millisecond)
				say(whole)
			})
		case cut:
			say(whole[:d.n(len(whole))])
			return
		case noise:
			say("\xff\x00what\r\n\r\n" + whole)
		case behind:
			say(whole + "\r\n\x00")
		case another:
			say(strings.Replace(whole, id, before, 1))
		case nobodys:
			say(strings.Replace(whole, echo, "", 1))
		case switched:
			say("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n" + echo + "Server-Seal: s\r\n\r\n")
		case hinted:
			say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nAttempt-Id: " + before + "\r\nRequest-Not-Run: 1\r\n\r\n" + whole)
		case chunked:
			say(fmt.Sprintf("%sTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n%x;y\r\n%s\r\n0\r\nX: 1\r\n\r\n", head(echo), len(body), body))
		case endless:
			say(head(echo) + "\r\n" + body[:d.n(len(body))])
			wait(time.Duration(d.n(10)) * time.Millisecond)
			c.(*conn).reset()
			return
		case unframed:
			say(head(echo) + "\r\n" + body)
			return
		case promising:
			say("HTTP/1.1 429 Too Many Requests\r\n" + echo + "Content-Length: 0\r\n\r\n")
		default:
			say(whole)
		}
		before = id
	}
}

// visitors are clients that pipeline, go away in the middle of a body, or with their request at a host.
func (d *roughDay) visitors(z int, lasts time.Duration) {
	p := d.Sea.Process(fmt.Sprintf("10.%d.201.1", z+1))
	until := time.Now().Add(lasts)
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(50+d.n(200)) * time.Millisecond)
		kind, to := d.n(4), d.pick(z)
		d.all.Go(func() {
			ctx, cancel := context.WithTimeout(d.ctx, time.Second)
			defer cancel()
			c, err := p.Dial(ctx, "tcp", to)
			if err != nil {
				return
			}
			defer c.Close()
			text, ids := "", []string{}
			for k := range 3 {
				id := fmt.Sprintf("visit-%d-%d-%d", z, n, k)
				ids = append(ids, id)
				text += fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nTime-Remaining: 2000\r\nContent-Length: 9\r\n\r\n123456789", issue.Prefix, id)
			}
			end := func(id, how string) {
				d.Harbour.mu.Lock()
				defer d.Harbour.mu.Unlock()
				if d.asked = append(d.asked, time.Now()); d.ended[id] == "" || how != "gone" {
					d.ended[id] = how
				}
			}
			one := text[:len(text)/3]
			switch kind {
			case 0: // in the middle of a body: its id was never sent whole, and no host may run it
				io.WriteString(c, one[:len(one)-1-d.n(8)])
				time.Sleep(time.Duration(d.n(200)) * time.Millisecond)
				if d.n(2) == 0 {
					c.(*conn).reset()
				}
				d.note("half a body")
			case 1:
				end(ids[0], "gone")
				io.WriteString(c, one)
				time.Sleep(time.Duration(d.n(150)) * time.Millisecond)
				if d.n(2) == 0 {
					c.(*conn).reset()
				}
				d.note("client gone")
			default:
				if kind == 3 { // long bodies
					text = strings.ReplaceAll(text, "Content-Length: 9\r\n\r\n123456789", fmt.Sprintf("Content-Length: %d\r\n\r\n", 5*window)+strings.Repeat("b", 5*window))
					d.note("long bodies")
				}
				for _, id := range ids {
					end(id, "gone")
				}
				d.all.Go(func() { io.WriteString(c, text) })
				c.SetReadDeadline(time.Now().Add(8 * time.Second))
				in := bufio.NewReader(c)
				for _, id := range ids {
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						break
					}
					body, err := io.ReadAll(resp.Body)
					if err != nil {
						break
					}
					if end(id, fmt.Sprint(resp.StatusCode)); resp.StatusCode == 200 && !strings.HasSuffix(string(body), " ran "+id) {
						d.broken("MIXED: %s got %q", id, body)
					}
					if resp.Close {
						break
					}
				}
				d.note("pipelined")
			}
		})
	}
}

// rougher are what happens besides on such a day.
var rougher = []struct {
	name string
	do   func(d *roughDay) (undo func())
}{
	{"nothing", func(d *roughDay) func() { return nil }},
	{"a router is killed while it is busy", func(d *roughDay) func() {
		f := d.router()
		f.Kill()
		return func() {
			if err := f.Start(); err != nil {
				d.broken("a router does not start: %v", err)
			}
		}
	}},
	{"a router drains, and is killed before it is done", func(d *roughDay) func() {
		f, done := d.router(), make(chan bool)
		d.all.Go(func() {
			defer close(done)
			f.Running.Drain()
		})
		time.Sleep(time.Duration(d.n(1500)) * time.Millisecond)
		f.Kill()
		return func() {
			<-done
			if err := f.Start(); err != nil {
				d.broken("a router does not start: %v", err)
			}
		}
	}},
	{"a router is cut off from hosts", func(d *roughDay) func() {
		f, q := d.Fairways[d.n(len(d.Fairways))], d.Quays[d.n(len(d.Quays))]
		d.Sea.Cut(f.Boot.IP, q.IP(), true)
		return func() { d.Sea.Cut(f.Boot.IP, q.IP(), false) }
	}},
	{"an address is another's", func(d *roughDay) func() {
		q := d.ends()
		time.Sleep(time.Duration(d.n(300)) * time.Millisecond)
		var z int
		fmt.Sscanf(q.Zone, "z%d", &z)
		d.host("mail", z, q.Address, 0)
		return func() { d.host("desk", z, "", 0) }
	}},
	{"an address is a new life's", func(d *roughDay) func() {
		q := d.ends()
		var z int
		fmt.Sscanf(q.Zone, "z%d", &z)
		d.host("desk", z, q.Address, 0)
		return nil
	}},
	{"a host is dark", func(d *roughDay) func() {
		q := d.Quays[d.n(len(d.Quays))]
		d.Sea.Down(q.IP(), true)
		return func() { d.Sea.Down(q.IP(), false) }
	}},
}

// playRough plays one day in virtual time and tells what was done and how it ended.
func playRough(t *testing.T, seed int) (did map[string]int, served, asked int) {
	one, two := rougher[seed%len(rougher)], rougher[seed/len(rougher)%len(rougher)]
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := Layout{Zones: 3, Routers: 2, Services: []string{"desk", "mail"}, Work: 40 * time.Millisecond, Slots: 3, Rate: 8, Seed: uint64(seed)}
		h := New(l)
		c.Assert(h.Start(), qt.IsNil)
		c.Cleanup(h.Stop)
		d := &roughDay{Harbour: h, draw: random.Source{Seed: uint64(seed)*7919 + 1}, did: map[string]int{}, over: map[string]bool{}}
		for z := range l.Zones {
			for range 2 {
				var has []quirk
				part := []int{0, 5, 20, 40}[d.n(4)]
				for range 1 + d.n(4) {
					has = append(has, quirk(d.n(int(quirks))))
				}
				d.host("desk", z, "", part, has...)
			}
		}
		time.Sleep(2 * time.Second)
		configure(c, h, h.Configure(true, look, issue), 0)
		time.Sleep(1500 * time.Millisecond)
		lasts := 5 * time.Second
		var tally Tally
		for z := range l.Zones {
			h.Traffic(&tally, z, look, l.Rate, lasts)
			h.Traffic(&tally, z, issue, 2*l.Rate, lasts)
			h.all.Go(func() { d.visitors(z, lasts) })
		}
		time.Sleep(time.Second + time.Duration(d.n(500))*time.Millisecond)
		undo := []func(){one.do(d)}
		time.Sleep(time.Duration(d.n(800)) * time.Millisecond)
		undo = append(undo, two.do(d))
		time.Sleep(1500 * time.Millisecond)
		for _, f := range undo {
			if f != nil {
				f()
			}
		}
		time.Sleep(8 * time.Second)
		var how string
		served, asked, how = tally.Counts()
		did = d.did
		c.Check(h.Judge(), qt.HasLen, 0, qt.Commentf("seed %d, %s, %s: %s", seed, one.name, two.name, how))
	})
	return did, served, asked
}

// Days on which hosts' answers are lost, late, doubled and spoilt, addresses are used again, routers killed while they are busy
// or drain, and clients pipeline and go away: nothing is mixed up, nothing runs twice, and what is refused has not run.
// -args -rough 10000 plays as many, from -from on.
func TestRoughDays(t *testing.T) {
	all, served, asked := map[string]int{}, 0, 0
	for seed := *from; seed < *from+*rough; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			did, s, a := playRough(t, seed)
			for what, n := range did {
				all[what] += n
			}
			served, asked = served+s, asked+a
		})
		if (seed-*from+1)%500 == 0 {
			t.Logf("%d days: %d of %d served, %v", seed-*from+1, served, asked, all)
		}
	}
	t.Logf("%d days: %d of %d served", *rough, served, asked)
	for _, what := range slices.Sorted(maps.Keys(all)) {
		t.Logf("%s: %d", what, all[what])
	}
	if asked == 0 || float64(served) < 0.5*float64(asked) {
		t.Errorf("%d of %d served", served, asked)
	}
}
