package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	maxProxiesDown = 2 // at once
	maxControlDown = 1

	minDowntime  = 50 * time.Millisecond // until a process that was ended is started again
	maxDowntime  = 900 * time.Millisecond
	startTimeout = 10 * time.Second // for a process that was started to listen
)

// drawTimes draws n times within a duration, sorted.
func drawTimes(rng *rand.Rand, n int, duration time.Duration) (all []time.Duration) {
	for range n {
		all = append(all, time.Duration(rng.Int64N(int64(duration))))
	}
	slices.Sort(all)
	return all
}

// signalProcesses sends processes signals at drawn times, and starts those again that end. It returns when all of them have been sent.
func (r *rig) signalProcesses(ctx context.Context, rng *rand.Rand, duration time.Duration) {
	var pending sync.WaitGroup
	defer pending.Wait()
	began := time.Now()
	proxySlots := make(chan struct{}, maxProxiesDown)
	controlSlots := make(chan struct{}, maxControlDown)
	for _, at := range drawTimes(rng, r.options.Kills, duration) {
		kind := SignalKind(rng.IntN(3))
		downtime := minDowntime + time.Duration(rng.Int64N(int64(maxDowntime-minDowntime)))
		p, slots := r.proxies[rng.IntN(len(r.proxies))], proxySlots
		if rng.IntN(3) == 0 {
			p, slots = r.control[rng.IntN(len(r.control))], controlSlots
		}
		select {
		case <-time.After(at - time.Since(began)):
		case <-ctx.Done():
			return
		}
		pending.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r.signalProcess(p, kind, downtime)
		})
	}
}

// signalProcess sends a process a signal, and starts it again after its downtime if that ended it.
func (r *rig) signalProcess(p *process, kind SignalKind, downtime time.Duration) {
	p.signalling.Lock()
	defer p.signalling.Unlock()
	if r.loadDone.Load() || !p.awaitListening(startTimeout) {
		return
	}
	s := Signal{Proxy: -1, Kind: kind, At: r.clock.now()}
	if p.role == "proxy" {
		s.Proxy = p.index
	}
	r.deliver(p, kind)
	s.Until = r.clock.now()
	r.recordSignal(s, p.role)
	if kind == Hangup {
		return
	}
	time.Sleep(downtime)
	r.restart(p)
}

// deliver sends a process a signal, and waits for its end if the signal ends it.
func (r *rig) deliver(p *process, kind SignalKind) {
	switch kind {
	case Hangup:
		p.signal(syscall.SIGHUP)
	case Terminated:
		if !p.terminate(terms.Grace) {
			r.violate(Violation{"PROCESS: not ended within its grace", p.name})
		}
	case Killed:
		p.kill()
	}
}

// recordSignal records a signal for the judge and the report.
func (r *rig) recordSignal(s Signal, role string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.signalLog = append(r.signalLog, s)
	r.signalCounts[role+" "+signalNames[s.Kind]]++
}

// handleUnexpectedExit reports a process that exited though no signal ended it, and starts it again as the platform does. The goroutine
// that it starts ends with that, or as the load is done.
func (r *rig) handleUnexpectedExit(p *process, cause error) {
	at := r.clock.now()
	r.violate(Violation{"PROCESS: ended by itself", fmt.Sprintf("%s at %.3f s: %v", p.name, at.Seconds(), cause)})
	go func() {
		p.signalling.Lock()
		defer p.signalling.Unlock()
		if r.loadDone.Load() || !p.hasExited() {
			return
		}
		r.restart(p)
	}()
}
