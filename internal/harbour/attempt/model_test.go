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
	harms = flag.Int("harms", 3, "losses, resets, silences, copies and cancels in one history of the model")
	tries = flag.Int("tries", 2, "attempts of one request in it")
)

// The model: two clients with a request each that may run once, a router with two connections, and a host, as small machines.
// Every order of their steps is played, with so many harms at most. The router's decisions are the package's own.

type message struct {
	of   int8 // request; -1 for none
	kind Event
}

var nothing = message{of: -1}

type line struct {
	up      bool // for the router
	holder  int8
	wire    int8 // the request on its way to the host
	part    bool // of which only the beginning was written
	early   bool // the host has answered it all the same, and reads on
	working int8 // the request that the host has
	back    [2]message
	last    message // that the host said
	had     uint8   // requests that were written on it, as the router remembers
}

type side uint8

const (
	sending side = iota
	waits
	gone
	succeeded
	refused
	failed
)

type asked struct {
	is     Request
	client side
	line   int8
	tries  uint8
	runs   uint8
	early  uint8 // of the runs, those for which a part of it was enough
	passed bool  // its body went on as it came: the router doesn't have it any more
	stale  bool  // the router has read only a part of it
}

type world struct {
	asked [2]asked
	lines [2]line
	harms uint8
}

// mutation takes a part of the machine out.
type mutation struct {
	noID, notRunFirst, noMayHaveRun, noSpent, noSettle, keepPart, sendEarly, keepEarly bool
	streams                                                                            bool // no fault: bodies go on as they come
	endsWhole, resends                                                                 bool // faults of that
}

type model struct {
	mutation
	tries uint8
	seen  map[world]bool
	queue []world
	steps int
	wrong map[string]bool
	ends  map[side]map[bool]int // by how a client's request ended, and whether it ran
}

func (m *model) broken(format string, args ...any) { m.wrong[fmt.Sprintf(format, args...)] = true }

// reach is a state that a step leads to.
func (m *model) reach(w world) {
	m.steps++
	for i, a := range w.asked {
		if a.runs > 1 {
			m.broken("TWICE: request %d", i)
			return
		}
		if a.runs > 0 && a.client == refused {
			m.broken("REFUSED: request %d", i)
			return
		}
		if a.runs > a.early && a.stale {
			m.broken("UNASKED: request %d, of which a part was read", i)
			return
		}
	}
	if !m.seen[w] {
		for _, a := range w.asked {
			m.ends[a.client][a.runs > 0]++
		}
		m.seen[w] = true
		m.queue = append(m.queue, w)
	}
}

// on tells a request's attempt an event; where the attempt is over its line is free, or closed.
func (m *model) on(w *world, i int8, e Event) {
	a := &w.asked[i]
	whole := a.is.now.Phase == Written || m.keepEarly
	a.is, _ = a.is.On(e)
	if m.noMayHaveRun && a.is.past == MayHaveRun {
		a.is.past = NotRun
	}
	if a.is.busy && a.is.now.Phase != Opening {
		return
	}
	if l := &w.lines[a.line]; true {
		l.holder = -1
		l.up = l.up && (e == Answered || e == TurnedAway || e == Misdirected) && !a.is.busy && whole
	}
	a.line = -1
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
	case Extra:
		a = Answer{}
	}
	if m.notRunFirst && (x.kind == TurnedAway || x.kind == Misdirected) {
		return x.kind, nil
	}
	if e, err := Judge(id, a); err != nil || x.kind != Cut {
		return e, err
	}
	return Cut, io.ErrUnexpectedEOF // as its body is read
}

func (m *model) say(w world, c int, x message) (world, bool) {
	l := &w.lines[c]
	l.last = x
	for k := range l.back {
		if l.back[k] == nothing {
			l.back[k] = x
			return w, true
		}
	}
	return w, false
}

