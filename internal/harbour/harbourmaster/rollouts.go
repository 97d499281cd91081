package harbourmaster

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"portflow/internal/harbour/bridge"
	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
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
	now := m.clock()
	m.mu.Lock()
	err = m.ready()
	old, _ := m.state.Set.Get(manifest.Key{Kind: manifest.Rollouts, Name: service})
	was := pilotage.Read(old)
	settled := m.settled(service, was)
	if err == nil {
		if _, ok := m.state.Set.Get(manifest.Key{Kind: manifest.Services, Name: service}); !ok {
			err = faults.New(faults.Invalid, "service: %s does not stand", service)
		}
	}
	m.mu.Unlock()
	if err != nil {
		return nil, err
	}
	i := old
	switch {
	case was.State == pilotage.Running && was.Target == target: // it stands: it is only to be kept by enough
	case was.State == pilotage.Running:
		return nil, faults.New(faults.UnderWay, "%s is being moved to %s", service, was.Target)
	default:
		i = pilotage.Rollout{Service: service, Order: was.Order + 1, From: settled, Base: was.Build(), Target: target, Began: now, Term: term,
			State: pilotage.Running}.Item()
	}
	ctx, cancel := context.WithTimeout(ctx, answerIn)
	defer cancel()
	if err := m.store(ctx, []manifest.Item{i}); err != nil {
		return nil, faults.Wrap(faults.Unready, err, "not yet kept by more than half of the core")
	}
	return nil, nil
}

// settled is a service's version that is not on trial; the caller holds the lock.
func (m *Master) settled(service string, r pilotage.Rollout) string {
	i, _ := m.state.Set.Get(manifest.Key{Kind: manifest.Settled, Name: service})
	return pilotage.Settled(i, r)
}

func (m *Master) rollout(_ context.Context, service string, _ []byte) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.ready(); err != nil {
		return nil, err
	}
	i, ok := m.state.Set.Get(manifest.Key{Kind: manifest.Rollouts, Name: service})
	if !ok {
		return nil, faults.New(faults.Missing, "of: no rollout of %q", service)
	}
	r := pilotage.Read(i)
	return map[string]string{"server-state": r.Told(m.clock()).String(), "target-version": r.Target}, nil
}

// steer looks at the votes on each rollout that runs, and has the register decide where they say so.
func (m *Master) steer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.Standing() != bridge.InTouch {
		return
	}
	now := m.clock()
	for _, i := range m.state.Set.Standing(manifest.Rollouts) {
		r := pilotage.Read(i)
		if r.State != pilotage.Running || m.rounds[r.Register()] {
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
			m.rounds[r.Register()] = true
			go m.decide(r, want)
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

// decide has a rollout's register decide on its end, and keeps what was decided.
func (m *Master) decide(r pilotage.Rollout, want pilotage.State) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.rounds, r.Register())
	}()
	ctx, cancel := context.WithTimeout(m.ctx, 3*time.Second)
	defer cancel()
	m.mu.Lock()
	round := signals.NewRound(signals.Ballot(m.state.Cells[r.Register()].Promised, m.clock(), m.Boot.IP), m.state.Majority(), want.String())
	m.mu.Unlock()
	for round.State() < signals.Decided {
		if !m.step(ctx, r.Register(), round) {
			return // it was beaten, or the time is up: the next look tries again
		}
	}
	if round.State() != signals.Decided {
		return
	}
	r.State, r.Ended = pilotage.Parse(round.Value()), m.clock()
	m.store(ctx, []manifest.Item{r.Item()})
}

// step asks all of the core, this process too, and waits until the round has moved on.
func (m *Master) step(ctx context.Context, name string, round *signals.Round) bool {
	moved := make(chan struct{})
	m.mu.Lock()
	m.lastID++
	id, at := m.lastID, round.State()
	over := false
	say := func(from string, r signals.Reply) {
		if !over && round.Take(from, at, r) {
			over = true
			close(moved)
		}
	}
	m.waits[id] = &wait{say: say}
	ask := round.Ask(name)
	ask.ID = id
	for _, e := range m.ends {
		if e.line != nil {
			e.line.Send(signals.Word{Ask: &ask})
		}
	}
	m.answer(ask, func(r signals.Reply) { // comes under no lock
		m.mu.Lock()
		defer m.mu.Unlock()
		say(m.Boot.IP, r)
	})
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		over = true
		delete(m.waits, id)
	}()
	select {
	case <-moved:
		m.mu.Lock()
		defer m.mu.Unlock()
		return round.State() != signals.Beaten
	case <-ctx.Done():
		return false
	}
}

// answer is this process's step as an acceptor: what it promises is on disk before it says so. The caller holds the lock;
// say comes without it.
func (m *Master) answer(a signals.Ask, say func(signals.Reply)) {
	cells, r, ok := m.state.Step(a)
	if !ok {
		return
	}
	raw, err := pack(cells)
	if err != nil {
		return
	}
	m.keeper.keep(job{cells: raw, done: func() { say(r) }})
}

// pack is cells as they are on disk.
func pack(cells map[string]*signals.Cell) (map[string][]byte, error) {
	all := make(map[string][]byte, len(cells))
	for name, c := range cells {
		if c == nil {
			all[name] = nil
			continue
		}
		raw, err := json.Marshal(c)
		if err != nil {
			return nil, fmt.Errorf("register %s: %w", name, err)
		}
		all[name] = raw
	}
	return all, nil
}
