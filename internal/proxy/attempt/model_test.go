package attempt

import (
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
)

var (
	faultKinds    = flag.Int("harms", 3, "losses, resets, silences, copies and cancels in one history of the model")
	attemptLimits = flag.Int("tries", 2, "attempts of one request in it")
)

// The model: two clients with a request each that may run once, a router with two connections, and a host, as small machines.
// Every order of their steps is played, with so many harms at most. The router's decisions are the package's own.

type message struct {
	of   int8 // request; -1 for none
	kind Event
}

var noMessage = message{of: -1}

type connection struct {
	open         bool // for the router
	request      int8
	wire         int8 // the request on its way to the host
	part         bool // of which only the beginning was written
	early        bool // the host has answered it all the same, and reads on
	working      int8 // the request that the host has
	answers      [2]message
	lastAnswer   message // that the host said
	sentAttempts uint8   // requests that were written on it, as the router remembers
}

type clientState uint8

const (
	clientSending clientState = iota
	clientWaiting
	clientGone
	clientSucceeded
	clientRefused
	clientFailed
)

type modelRequest struct {
	state      Request
	client     clientState
	connection int8
	attempts   uint8
	runs       uint8
	early      uint8 // of the runs, those for which a part of it was enough
	passed     bool  // its body went on as it came: the router doesn't have it any more
	stale      bool  // the router has read only a part of it
}

type world struct {
	requests    [2]modelRequest
	connections [2]connection
	faultsLeft  uint8
}

// mutation takes a part of the machine out.
type mutation struct {
	noID, notRunFirst, noMayHaveRun, noSpent, noSettle, keepPart, sendEarly, keepEarly bool
	streams                                                                            bool // no fault: bodies go on as they come
	endsComplete, resends                                                              bool // faults of that
}

type model struct {
	mutation
	attempts   uint8
	visited    map[world]bool
	queue      []world
	steps      int
	violations map[string]bool
	ends       map[clientState]map[bool]int // by how a client's request ended, and whether it ran
}

func (m *model) broken(format string, args ...any) { m.violations[fmt.Sprintf(format, args...)] = true }

// reach is a state that a step leads to.
func (m *model) reach(w world) {
	m.steps++
	for i, a := range w.requests {
		if a.runs > 1 {
			m.broken("TWICE: request %d", i)
			return
		}
		if a.runs > 0 && a.client == clientRefused {
			m.broken("REFUSED: request %d", i)
			return
		}
		if a.runs > a.early && a.stale {
			m.broken("UNASKED: request %d, of which a part was read", i)
			return
		}
	}
	if !m.visited[w] {
		for _, a := range w.requests {
			m.ends[a.client][a.runs > 0]++
		}
		m.visited[w] = true
		m.queue = append(m.queue, w)
	}
}

// on tells a request's attempt an event; where the attempt is over its line is free, or closed.
func (m *model) on(w *world, i int8, e Event) {
	a := &w.requests[i]
	complete := a.state.current.Phase == Written || m.keepEarly
	a.state, _ = a.state.Apply(e)
	if m.noMayHaveRun && a.state.ended == MayHaveRun {
		a.state.ended = NotRun
	}
	if a.state.busy && a.state.current.Phase != Connecting {
		return
	}
	if l := &w.connections[a.connection]; true {
		l.request = -1
		l.open = l.open && (e == Answered || e == TurnedAway || e == Misdirected) && !a.state.busy && complete
	}
	a.connection = -1
}

func (m *model) judge(w *world, to int8, x message) (Event, error) {
	id, its := fmt.Sprint(to), fmt.Sprint(x.of)
	if m.noID {
		its = id
	}
	a := Answer{Status: 200, IDs: []string{its}, Sealed: true}
	switch x.kind {
	case TurnedAway:
		a = Answer{Status: 503, IDs: []string{its}, NotRun: true}
	case Misdirected:
		a = Answer{Status: 421, IDs: []string{its}}
	case UnexpectedBytes:
		a = Answer{}
	}
	if m.notRunFirst && (x.kind == TurnedAway || x.kind == Misdirected) {
		return x.kind, nil
	}
	if e, err := Classify(id, a); err != nil || x.kind != Truncated {
		return e, err
	}
	return Truncated, io.ErrUnexpectedEOF // as its body is read
}

