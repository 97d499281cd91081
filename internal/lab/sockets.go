package lab

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/random"
	"portflow/internal/retryguard"
	"portflow/internal/router"
	"portflow/internal/router/config"
	"portflow/internal/router/discovery"
	"portflow/internal/router/settings"
	"portflow/internal/standin"
	"portflow/internal/standin/servers"
)

// loopback plays an experiment on sockets: the program's own routers, and stand-ins around them.
type loopback struct {
	Storm
	book    *book
	began   time.Time
	mu      sync.Mutex
	draw    random.Source
	hosts   []*servers.Host
	around  *servers.Around
	effects servers.Shared
	routers []string
	clients sync.WaitGroup
	client  http.Client
	serial  int
}

var carriers = []string{"c0", "c1", "c2"}

// Sockets plays an experiment on loopback, in real time.
func Sockets(s Storm) (Result, error) {
	if err := s.check(); err != nil {
		return Result{}, err
	}
	if s.Trial || s.Routers > 16 || s.Hosts > 64 {
		return Result{}, errors.New("lab: no trial, 16 routers and 64 hosts at most on sockets")
	}
	l := &loopback{Storm: s, book: newBook(s), began: time.Now(), draw: random.Source{Seed: s.Seed},
		effects: servers.Shared{Effects: standin.Effects{Memory: 2e9}},
		client:  http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Second}}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range s.Hosts {
		h := &servers.Host{Name: "h" + strconv.Itoa(i), Effects: &l.effects, Clock: l.clock, Came: l.book.came,
			Work: func() int64 { return int64(work * 1e9 * (0.6 + 0.8*l.next())) }}
		if err := h.Begin(s.machine()); err != nil {
			return Result{}, err
		}
		defer h.End()
		l.hosts = append(l.hosts, h)
	}
	var err error
	if l.around, err = servers.NewAround(`{"release":1,"tranche":0,"mode":"stable","exposure":1,"old_ms":60000}`, l.members(true)); err != nil {
		return Result{}, err
	}
	defer l.around.Close()
	var nodes []*router.Node
	var spies []*retryguard.Guard
	configs, err := l.configs()
	if err != nil {
		return Result{}, err
	}
	for rank, c := range configs {
		g, spy, err := s.guard(rank, time.Now().UnixNano())
		if err != nil {
			return Result{}, err
		}
		n, err := router.StartWith(ctx, c, g, nil, zerolog.Nop())
		if err != nil {
			return Result{}, err
		}
		nodes, spies = append(nodes, n), append(spies, spy)
		l.routers = append(l.routers, c.Listen)
	}
	l.began = time.Now()
	l.play()
	l.clients.Wait()
	l.client.CloseIdleConnections()
	noticed := make([]int64, len(nodes))
	for i, n := range nodes {
		if err := n.Leave(); err != nil {
			return Result{}, err
		}
		if spies[i] != nil && spies[i].Stats.Noticed > 0 {
			noticed[i] = spies[i].Stats.Noticed - l.began.UnixNano()
		}
	}
	r := l.book.result()
	l.book.noticed(&r, noticed)
	r.Duplicates, r.Seconds = l.effects.Twice, time.Since(l.began).Seconds()
	for _, h := range l.hosts {
		if _, fallen := h.Capacity(); fallen {
			r.Fallen++
		}
	}
	return r, nil
}

func (l *loopback) clock() int64 { return int64(time.Since(l.began)) }

func (l *loopback) next() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draw.Next()
}

func (l *loopback) members(there bool) (all []servers.Member) {
	for _, h := range l.hosts {
		m := servers.Member{ID: h.Name, HostPort: h.Address, Locality: "hall", Flavor: "m", Phase: "Ready", Size: 1,
			UpSince: h.Started(), Image: 1}
		if !there {
			m.Phase = "Terminating"
		}
		all = append(all, m)
	}
	return all
}

