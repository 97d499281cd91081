package trial

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const startTimeout = 10 * time.Second // from the start of a process until it listens

// signalProcesses plays signal series and restarts the processes that exit. It returns when the last restart is done.
func (r *rig) signalProcesses(ctx context.Context, all []series) {
	var pending sync.WaitGroup
	defer pending.Wait()
	began := time.Now()
	for _, s := range all {
		select {
		case <-time.After(s.at - time.Since(began)):
		case <-ctx.Done():
			return
		}
		r.countSeries(s.kind)
		for _, t := range s.targets {
			pending.Go(func() { r.playSeries(r.targetProcess(t), s) })
		}
	}
}

func (r *rig) targetProcess(t target) *process {
	if t.control {
		return r.control[t.index]
	}
	return r.proxies[t.index]
}

// playSeries plays a series at one process, and restarts the process whenever it has exited.
func (r *rig) playSeries(p *process, s series) {
	p.signalling.Lock()
	defer p.signalling.Unlock()
	for _, round := range s.rounds {
		if r.loadDone.Load() || !s.whileStarting && !p.awaitListening(startTimeout) {
			return
		}
		if !r.playRound(p, round) {
			return
		}
		time.Sleep(round.downtime)
		r.restart(p)
	}
}

// playRound plays a round at a process. If one of them is to end the process, it waits for the exit and returns true.
func (r *rig) playRound(p *process, round signalRound) (exited bool) {
	var sent []Signal
	ends := false
	for _, step := range round.steps {
		time.Sleep(step.after)
		if p.hasExited() {
			break
		}
		sent = append(sent, Signal{Proxy: p.proxyIndex(), Kind: step.kind, At: r.clock.now()})
		p.signal(step.kind)
		ends = ends || step.kind.ends()
	}
	if ends && !r.awaitExit(p, sent) {
		r.violate(Violation{"PROCESS: did not exit within the grace period", p.name})
		sent = append(sent, Signal{Proxy: p.proxyIndex(), Kind: Killed, At: r.clock.now()})
		p.kill()
	}
	for _, s := range sent {
		s.Until = r.clock.now()
		r.recordSignal(s, p.role)
	}
	return ends
}

// awaitExit waits until a process has exited, at most until the grace period after the first signal that ends it. It reports whether
// the process exited.
func (r *rig) awaitExit(p *process, sent []Signal) bool {
	for _, s := range sent {
		if s.Kind.ends() {
			return p.exitsWithin(s.At + terms.Grace - r.clock.now())
		}
	}
	return true
}

// recordSignal records a signal for the judge and the report.
func (r *rig) recordSignal(s Signal, role string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.signalLog = append(r.signalLog, s)
	r.signalCounts[role+" "+signalNames[s.Kind]]++
}

func (r *rig) countSeries(kind seriesKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seriesCounts[kind]++
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