func (m *model) say(w world, c int, x message) (world, bool) {
	l := &w.connections[c]
	l.lastAnswer = x
	for k := range l.answers {
		if l.answers[k] == noMessage {
			l.answers[k] = x
			return w, true
		}
	}
	return w, false
}

func (m *model) step(w world) {
	harm := func(do func(w *world)) {
		if w.faultsLeft > 0 {
			x := w
			x.faultsLeft--
			do(&x)
			m.reach(x)
		}
	}
	calm := func(do func(w *world)) {
		x := w
		do(&x)
		m.reach(x)
	}
	for k := range w.requests {
		i, a := int8(k), w.requests[k]
		if a.client == clientSending {
			calm(func(w *world) { w.requests[i].client = clientWaiting })
			harm(func(w *world) {
				a := &w.requests[i]
				a.client, a.stale = clientGone, true
				if !m.streams {
					return
				}
				if a.state = a.state.Settle(); a.connection < 0 || a.state.current.Phase < WriteBegun {
					return
				}
				if l := &w.connections[a.connection]; m.endsComplete && l.wire == i {
					l.part = false
				}
				m.on(w, i, Canceled)
			})
			if !m.sendEarly && !m.streams {
				continue
			}
		}
		if a.client == clientWaiting || a.client == clientSending {
			if a.connection < 0 { // a connection for the attempt that waits for one, or for another
				for c, l := range w.connections {
					if l.request >= 0 || !l.open && (l.wire >= 0 || l.working >= 0) || l.open && l.sentAttempts&(1<<i) != 0 && !m.noSpent {
						continue
					}
					calm(func(w *world) {
						a := &w.requests[i]
						if !a.state.busy {
							if a.attempts >= m.attempts || a.passed && !m.resends {
								return
							}
							var ok bool
							if a.state, ok = a.state.Begin(); !ok {
								return
							}
							a.attempts++
						}
						if !l.open {
							w.connections[c] = connection{open: true, wire: -1, working: -1, answers: [2]message{noMessage, noMessage}, lastAnswer: noMessage}
						}
						w.connections[c].request, a.connection = i, int8(c)
						a.state, _ = a.state.Apply(Connected)
					})
				}
			}
			calm(func(w *world) { // the final answer: what is under way is called off
				a := &w.requests[i]
				a.state = a.state.Settle()
				if a.client = clientFailed; a.state.MayRefuse() {
					a.client = clientRefused
				}
				if a.connection >= 0 && a.state.current.Phase >= WriteBegun {
					m.on(w, i, Canceled)
				}
			})
			harm(func(w *world) {
				a := &w.requests[i]
				a.state, a.client = a.state.Settle(), clientGone
				if a.connection >= 0 && a.state.current.Phase >= WriteBegun {
					m.on(w, i, Canceled)
				}
			})
		}
		if a.connection < 0 {
			continue
		}
		if a.state.current.Phase == Open { // the connection's side of it doesn't know yet whether the answer is given
			write := func(w *world) bool {
				a, l := &w.requests[i], &w.connections[w.requests[i].connection]
				was := a.state.Settled
				a.state.Settled = was && !m.noSettle
				var ok bool
				a.state, ok = a.state.Apply(WriteStarted)
				if a.state.Settled = was; !ok {
					m.on(w, i, Canceled)
					return false
				}
				l.sentAttempts |= 1 << i
				a.stale = a.stale || a.passed // only its end goes out
				return true
			}
			put := func(w *world, part bool) {
				l := &w.connections[w.requests[i].connection]
				if l.wire >= 0 && l.part {
					m.broken("UNASKED: request %d goes on as the end of another", i)
				}
				if l.wire < 0 {
					l.wire, l.part = i, part
				}
			}
			coming := m.streams && a.client == clientSending
			if !coming {
				calm(func(w *world) {
					if write(w) {
						put(w, false)
						m.on(w, i, WroteAll)
					}
				})
			}
			more := harm // a long body stands still, as its host doesn't read on
			if coming {
				more = calm
			}
			more(func(w *world) {
				if write(w) {
					put(w, true)
					w.requests[i].passed = m.streams
					m.on(w, i, WrotePart)
				}
			})
			harm(func(w *world) {
				if write(w) {
					m.on(w, i, WroteNone)
				}
			})
			for _, all := range []bool{false, true} { // some bytes are known to have gone; all may have
				if all && coming {
					break
				}
				harm(func(w *world) {
					if write(w) {
						put(w, !all)
						w.requests[i].passed = m.streams
						m.on(w, i, WrotePart)
						c := w.requests[i].connection
						m.on(w, i, ConnectionReset)
						w.connections[c].open = m.keepPart
					}
				})
			}
		}
		if a.state.current.Phase == PartlyWritten && a.client != clientSending {
			calm(func(w *world) { // the rest goes
				l := &w.connections[w.requests[i].connection]
				if l.part = false; l.early {
					l.wire, l.early = -1, false
				}
				m.on(w, i, WroteAll)
			})
		}
		if a.state.current.Phase >= WriteBegun {
			harm(func(w *world) { m.on(w, i, TimedOut) })
		}
		harm(func(w *world) { // reset; what was on its way may be read all the same
			c := a.connection
			w.connections[c].answers = [2]message{noMessage, noMessage}
			m.on(w, i, ConnectionReset)
			w.connections[c].open = false
		})
	}
	for c, l := range w.connections {
		if l.answers[0] != noMessage && l.open {
			calm(func(w *world) {
				l := &w.connections[c]
				x := l.answers[0]
				l.answers = [2]message{l.answers[1], noMessage}
				if l.request < 0 { // unasked
					l.open = false
					return
				}
				i := l.request
				e, err := m.judge(w, i, x)
				if before := w.requests[i].state.current.Phase < WriteBegun; before || err != nil {
					m.on(w, i, e)
					l.open = false
					return
				}
				m.on(w, i, e)
				a := &w.requests[i]
				if e != Answered || a.client != clientWaiting && a.client != clientSending {
					return
				}
				if x.of != i || a.runs == 0 || x.kind != Answered {
					m.broken("MIXED: request %d got what is %v of request %d", i, x.kind, x.of)
				}
				a.state, a.client = a.state.Settle(), clientSucceeded
			})
		}
		if l.wire >= 0 {
			if l.part && !l.early { // the host answers though the rest is still to come
				for _, kind := range []Event{Answered, TurnedAway} {
					harm(func(w *world) {
						if kind == Answered {
							w.requests[l.wire].runs++
							w.requests[l.wire].early++
						}
						*w, _ = m.say(*w, c, message{l.wire, kind})
						w.connections[c].early = true
					})
				}
			}
			if !l.part && l.working < 0 {
				calm(func(w *world) { w.connections[c].working, w.connections[c].wire = l.wire, -1 })
			}
			if !l.open {
				calm(func(w *world) { w.connections[c].wire, w.connections[c].early = -1, false }) // lost with the connection
			}
		}
		if l.working >= 0 {
			for _, kind := range []Event{Answered, TurnedAway, Misdirected, Truncated, UnexpectedBytes} {
				do := calm
				if kind >= Truncated {
					do = harm
				}
				do(func(w *world) {
					l := &w.connections[c]
					if kind == Answered || kind >= Truncated {
						w.requests[l.working].runs++
					}
					*w, _ = m.say(*w, c, message{l.working, kind})
					w.connections[c].working = -1
				})
			}
			harm(func(w *world) { // it runs and says nothing
				w.requests[l.working].runs++
				w.connections[c].working = -1
			})
			if !l.open {
				calm(func(w *world) { w.connections[c].working = -1 }) // dropped
			}
		}
		if l.lastAnswer != noMessage { // once more
			harm(func(w *world) { *w, _ = m.say(*w, c, l.lastAnswer) })
		}
	}
}