// configs are the routers', with free addresses.
func (l *loopback) configs() ([]config.Config, error) {
	known := discovery.Message{List: dispatch.List{Form: decision.Whole}}
	for _, h := range l.hosts {
		known.Hosts = append(known.Hosts, dispatch.Host{Name: h.Name, Address: h.Address, Build: 1, Size: 1})
	}
	var all []config.Config
	var peers []netip.AddrPort
	for rank := range l.Routers {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		udp, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listen := tcp.Addr().String()
		at := netip.MustParseAddrPort(udp.LocalAddr().String())
		tcp.Close()
		udp.Close()
		peers = append(peers, at)
		all = append(all, config.Config{Name: "n" + strconv.Itoa(rank), Listen: listen, Discovery: l.around.Address,
			Platform: l.around.Address, Seed: l.Seed*100 + uint64(rank), Cores: 1, Memory: 192 << 20, Sockets: 1024, PeerListen: at,
			Known: known, News: dispatch.News{News: decision.News{Build: 1, Standing: decision.Released, Cap: 1, Age: 60e9}},
			Settings: settings.Settings{Settings: l.settings(rank), Bands: []string{bands[0].name, bands[1].name}, Carriers: carriers,
				Zones: []string{"hall"}, Kinds: []string{"m"}, ConnectIn: 250e6, IdleIn: 30e9}})
	}
	for i := range all {
		all[i].Peers = peers
	}
	return all, nil
}

// play plays the script and the clients' commands, in one goroutine until the end.
func (l *loopback) play() {
	at := func(t time.Duration, act func()) {
		l.clients.Add(1)
		time.AfterFunc(t, func() {
			defer l.clients.Done()
			act()
		})
	}
	for i, h := range l.hosts {
		if l.Kind != "hosts" && (l.Kind != "half" || i%2 == 1) {
			continue
		}
		at(l.Calm, h.End)
		at(l.Calm+l.Outage+time.Duration(i)*time.Second/time.Duration(len(l.hosts)), func() { h.Return() })
	}
	if l.Kind == "list" {
		at(l.Calm, func() { l.around.List(l.members(false)) })
	}
	if l.Kind != "carrier" && l.Kind != "none" {
		back := l.Calm + l.Outage
		if l.Kind != "list" {
			back += time.Second
		}
		at(back, func() { l.around.List(l.members(true)) })
	}
	for t := time.Duration(0); t < time.Duration(l.end()); t += step {
		at(t, func() {
			for i, h := range l.hosts {
				if can, _ := h.Capacity(); l.Kind != "half" || i%2 == 0 {
					put(l.book.capacity, int64(t), can)
				}
			}
		})
	}
	for next := int64(0); next < l.end(); {
		next += int64(-math.Log(1-l.next()) / l.rate() * 1e9)
		time.Sleep(time.Duration(next - l.clock()))
		l.mu.Lock()
		client := int(l.draw.Next() * float64(l.Clients))
		c := l.Storm.next(l.clock(), client, &l.draw)
		l.mu.Unlock()
		l.clients.Add(1)
		go func() {
			defer l.clients.Done()
			l.command(c, client)
		}()
	}
}

// command plays a client's tries.
func (l *loopback) command(c *command, client int) {
	for {
		fulfilled, told := l.try(c, client)
		if fulfilled {
			return
		}
		wait, again := c.habit.Next(c.tries-1, told, l.next())
		if !again || l.clock() > l.end() {
			return
		}
		time.Sleep(time.Duration(wait))
	}
}

func (l *loopback) try(c *command, client int) (fulfilled bool, told int64) {
	patient := time.Duration(c.habit.Patience * float64(bands[c.band].CutOff))
	sent := l.clock()
	l.book.asked(sent, c)
	l.mu.Lock()
	l.serial++
	trace := strconv.Itoa(l.serial)
	l.mu.Unlock()
	method, body := http.MethodGet, []byte(nil)
	if c.mark != "" {
		method, body = http.MethodPost, []byte("x")
	}
	rank := client % l.Routers
	if l.Busy && client%10 != 0 {
		rank = 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), patient+50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+l.routers[rank]+"/"+bands[c.band].name+"?obj="+strconv.FormatUint(c.key, 16),
		bytes.NewReader(body))
	if err != nil {
		panic(err) // all parts of it are our own
	}
	r.Header = http.Header{"X-Trace-Id": {trace}, "X-Qos": {bands[c.band].name}, "X-Customer": {carriers[c.carrier]},
		"X-Expires-In": {strconv.FormatInt(patient.Milliseconds(), 10) + "m"}}
	if c.mark != "" {
		r.Header.Set("Idempotency-Key", c.mark)
	}
	if c.habit.Marks && c.tries > 1 {
		r.Header.Set("X-Second-Try", "1")
	}
	resp, err := l.client.Do(r)
	answered := err == nil
	if answered {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		answered, fulfilled = err == nil, err == nil && resp.StatusCode == http.StatusOK
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			told = int64(seconds * 1e9)
		}
	}
	l.book.told(l.clock(), sent, c, fulfilled, answered)
	return fulfilled, told
}
