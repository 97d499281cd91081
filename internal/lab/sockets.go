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

// loopbackRun is a running experiment on loopback sockets, with real routers and emulated hosts, services and clients.
type loopbackRun struct {
	StormExperiment
	recorder *recorder
	start    time.Time
	mu       sync.Mutex // guards rng and serial
	rng      random.Source
	hosts    []*servers.Host
	services *servers.Services
	effects  servers.SharedEffects
	routers  []string       // listen addresses
	clients  sync.WaitGroup // scheduled functions and running commands
	client   http.Client
	serial   int // last trace ID
}

// releasedBuild is the platform's answer in experiments on loopback: build 1 is released.
const releasedBuild = `{"release":1,"tranche":0,"mode":"stable","exposure":1,"old_ms":60000}`

var carrierNames = []string{"c0", "c1", "c2"}

// Limits of experiments on sockets.
const (
	maxSocketRouters = 16
	maxSocketHosts   = 64
)

// RunSockets runs an experiment in real time on loopback sockets. Trials and large fleets are rejected; Emulate runs those.
func RunSockets(exp StormExperiment) (Result, error) {
	if err := exp.validate(); err != nil {
		return Result{}, err
	}
	if exp.Trial || exp.Routers > maxSocketRouters || exp.Hosts > maxSocketHosts {
		return Result{}, errors.New("lab: experiments on sockets support no trial and at most 16 routers and 64 hosts")
	}
	run := &loopbackRun{
		StormExperiment: exp,
		recorder:        newRecorder(exp),
		start:           time.Now(),
		rng:             random.Source{Seed: exp.Seed},
		effects:         servers.SharedEffects{EffectLog: standin.EffectLog{Retention: 2e9}},
		client:          http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Second}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer run.stop()
	if err := run.startHosts(); err != nil {
		return Result{}, err
	}
	routers, err := run.startRouters(ctx)
	if err != nil {
		return Result{}, err
	}
	run.start = time.Now()
	run.runScenario()
	run.clients.Wait()
	run.client.CloseIdleConnections()
	detectedAt, err := run.drain(routers)
	if err != nil {
		return Result{}, err
	}
	return run.summarize(detectedAt), nil
}

// guardedRouter is a router and its retry guard, which is nil for policies other than "on".
type guardedRouter struct {
	*router.Router
	guard *retryguard.Guard
}

func (l *loopbackRun) stop() {
	if l.services != nil {
		l.services.Close()
	}
	for _, h := range l.hosts {
		h.Stop()
	}
}

// startHosts starts the hosts and the services that list them.
func (l *loopbackRun) startHosts() (err error) {
	for i := range l.Hosts {
		h := &servers.Host{
			Name:    "h" + strconv.Itoa(i),
			Effects: &l.effects,
			Clock:   l.clock,
			OnWork:  l.recorder.recordWork,
			Work:    func() int64 { return int64(meanWorkSeconds * 1e9 * (0.6 + 0.8*l.randomFloat64())) },
		}
		if err := h.Start(l.newMachine()); err != nil {
			return err
		}
		l.hosts = append(l.hosts, h)
	}
	l.services, err = servers.NewServices(releasedBuild, l.memberList(true))
	return err
}

// startRouters starts the routers with the guard of the policy.
func (l *loopbackRun) startRouters(ctx context.Context) (started []guardedRouter, err error) {
	configs, err := l.routerConfigs()
	if err != nil {
		return nil, err
	}
	for rank, c := range configs {
		limiter, guard, err := l.newGuard(rank, time.Now().UnixNano())
		if err != nil {
			return nil, err
		}
		r, err := router.StartWith(ctx, c, limiter, nil, zerolog.Nop())
		if err != nil {
			return nil, err
		}
		started = append(started, guardedRouter{r, guard})
		l.routers = append(l.routers, c.Listen)
	}
	return started, nil
}

// drain drains the routers and returns when each guard first detected a retry storm, in nanoseconds since the start, 0 for never.
func (l *loopbackRun) drain(routers []guardedRouter) (detectedAt []int64, err error) {
	detectedAt = make([]int64, len(routers))
	for i, r := range routers {
		if err := r.Drain(); err != nil {
			return nil, err
		}
		if r.guard != nil && r.guard.Stats.FirstStormAt > 0 {
			detectedAt[i] = r.guard.Stats.FirstStormAt - l.start.UnixNano()
		}
	}
	return detectedAt, nil
}

func (l *loopbackRun) summarize(detectedAt []int64) Result {
	result := l.recorder.summarize()
	l.recorder.recordDetection(&result, detectedAt)
	result.Duplicates = l.effects.Duplicates
	result.Seconds = time.Since(l.start).Seconds()
	for _, h := range l.hosts {
		if _, collapsed := h.Capacity(); collapsed {
			result.FailedHosts++
		}
	}
	return result
}

// clock returns the nanoseconds since the start of the run.
func (l *loopbackRun) clock() int64 { return int64(time.Since(l.start)) }

func (l *loopbackRun) randomFloat64() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

func (l *loopbackRun) memberList(ready bool) (all []servers.Member) {
	for _, h := range l.hosts {
		m := servers.Member{ID: h.Name, HostPort: h.Address, Locality: "hall", Flavor: "m", Phase: "Ready", Size: 1,
			UpSince: h.Started(), Image: 1}
		if !ready {
			m.Phase = "Terminating"
		}
		all = append(all, m)
	}
	return all
}

