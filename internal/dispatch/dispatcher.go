// Package dispatch runs the decision engine of a router on sockets. One goroutine owns the engine, the ids of hosts and
// requests, and the open calls; events come in by Post, and the effects that the engine asks for are carried out by the
// Outputs, which never block it. The package decides nothing and does no I/O.
//
// Begin reading at Dispatcher.Run; apply.go has what each event does, effects.go what each effect does.
package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
)

// queueCapacity bounds the events that wait: more than a router's open connections can bring at once.
const queueCapacity = 4096

// Dispatcher turns events into calls of the decision engine, and its effects into calls of the Outputs. All of its state
// belongs to the goroutine that calls Run or Step, except the two queues.
type Dispatcher struct {
	log     zerolog.Logger
	clock   Clock
	outputs Outputs
	engine  *decision.Engine
	guard   Guard // nil for none

	calls      map[uint32]*Call // that are open or have attempts in flight
	lastCallID uint32
	hosts      map[uint32]Host // as they are listed now
	hostIDs    map[string]uint32
	lastHostID uint32

	ordinary chan Event
	urgent   chan Event // applied before the ordinary ones
	timerAt  int64      // when the timer is due, 0 for none
	timerID  uint64
	stopped  chan struct{} // closed when Run ends
}

// New makes a dispatcher that waits for Run; what is posted before then is kept.
func New(clock Clock, log zerolog.Logger) *Dispatcher {
	return &Dispatcher{
		log:      log,
		clock:    clock,
		calls:    map[uint32]*Call{},
		hosts:    map[uint32]Host{},
		hostIDs:  map[string]uint32{},
		ordinary: make(chan Event, queueCapacity),
		urgent:   make(chan Event, queueCapacity),
		stopped:  make(chan struct{}),
	}
}

// Post queues an event; it blocks while the queue is full. Changes of hosts, of the rollout and of the rank, reports of
// wrong answers and gossip do not queue behind requests. A new class does: its requests, which are posted after it, must
// not overtake it, and an event that waits on another queue may be overtaken.
func (d *Dispatcher) Post(e Event) {
	queue := d.ordinary
	switch e.(type) {
	case HostsChanged, RolloutChanged, AnswerFlagged, GossipReceived, RankChanged:
		queue = d.urgent
	}
	select {
	case queue <- e:
	case <-d.stopped:
	}
}

// Config is what a dispatcher needs to know before its first event.
type Config struct {
	Settings decision.Settings
	Seed     uint64
	Hosts    HostsChanged
	Rollout  RolloutChanged
	Guard    Guard // nil for none
}

// Start starts the engine. Run calls it; a caller that steps the dispatcher by hand does so once, before the first Step.
func (d *Dispatcher) Start(config Config, outputs Outputs) {
	d.outputs = outputs
	d.guard = config.Guard
	d.engine = decision.New(config.Settings, config.Seed, d.clock(), effects{d})
	config.Hosts.apply(d)
	config.Rollout.apply(d)
}

// Run starts the engine and applies events until the context ends.
func (d *Dispatcher) Run(ctx context.Context, config Config, outputs Outputs) {
	defer close(d.stopped)
	d.Start(config, outputs)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		if d.Step() {
			continue
		}
		if d.timerAt != 0 {
			timer.Reset(time.Duration(d.timerAt - d.clock()))
		}
		select {
		case e := <-d.urgent:
			e.apply(d)
		case e := <-d.ordinary:
			e.apply(d)
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// Step fires the timer if it is due, or else applies one event that waits; it returns false if there is neither.
func (d *Dispatcher) Step() bool {
	if now := d.clock(); d.timerAt != 0 && now >= d.timerAt {
		d.timerAt = 0
		d.engine.TimerFired(now, d.timerID)
		return true
	}
	select {
	case e := <-d.urgent:
		e.apply(d)
		return true
	default:
	}
	select {
	case e := <-d.urgent:
		e.apply(d)
	case e := <-d.ordinary:
		e.apply(d)
	default:
		return false
	}
	return true
}

// NextTimer returns when the dispatcher must be stepped even if no event comes, 0 for never.
func (d *Dispatcher) NextTimer() int64 { return d.timerAt }

// TrialStatistics returns the statistics by which the engine judges the newest build. While Run runs it may be called only
// by an Output in the midst of an effect.
func (d *Dispatcher) TrialStatistics() decision.TrialStatistics { return d.engine.TrialStatistics() }