func (m *model) step(w world) {
	harm := func(do func(w *world)) {
		if w.harms > 0 {
			x := w
			x.harms--
			do(&x)
			m.reach(x)
		}
	}
	calm := func(do func(w *world)) {
		x := w
		do(&x)
		m.reach(x)
	}
	for k := range w.asked {
		i, a := int8(k), w.asked[k]
		if a.client == sending {
			calm(func(w *world) { w.asked[i].client = waits })
			harm(func(w *world) {
				a := &w.asked[i]
				a.client, a.stale = gone, true
				if !m.streams {
					return
				}
				if a.is = a.is.Settle(); a.line < 0 || a.is.now.Phase < Begun {
					return
				}
				if l := &w.lines[a.line]; m.endsWhole && l.wire == i {
					l.part = false
				}
				m.on(w, i, Cancel)
			})
			if !m.sendEarly && !m.streams {
				continue
			}
		}
		if a.client == waits || a.client == sending {
			if a.line < 0 { // a connection for the attempt that waits for one, or for another
				for c, l := range w.lines {
					if l.holder >= 0 || !l.up && (l.wire >= 0 || l.working >= 0) || l.up && l.had&(1<<i) != 0 && !m.noSpent {
						continue
					}
					calm(func(w *world) {
						a := &w.asked[i]
						if !a.is.busy {
							if a.tries >= m.tries || a.passed && !m.resends {
								return
							}
							var ok bool
							if a.is, ok = a.is.Begin(); !ok {
								return
							}
							a.tries++
						}
						if !l.up {
							w.lines[c] = line{up: true, wire: -1, working: -1, back: [2]message{nothing, nothing}, last: nothing}
						}
						w.lines[c].holder, a.line = i, int8(c)
						a.is, _ = a.is.On(Connected)
					})
				}
			}
			calm(func(w *world) { // the final answer: what is under way is called off
				a := &w.asked[i]
				a.is = a.is.Settle()
				if a.client = failed; a.is.MayRefuse() {
					a.client = refused
				}
				if a.line >= 0 && a.is.now.Phase >= Begun {
					m.on(w, i, Cancel)
				}
			})
			harm(func(w *world) {
				a := &w.asked[i]
				a.is, a.client = a.is.Settle(), gone
				if a.line >= 0 && a.is.now.Phase >= Begun {
					m.on(w, i, Cancel)
				}
			})
		}
		if a.line < 0 {
			continue
		}
		if a.is.now.Phase == Open { // the connection's side of it doesn't know yet whether the answer is given
			write := func(w *world) bool {
				a, l := &w.asked[i], &w.lines[w.asked[i].line]
				was := a.is.Settled
				a.is.Settled = was && !m.noSettle
				var ok bool
				a.is, ok = a.is.On(Writing)
				if a.is.Settled = was; !ok {
					m.on(w, i, Cancel)
					return false
				}
				l.had |= 1 << i
				a.stale = a.stale || a.passed // only its end goes out
				return true
			}
			put := func(w *world, part bool) {
				l := &w.lines[w.asked[i].line]
				if l.wire >= 0 && l.part {
					m.broken("UNASKED: request %d goes on as the end of another", i)
				}
				if l.wire < 0 {
					l.wire, l.part = i, part
				}
			}
			coming := m.streams && a.client == sending
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
					w.asked[i].passed = m.streams
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
						w.asked[i].passed = m.streams
						m.on(w, i, WrotePart)
						c := w.asked[i].line
						m.on(w, i, Reset)
						w.lines[c].up = m.keepPart
					}
				})
			}
		}
		if a.is.now.Phase == Partly && a.client != sending {
			calm(func(w *world) { // the rest goes
				l := &w.lines[w.asked[i].line]
				if l.part = false; l.early {
					l.wire, l.early = -1, false
				}
				m.on(w, i, WroteAll)
			})
		}
		if a.is.now.Phase >= Begun {
			harm(func(w *world) { m.on(w, i, Silence) })
		}
		harm(func(w *world) { // reset; what was on its way may be read all the same
			c := a.line
			w.lines[c].back = [2]message{nothing, nothing}
			m.on(w, i, Reset)
			w.lines[c].up = false
		})
	}
	for c, l := range w.lines {
		if l.back[0] != nothing && l.up {
			calm(func(w *world) {
				l := &w.lines[c]
				x := l.back[0]
				l.back = [2]message{l.back[1], nothing}
				if l.holder < 0 { // unasked
					l.up = false
					return
				}
				i := l.holder
				e, err := m.judge(w, i, x)
				if before := w.asked[i].is.now.Phase < Begun; before || err != nil {
					m.on(w, i, e)
					l.up = false
					return
				}
				m.on(w, i, e)
				a := &w.asked[i]
				if e != Answered || a.client != waits && a.client != sending {
					return
				}
				if x.of != i || a.runs == 0 || x.kind != Answered {
					m.broken("MIXED: request %d got what is %v of request %d", i, x.kind, x.of)
				}
				a.is, a.client = a.is.Settle(), succeeded
			})
		}
		if l.wire >= 0 {
			if l.part && !l.early { // the host answers though the rest is still to come
				for _, kind := range []Event{Answered, TurnedAway} {
					harm(func(w *world) {
						if kind == Answered {
							w.asked[l.wire].runs++
							w.asked[l.wire].early++
						}
						*w, _ = m.say(*w, c, message{l.wire, kind})
						w.lines[c].early = true
					})
				}
			}
			if !l.part && l.working < 0 {
				calm(func(w *world) { w.lines[c].working, w.lines[c].wire = l.wire, -1 })
			}
			if !l.up {
				calm(func(w *world) { w.lines[c].wire, w.lines[c].early = -1, false }) // lost with the connection
			}
		}
		if l.working >= 0 {
			for _, kind := range []Event{Answered, TurnedAway, Misdirected, Cut, Extra} {
				do := calm
				if kind >= Cut {
					do = harm
				}
				do(func(w *world) {
					l := &w.lines[c]
					if kind == Answered || kind >= Cut {
						w.asked[l.working].runs++
					}
					*w, _ = m.say(*w, c, message{l.working, kind})
					w.lines[c].working = -1
				})
			}
			harm(func(w *world) { // it runs and says nothing
				w.asked[l.working].runs++
				w.lines[c].working = -1
			})
			if !l.up {
				calm(func(w *world) { w.lines[c].working = -1 }) // dropped
			}
		}
		if l.last != nothing { // once more
			harm(func(w *world) { *w, _ = m.say(*w, c, l.last) })
		}
	}
}

