package bridge

import (
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/signals"
)

// Step is this process's step as an acceptor of a register. It gives the cells to be on disk before the reply goes out; a
// cell of nil is to go from it. No reply comes from a process that may have forgotten what it promised, nor once it knows
// how the rollout ended: more than half of the core keep an end, so that no later round can decide another, and the cells of
// orders that are over need not be kept.
func (s *State) Step(a signals.Ask) (cells map[string]*signals.Cell, r signals.Reply, ok bool) {
	service, order := pilotage.OfRegister(a.Name)
	if !s.Whole || s.ended(service, order) {
		return nil, signals.Reply{}, false
	}
	c, r := s.Cells[a.Name].Take(a)
	cells = map[string]*signals.Cell{a.Name: &c}
	s.Cells[a.Name] = c
	for name := range s.Cells {
		if of, n := pilotage.OfRegister(name); of == service && n < order && s.ended(of, n) {
			cells[name] = nil
			delete(s.Cells, name)
		}
	}
	return cells, r, true
}

// Bar keeps a process whose disk was lost out of the registers of the rollouts that run when it is whole again: what it had
// promised in them nobody else knows. It is for the moment when it becomes whole, and gives all cells to be on disk.
func (s *State) Bar() map[string]*signals.Cell {
	for _, i := range s.Set.Standing(manifest.Rollouts) {
		if r := pilotage.Read(i); r.State == pilotage.Running {
			s.Cells[r.Register()] = signals.Cell{Barred: true}
		}
	}
	all := map[string]*signals.Cell{}
	for name, c := range s.Cells {
		all[name] = &c
	}
	return all
}

// ended tells whether this process knows how the order of a service ended, or a later one of it.
func (s *State) ended(service string, order uint64) bool {
	i, ok := s.Set.Get(manifest.Key{Kind: manifest.Rollouts, Name: service})
	if !ok {
		return false
	}
	r := pilotage.Read(i)
	return r.Order > order || r.Order == order && r.State > pilotage.Running
}
