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
	proxiesAtOnce = 2                      // that end or are away
	awayLow       = 50 * time.Millisecond  // before a process is started again
	awayHigh      = 900 * time.Millisecond // after that at the latest
	upIn          = 10 * time.Second       // for a process that was started to serve
)

// moments draws so many moments within a stretch, in their order.
func moments(rng *rand.Rand, n int, lasts time.Duration) (all []time.Duration) {
	for range n {
		all = append(all, time.Duration(rng.Int64N(int64(lasts))))
	}
	slices.Sort(all)
	return all
}

// disturb sends processes signals at drawn moments, and starts those again that end.
func (r *rig) disturb(ctx context.Context, rng *rand.Rand, lasts time.Duration) {
	var all sync.WaitGroup
	defer all.Wait()
	began := time.Now()
	room, control := make(chan struct{}, proxiesAtOnce), make(chan struct{}, 1)
	for _, moment := range moments(rng, r.options.Kills, lasts) {
		kind := Disturbance(rng.IntN(3))
		away := awayLow + time.Duration(rng.Int64N(int64(awayHigh-awayLow)))
		p, gate := r.proxies[rng.IntN(len(r.proxies))], room
		if rng.IntN(3) == 0 {
			p, gate = r.control[rng.IntN(len(r.control))], control
		}
		select {
		case <-time.After(moment - time.Since(began)):
		case <-ctx.Done():
			return
		}
		all.Go(func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			r.strike(p, kind, away)
		})
	}
}

// strike sends one process one signal.
func (r *rig) strike(p *process, kind Disturbance, away time.Duration) {
	p.striking.Lock()
	defer p.striking.Unlock()
	if r.over.Load() || !p.serves(upIn) {
		return
	}
	s := Signal{Proxy: -1, Kind: kind, At: r.clock.now()}
	if p.role == "proxy" {
		s.Proxy = p.index
	}
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
	s.Until = r.clock.now()
	r.noteSignal(s, p.role)
	if kind == Hangup {
		return
	}
	time.Sleep(away)
	if err := p.start(); err != nil {
		r.violate(Violation{"PROCESS: not started", err.Error()})
	}
}

// noteSignal keeps a signal for the judgement.
func (r *rig) noteSignal(s Signal, role string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.signals = append(r.signals, s)
	r.struck[role+" "+disturbanceNames[s.Kind]]++
}

// endedByItself notes the end of a process that was not told to end, and starts it again as the platform does.
func (r *rig) endedByItself(p *process, why error) {
	at := r.clock.now()
	r.violate(Violation{"PROCESS: ended by itself", fmt.Sprintf("%s at %.3f s: %v", p.name, at.Seconds(), why)})
	go func() {
		p.striking.Lock()
		defer p.striking.Unlock()
		if r.over.Load() || !p.ended() {
			return
		}
		if err := p.start(); err != nil {
			r.violate(Violation{"PROCESS: not started", err.Error()})
		}
	}()
}
