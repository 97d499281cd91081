package lab

import (
	"math"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/random"
	"portflow/internal/standin"
)

// emulation runs an experiment in virtual time. Dispatchers, decision engines and retry guards are those of the router; hosts, clients
// and the network are models.
type emulation struct {
	StormExperiment
	timeline
	recorder       *recorder
	rng            random.Source
	routers        []*emulatedRouter
	hosts          []*host
	effects        standin.EffectLog
	waitingClients []uint64            // bit set of the clients with an unfinished command
	attempts       map[string]*attempt // by trace ID
	serial         int                 // last trace ID
	rollbackVotes  int
}

// host is the model of a host.
type host struct {
	*standin.Machine
	name        string
	start       int64 // of the current incarnation, 0 for the first
	build       int
	inOutage    bool // crashes in the outage
	incarnation int
	forwards    []*forward // in flight at the host
}

// attempt is one attempt of a client's command.
type attempt struct {
	*command
	client int
	sent   int64
	router *emulatedRouter
	call   *dispatch.Call
	ended  bool
}

// Emulate runs an experiment in virtual time. Equal experiments give equal results, apart from Result.Seconds.
func Emulate(exp StormExperiment) (Result, error) {
	if err := exp.validate(); err != nil {
		return Result{}, err
	}
	start := time.Now()
	em := &emulation{StormExperiment: exp, recorder: newRecorder(exp), rng: random.Source{Seed: exp.Seed}, waitingClients: make([]uint64, exp.Clients/64+1),
		effects: standin.EffectLog{Retention: 2e9}, attempts: map[string]*attempt{}}
	for i := range exp.Hosts {
		hostModel := &host{Machine: exp.newMachine(), name: "h" + strconv.Itoa(i), build: 1, inOutage: exp.Kind == "hosts" || exp.Kind == "half" && i%2 == 0}
		if exp.Trial && i%5 == 4 {
			hostModel.build = 2
		}
		hostModel.Start(0, true)
		em.hosts = append(em.hosts, hostModel)
	}
	for rank := range exp.Routers {
		limiter, detector, err := exp.newGuard(rank, 0)
		if err != nil {
			return Result{}, err
		}
		r := &emulatedRouter{emulation: em, index: rank, guard: detector}
		r.steppedRouter.timeline = &em.timeline
		r.router = dispatch.New(func() int64 { return em.now + 1 }, zerolog.Nop())
		release := decision.Rollout{Build: 1, State: decision.Released, ExposureCap: 1, Age: 60e9}
		if exp.Trial {
			release = decision.Rollout{Build: 2, Stage: 1, State: decision.OnTrial, ExposureCap: 0.4}
		}
		r.router.Start(dispatch.Config{Settings: exp.routerSettings(rank), Seed: exp.Seed*77 + uint64(rank), Guard: limiter,
			Hosts: dispatch.HostsChanged{Kind: decision.Snapshot, Hosts: em.hostList(true)}, Rollout: dispatch.RolloutChanged{Rollout: release}},
			dispatch.Outputs{Upstream: r, Platform: r, Peers: r, HostWatcher: r})
		r.pump()
		em.routers = append(em.routers, r)
	}
	em.scheduleOutages()
	em.scheduleArrivals()
	em.recordCapacity()
	em.run(exp.duration())
	result := em.recorder.summarize()
	noticed := make([]int64, len(em.routers))
	for i, r := range em.routers {
		if r.guard != nil {
			noticed[i] = r.guard.Stats.FirstStormAt
		}
	}
	em.recorder.recordDetection(&result, noticed)
	result.Duplicates, result.RollbackVotes = em.effects.Duplicates, em.rollbackVotes
	for _, hostModel := range em.hosts {
		if hostModel.Collapsed {
			result.FailedHosts++
		}
	}
	result.Seconds = time.Since(start).Seconds()
	return result, nil
}

// scheduleOutages schedules the outages and the recovery from them. Crashed hosts restart cold, one after another within a second.
func (e *emulation) scheduleOutages() {
	outage := func(at int64) {
		switch e.Kind {
		case "hosts", "half":
			e.after(at, func() {
				for _, h := range e.hosts {
					if h.inOutage {
						h.crash()
					}
				}
			})
			for i, h := range e.hosts {
				if h.inOutage {
					e.after(at+int64(e.Outage)+int64(i)*1e9/int64(len(e.hosts)), func() {
						h.incarnation++
						h.start = e.now + 1
						h.Start(e.now, false)
					})
				}
			}
			e.after(at+int64(e.Outage)+1e9, func() { e.sendHostList(true) })
		case "list":
			e.after(at, func() { e.sendHostList(false) })
			e.after(at+int64(e.Outage), func() { e.sendHostList(true) })
		}
	}
	outage(int64(e.Warmup))
	if e.SecondOutage {
		outage(int64(e.Warmup+e.Outage) + 3e9)
	}
}