// explore plays all histories, or until enough says so.
func explore(m mutation, harms, attempts int, enough func(*model) bool) *model {
	x := &model{mutation: m, attempts: uint8(attempts), visited: map[world]bool{}, violations: map[string]bool{}, ends: map[clientState]map[bool]int{}}
	for s := clientSending; s <= clientFailed; s++ {
		x.ends[s] = map[bool]int{}
	}
	w := world{faultsLeft: uint8(harms)}
	for i := range w.requests {
		w.requests[i].connection = -1
	}
	for c := range w.connections {
		w.connections[c] = connection{request: -1, wire: -1, working: -1, answers: [2]message{noMessage, noMessage}, lastAnswer: noMessage}
	}
	x.reach(w)
	for len(x.queue) > 0 && !enough(x) {
		w := x.queue[len(x.queue)-1]
		x.queue = x.queue[:len(x.queue)-1]
		x.step(w)
	}
	return x
}

// Every history of the model keeps the rules; -args -harms 4 -tries 3 plays those with four harms and three attempts.
func TestModel(t *testing.T) {
	for _, streams := range []bool{false, true} {
		t.Run(map[bool]string{false: "read before they are sent", true: "passed on as they come"}[streams], func(t *testing.T) { assertNoViolations(t, streams) })
	}
}