// routerConfigs returns the routers' configurations, with ports that were free when it was called.
func (l *loopbackRun) routerConfigs() ([]config.Config, error) {
	known := discovery.Update{HostsChanged: dispatch.HostsChanged{Kind: decision.Snapshot}}
	for _, h := range l.hosts {
		known.Hosts = append(known.Hosts, dispatch.Host{Name: h.Name, Address: h.Address, Build: 1, Capacity: 1})
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
		peerAddr := netip.MustParseAddrPort(udp.LocalAddr().String())
		tcp.Close()
		udp.Close()
		peers = append(peers, peerAddr)
		all = append(all, config.Config{Name: "n" + strconv.Itoa(rank), Listen: listen, Discovery: l.services.Address,
			Platform: l.services.Address, Seed: l.Seed*100 + uint64(rank), Cores: 1, Memory: 192 << 20, Sockets: 1024, PeerListen: peerAddr,
			KnownHosts: known, Rollout: dispatch.RolloutChanged{Rollout: decision.Rollout{Build: 1, State: decision.Released, ExposureCap: 1, Age: 60e9}},
			Settings: settings.Settings{Settings: l.routerSettings(rank), ClassNames: []string{requestClasses[0].name, requestClasses[1].name}, CustomerNames: carrierNames,
				Zones: []string{"hall"}, Kinds: []string{"m"}, ConnectTimeout: 250e6, IdleTimeout: 30e9}})
	}
	for i := range all {
		all[i].Peers = peers
	}
	return all, nil
}

// runScenario schedules the outage and sends the clients' commands until the experiment's duration is over. Commands may still be
// running when it returns.
func (l *loopbackRun) runScenario() {
	schedule := func(t time.Duration, act func()) {
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
		schedule(l.Warmup, h.Stop)
		schedule(l.Warmup+l.Outage+time.Duration(i)*time.Second/time.Duration(len(l.hosts)), func() {
			if err := h.Restart(); err != nil {
				panic(err) // the host's address is in use, so the result would be meaningless
			}
		})
	}
	if l.Kind == "list" {
		schedule(l.Warmup, func() { l.services.SetMembers(l.memberList(false)) })
	}
	if l.Kind != "carrier" && l.Kind != "none" {
		returnAt := l.Warmup + l.Outage
		if l.Kind != "list" {
			returnAt += time.Second
		}
		schedule(returnAt, func() { l.services.SetMembers(l.memberList(true)) })
	}
	for t := time.Duration(0); t < time.Duration(l.duration()); t += step {
		schedule(t, func() {
			for i, h := range l.hosts {
				if hostCapacity, _ := h.Capacity(); l.Kind != "half" || i%2 == 0 {
					addToSeries(l.recorder.capacity, int64(t), hostCapacity)
				}
			}
		})
	}
	for next := int64(0); next < l.duration(); {
		next += int64(-math.Log(1-l.randomFloat64()) / l.commandRate() * 1e9)
		time.Sleep(time.Duration(next - l.clock()))
		l.mu.Lock()
		client := int(l.rng.Float64() * float64(l.Clients))
		c := l.newCommand(l.clock(), client, &l.rng)
		l.mu.Unlock()
		l.clients.Add(1)
		go func() {
			defer l.clients.Done()
			l.runCommand(c, client)
		}()
	}
}

// runCommand sends attempts of a command until one succeeds, the client gives up or the experiment is over.
func (l *loopbackRun) runCommand(c *command, client int) {
	for {
		fulfilled, advised := l.sendAttempt(c, client)
		if fulfilled {
			return
		}
		wait, again := c.behaviour.NextRetry(c.attempts-1, advised, l.randomFloat64())
		if !again || l.clock() > l.duration() {
			return
		}
		time.Sleep(time.Duration(wait))
	}
}

// sendAttempt sends one attempt and waits for its outcome. advised is the router's Retry-After in nanoseconds, 0 for none.
func (l *loopbackRun) sendAttempt(c *command, client int) (fulfilled bool, advised int64) {
	patient := time.Duration(c.behaviour.Patience * float64(requestClasses[c.class].Timeout))
	sent := l.clock()
	l.recorder.recordAttempt(sent, c)
	l.mu.Lock()
	l.serial++
	trace := strconv.Itoa(l.serial)
	l.mu.Unlock()
	method, body := http.MethodGet, []byte(nil)
	if c.idempotencyKey != "" {
		method, body = http.MethodPost, []byte("x")
	}
	rank := client % l.Routers
	if l.SkewRouters && client%10 != 0 {
		rank = 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), patient+50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+l.routers[rank]+"/"+requestClasses[c.class].name+"?obj="+strconv.FormatUint(c.key, 16),
		bytes.NewReader(body))
	if err != nil {
		panic(err) // method and URL are valid by construction
	}
	r.Header = http.Header{"X-Trace-Id": {trace}, "X-Qos": {requestClasses[c.class].name}, "X-Customer": {carrierNames[c.carrier]},
		"X-Expires-In": {strconv.FormatInt(patient.Milliseconds(), 10) + "m"}}
	if c.idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", c.idempotencyKey)
	}
	if c.behaviour.SendsIdempotencyKey && c.attempts > 1 {
		r.Header.Set("X-Second-Try", "1")
	}
	resp, err := l.client.Do(r)
	answered := err == nil
	if answered {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		answered, fulfilled = err == nil, err == nil && resp.StatusCode == http.StatusOK
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			advised = int64(seconds * 1e9)
		}
	}
	l.recorder.recordOutcome(l.clock(), sent, c, fulfilled, answered)
	return fulfilled, advised
}