// sendHostList sends the host list to all routers, each after a random delay of up to 300 ms. Unless complete is set, the list reports
// all hosts as removed.
func (e *emulation) sendHostList(complete bool) {
	for _, r := range e.routers {
		e.after(int64(e.rng.Float64()*3e8), func() {
			r.router.Post(dispatch.HostsChanged{Kind: decision.Delta, Hosts: e.hostList(complete)})
			r.pump()
		})
	}
}

func (e *emulation) hostList(present bool) (hosts []dispatch.Host) {
	for _, h := range e.hosts {
		x := dispatch.Host{Name: h.name, Address: h.name, Build: h.build, Capacity: 1, StartedAt: h.start}
		if !present {
			x.Health = decision.Gone
		}
		hosts = append(hosts, x)
	}
	return hosts
}

// scheduleArrivals schedules the clients' commands as a Poisson process. A client with an unfinished command sends no other.
func (e *emulation) scheduleArrivals() {
	rate := e.commandRate()
	inOutage := e.now >= int64(e.Warmup) && e.now < int64(e.Warmup+e.Outage)
	if e.Kind == "carrier" && inOutage {
		rate *= 2
	}
	e.after(int64(-math.Log(1-e.rng.Float64())/rate*1e9), func() {
		client := int(e.rng.Float64() * float64(e.Clients))
		if e.waitingClients[client/64]>>(client%64)&1 == 0 {
			cmd := e.newCommand(e.now, client, &e.rng)
			if !(e.Kind == "carrier" && inOutage && cmd.carrier != e.Carrier && e.rng.Float64() < 0.5) { // drops the extra commands of the other carriers
				e.waitingClients[client/64] |= 1 << (client % 64)
				e.sendAttempt(cmd, client)
			}
		}
		e.scheduleArrivals()
	})
}

// recordCapacity records the capacity of the affected hosts at each step: those that crash, or all hosts if none crashes.
func (e *emulation) recordCapacity() {
	for _, h := range e.hosts {
		if h.inOutage || e.Kind == "list" || e.Kind == "carrier" || e.Kind == "none" {
			addToSeries(e.recorder.capacity, e.now, h.Capacity(e.now))
		}
	}
	e.after(int64(step), e.recordCapacity)
}

// sendAttempt sends one attempt of a command to the client's router, and fails it if there is no answer in time.
func (e *emulation) sendAttempt(cmd *command, client int) {
	e.serial++
	rank := client % e.Routers
	if e.SkewRouters && client%10 != 0 {
		rank = 0
	}
	a := &attempt{command: cmd, client: client, sent: e.now, router: e.routers[rank]}
	patience := int64(cmd.behaviour.Patience * float64(requestClasses[cmd.class].Timeout))
	e.recorder.recordAttempt(e.now, cmd)
	trace := strconv.Itoa(e.serial)
	e.attempts[trace] = a
	a.call = &dispatch.Call{Class: cmd.class, Customer: cmd.carrier, Key: cmd.key, Deadline: e.now + patience, Retried: cmd.behaviour.SendsIdempotencyKey && cmd.attempts > 1,
		Request: &dispatch.Request{TraceID: trace, IdempotencyKey: cmd.idempotencyKey}, Responder: a}
	a.router.router.Post(dispatch.RequestReceived{Call: a.call})
	a.router.pump()
	e.after(patience+50e6, func() {
		if !a.ended {
			a.ended = true
			e.recorder.recordOutcome(e.now, a.sent, cmd, false, false)
			a.router.router.Post(dispatch.ClientGone{Call: a.call})
			a.router.pump()
			e.scheduleRetry(a, 0)
		}
		delete(e.attempts, trace)
	})
}

// Respond receives the router's final answer. The client gets it 500 µs later.
func (a *attempt) Respond(answer dispatch.Answer) {
	em := a.router.emulation
	em.after(5e5, func() {
		if a.ended {
			return
		}
		a.ended = true
		em.recorder.recordOutcome(em.now, a.sent, a.command, answer.Kind == dispatch.Succeeded, true)
		if answer.Kind == dispatch.Succeeded {
			em.waitingClients[a.client/64] &^= 1 << (a.client % 64)
			return
		}
		em.scheduleRetry(a, int64(answer.RetryAfter))
	})
}

func (e *emulation) scheduleRetry(a *attempt, advised int64) {
	wait, again := a.behaviour.NextRetry(a.attempts-1, advised, e.rng.Float64())
	if !again {
		e.waitingClients[a.client/64] &^= 1 << (a.client % 64)
		return
	}
	e.after(wait, func() { e.sendAttempt(a.command, a.client) })
}

// crash stops the host and resets the connections of its requests in flight.
func (h *host) crash() {
	h.Stop()
	h.incarnation++
	for len(h.forwards) > 0 {
		h.forwards[0].finishExternally(dispatch.Outcome{Result: decision.ConnectionReset})
	}
}