func assertNoViolations(t *testing.T, streams bool) {
	harms := *faultKinds
	if streams { // has more to go wrong
		harms--
	}
	m := explore(mutation{streams: streams}, harms, *attemptLimits, func(*model) bool { return false })
	t.Logf("%d states, %d steps, %d harms, %d attempts; ended, by whether they ran: %v", len(m.visited), m.steps, harms, *attemptLimits, m.ends)
	for x := range m.violations {
		t.Error(x)
	}
	for s, want := range map[clientState][2]bool{clientGone: {true, true}, clientSucceeded: {false, true}, clientRefused: {true, false}, clientFailed: {true, true}} {
		if got := [2]bool{m.ends[s][false] > 0, m.ends[s][true] > 0}; got != want { // it is no model of a router that never sends, or never refuses
			t.Errorf("ended %d, not run and run: %v", s, got)
		}
	}
}

// With a part of the machine taken out the model finds what that part is for.
func TestModelFindsFaults(t *testing.T) {
	for name, x := range map[string]struct {
		m     mutation
		finds []string
	}{
		"no look at the id":                       {mutation{noID: true}, []string{"MIXED", "TWICE", "REFUSED"}},
		"Request-Not-Run before the id":           {mutation{notRunFirst: true}, []string{"TWICE", "REFUSED"}},
		"no 'may have run'":                       {mutation{noMayHaveRun: true}, []string{"TWICE", "REFUSED"}},
		"a request twice on one connection":       {mutation{noSpent: true}, []string{"TWICE", "REFUSED"}},
		"written after the final answer":          {mutation{noSettle: true}, []string{"REFUSED"}},
		"a connection kept after half a request":  {mutation{keepPart: true}, []string{"UNASKED"}},
		"sent before it is read completely":       {mutation{sendEarly: true}, []string{"UNASKED"}},
		"a connection kept after an early answer": {mutation{keepEarly: true}, []string{"UNASKED"}},
		"the same, and bodies are passed on":      {mutation{streams: true, keepEarly: true}, []string{"UNASKED"}},
		"a body that ends early looks complete":   {mutation{streams: true, endsComplete: true}, []string{"UNASKED"}},
		"a body that is gone is sent again":       {mutation{streams: true, resends: true}, []string{"UNASKED"}},
		"passed on without 'may have run'":        {mutation{streams: true, noMayHaveRun: true}, []string{"REFUSED"}},
	} {
		found := func(m *model, rule string) bool {
			for w := range m.violations {
				if strings.HasPrefix(w, rule) {
					return true
				}
			}
			return false
		}
		m := explore(x.m, 2, 3, func(m *model) bool {
			return !slices.ContainsFunc(x.finds, func(rule string) bool { return !found(m, rule) })
		})
		for _, rule := range x.finds {
			if !found(m, rule) {
				t.Errorf("%s: no %s in %d states", name, rule, len(m.visited))
			}
		}
		t.Logf("%s: %d states, %v", name, len(m.visited), m.violations)
	}
}