// explore plays all histories, or until enough says so.
func explore(m mutation, harms, tries int, enough func(*model) bool) *model {
	x := &model{mutation: m, tries: uint8(tries), seen: map[world]bool{}, wrong: map[string]bool{}, ends: map[side]map[bool]int{}}
	for s := sending; s <= failed; s++ {
		x.ends[s] = map[bool]int{}
	}
	w := world{harms: uint8(harms)}
	for i := range w.asked {
		w.asked[i].line = -1
	}
	for c := range w.lines {
		w.lines[c] = line{holder: -1, wire: -1, working: -1, back: [2]message{nothing, nothing}, last: nothing}
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
		t.Run(map[bool]string{false: "held whole", true: "passed on as they come"}[streams], func(t *testing.T) { keepsRules(t, streams) })
	}
}

func keepsRules(t *testing.T, streams bool) {
	harms := *harms
	if streams { // has more to go wrong
		harms--
	}
	m := explore(mutation{streams: streams}, harms, *tries, func(*model) bool { return false })
	t.Logf("%d states, %d steps, %d harms, %d attempts; ended, by whether they ran: %v", len(m.seen), m.steps, harms, *tries, m.ends)
	for x := range m.wrong {
		t.Error(x)
	}
	for s, want := range map[side][2]bool{gone: {true, true}, succeeded: {false, true}, refused: {true, false}, failed: {true, true}} {
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
		"sent before it is read whole":            {mutation{sendEarly: true}, []string{"UNASKED"}},
		"a connection kept after an early answer": {mutation{keepEarly: true}, []string{"UNASKED"}},
		"the same, and bodies are passed on":      {mutation{streams: true, keepEarly: true}, []string{"UNASKED"}},
		"a body that ends early looks whole":      {mutation{streams: true, endsWhole: true}, []string{"UNASKED"}},
		"a body that is gone is sent again":       {mutation{streams: true, resends: true}, []string{"UNASKED"}},
		"passed on without 'may have run'":        {mutation{streams: true, noMayHaveRun: true}, []string{"REFUSED"}},
	} {
		found := func(m *model, rule string) bool {
			for w := range m.wrong {
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
				t.Errorf("%s: no %s in %d states", name, rule, len(m.seen))
			}
		}
		t.Logf("%s: %d states, %v", name, len(m.seen), m.wrong)
	}
}
