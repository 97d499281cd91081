package harbourmaster

import (
	"context"

	"k8s.io/klog/v2"

	"portflow/internal/harbour/bridge"
	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/papers"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/rpc"
	"portflow/internal/harbour/signals"
)

// begin takes the order to move a service to a version.
func (m *Master) begin(ctx context.Context, _ string, body []byte) (any, error) {
	tree, err := rpc.Tree(body)
	if err != nil {
		return nil, err
	}
	r := papers.Read(tree)
	service, target, term := r.At("service").Text(), r.At("target-version").Text(), r.At("duration-s").Seconds(0, 86400)
	if err := r.Err(); err != nil {
		return nil, faults.Wrap(faults.Invalid, err, "the order is invalid")
	}
	m.mu.Lock()
	now := m.coreNow()
	m.mu.Unlock()
	return nil, m.submit(ctx, orders.Order{Kind: orders.Begin, Of: service, Target: target, Term: term, Now: now, Again: m.Boot.Bounds.Acknowledge})
}

func (m *Master) rollout(ctx context.Context, service string, _ []byte) (any, error) {
	if err := m.confirm(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := m.state.Set.Get(manifest.Key{Kind: manifest.Rollouts, Name: service})
	if !ok {
		return nil, faults.New(faults.Missing, "of: no rollout of %q", service)
	}
	r := pilotage.Read(i)
	return map[string]string{"server-state": r.Told(m.coreNow()).String(), "target-version": r.Target}, nil
}

// steer looks at the votes on each rollout that runs, and has the core decide where they say so.
func (m *Master) steer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Standing() != bridge.InTouch {
		return
	}
	now := m.coreNow()
	for _, i := range m.state.Set.Standing(manifest.Rollouts) {
		r := pilotage.Read(i)
		if r.State != pilotage.Running || m.rounds[r.ID()] {
			continue
		}
		var votes []signals.Poll
		for k, p := range m.state.Polls {
			if k.Service == r.Service && p.Order == r.Order {
				votes = append(votes, p)
			}
		}
		// the control processes take turns, so that one proposes and the others see what it decided
		if want := pilotage.Judge(now, r, votes, m.state.Roster(), m.turn()); want != pilotage.Running {
			m.rounds[r.ID()] = true
			go m.decide(r, want, now)
		}
	}
}

// turn is how many control processes that are heard come before this one.
func (m *Master) turn() (n int) {
	for _, ip := range m.state.Counted() {
		if ip < m.Boot.IP {
			n++
		}
	}
	return n
}

// decide has the core decide on a rollout's end: it is one of its numbers, so that the first end is the only one.
func (m *Master) decide(r pilotage.Rollout, want pilotage.State, now int64) {
	err := m.submit(m.ctx, orders.Order{Kind: orders.End, Of: r.Service, Number: r.Order, State: want, Now: now})
	if err != nil {
		klog.InfoS("rollout not ended yet", "service", r.Service, "to", want, "why", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.rounds, r.ID())
}
