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
	o := orders.Order{Kind: orders.Begin, Of: service, Target: target, Term: term, Again: m.Boot.Bounds.Acknowledge}
	m.mu.Lock()
	o.Now, o.Dated = m.day()
	if i, there := m.state.Set.Get(manifest.Key{Kind: manifest.Rollouts, Name: service}); there {
		r := m.state.Ages.Here(m.clock(), pilotage.Read(i))
		o.Known, o.Age = r.Order, m.clock()-r.Began
	}
	m.mu.Unlock()
	return nil, m.submit(ctx, o)
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
	return map[string]string{"server-state": r.Told().String(), "target-version": r.Target}, nil
}

// steer looks at the votes on each rollout that runs, and has the core decide where they say so.
func (m *Master) steer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Standing() != bridge.InTouch {
		return
	}
	now := m.clock()
	day, agreed := m.day()
	for _, i := range m.state.Set.Standing(manifest.Rollouts) {
		r := pilotage.Read(i)
		if agreed {
			m.state.Ages.Date(now, day, r)
		}
		if r.Told() != pilotage.Running || m.rounds[r.ID()] {
			continue
		}
		if r = m.state.Ages.Here(now, r); r.Switching {
			if pilotage.Vacated(now, m.state.Ages.Switched(now, r), m.turn()) {
				m.rounds[r.ID()] = true
				go m.decide(r, orders.Order{Kind: orders.Tell, Of: r.Service, Number: r.Order})
			}
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
			go m.decide(r, orders.Order{Kind: orders.End, Of: r.Service, Number: r.Order, State: want, Now: day})
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

// decide has the core decide on a rollout's end, or that operators hear of it: each is one of its numbers, so that the first
// end is the only one.
func (m *Master) decide(r pilotage.Rollout, o orders.Order) {
	if err := m.submit(m.ctx, o); err != nil {
		klog.InfoS("rollout not ended yet", "service", r.Service, "order", o.Kind, "to", o.State, "why", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.rounds, r.ID())
}
