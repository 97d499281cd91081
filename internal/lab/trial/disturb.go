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
	// Limits on processes of a role that are being signalled or restarted at a time.
	maxProxiesDown = 2
	maxControlDown = 1

	// Bounds of the delay before a stopped process is restarted.
	minDowntime  = 50 * time.Millisecond
	maxDowntime  = 900 * time.Millisecond
	startTimeout = 10 * time.Second // from the start of a process until it listens
)

// drawTimes returns n random times within a duration, sorted.
func drawTimes(rng *rand.Rand, n int, duration time.Duration) (all []time.Duration) {
	for range n {
		all = append(all, time.Duration(rng.Int64N(int64(duration))))
	}
	slices.Sort(all)
	return all
}

// signalProcesses sends signals to random processes at random times, and restarts those that exit. It returns when the last restart is
// done.
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

// signalProcess sends a process a signal and, unless it is SIGHUP, restarts the process after downtime.
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

// deliver sends a process a signal and, unless it is SIGHUP, waits until the process has exited.
func (r *rig) deliver(p *process, kind SignalKind) {
	switch kind {
	case Hangup:
		p.signal(syscall.SIGHUP)
	case Terminated:
		if !p.terminate(terms.Grace) {
			r.violate(Violation{"PROCESS: did not exit within the grace period", p.name})
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

// handleUnexpectedExit records a violation for a process that exited without being asked to, and restarts it in a goroutine, as the
// platform would, unless the load is done.
func (r *rig) handleUnexpectedExit(p *process, cause error) {
	at := r.clock.now()
	r.violate(Violation{"PROCESS: exited unexpectedly", fmt.Sprintf("%s at %.3f s: %v", p.name, at.Seconds(), cause)})
	go func() {
		p.signalling.Lock()
		defer p.signalling.Unlock()
		if r.loadDone.Load() || !p.hasExited() {
			return
		}
		r.restart(p)
	}()
}
