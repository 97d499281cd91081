// Package dispatch connects the decision engine of a router or proxy to the network. One goroutine owns the engine, the IDs of
// hosts and requests, and the open calls. It receives events through Post and passes the effects that the engine requests to
// the Outputs, which must not block. The package itself makes no decisions and does no I/O.
//
// The main loop is Dispatcher.Run; apply.go handles the events, effects.go the effects.
package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
)

// queueCapacity is the capacity of each event queue, above the number of events that a router's open connections can cause at once.
const queueCapacity = 4096

// Dispatcher passes events to the decision engine, and the engine's effects to the Outputs. Its state belongs to the goroutine
// that calls Run or Step, except for the channels.
type Dispatcher struct {
	log     zerolog.Logger
	clock   Clock
	outputs Outputs
	engine  *decision.Engine
	guard   Guard // may be nil

	calls      map[uint32]*Call // by ID; not done, or with attempts in flight
	lastCallID uint32
	hosts      map[uint32]Host   // the currently listed hosts, by ID
	hostIDs    map[string]uint32 // by host name
	lastHostID uint32

	ordinary chan Event
	urgent   chan Event // applied before ordinary events
	timerAt  int64      // time at which the timer is due, 0 for none
	timerID  uint64
	stopped  chan struct{} // closed when Run returns
}

// New returns a dispatcher. Events that are posted before Run or Step are queued.
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

// Post queues an event. It blocks while the queue is full, unless Run has returned. Changes of hosts, of the rollout and of the
// rank, flagged answers and gossip use the urgent queue, so that they do not wait behind requests. ClassAdded uses the ordinary
// queue: requests of the new class are posted after it and must not overtake it, which is not ensured between queues.
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

// Config is the initial configuration of a Dispatcher.
type Config struct {
	Settings decision.Settings
	Seed     uint64
	Hosts    HostsChanged
	Rollout  RolloutChanged
	Guard    Guard // may be nil
}

// Start creates the engine and applies the initial hosts and rollout. Run calls it; a caller of Step calls it once, before the
// first Step.
func (d *Dispatcher) Start(config Config, outputs Outputs) {
	d.outputs = outputs
	d.guard = config.Guard
	d.engine = decision.New(config.Settings, config.Seed, d.clock(), effects{d})
	config.Hosts.apply(d)
	config.Rollout.apply(d)
}

// Run calls Start and then handles events and the timer until ctx is done.
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

// Step fires the timer if it is due, or else applies one queued event, urgent events first. It returns false if there was
// nothing to do.
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

// NextTimer returns the time, on the Clock, at which Step must be called even if no event is posted, 0 for none.
func (d *Dispatcher) NextTimer() int64 { return d.timerAt }

// TrialStatistics returns the statistics by which the engine evaluates the newest build. While Run is running, only Outputs may
// call it, from within an effect.
func (d *Dispatcher) TrialStatistics() decision.TrialStatistics { return d.engine.TrialStatistics() }
