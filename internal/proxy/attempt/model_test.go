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
	maxFaults   = flag.Int("harms", 3, "losses, resets, silences, copies and cancels in one history of the model")
	maxAttempts = flag.Int("tries", 2, "attempts of one request in it")
)

// The model: two clients with a request each that may run once, a router with two connections, and a host, as small machines.
// Every order of their steps is played, with so many harms at most. The router's decisions are the package's own.

type message struct {
	forRequest int8 // request; -1 for none
	kind       Event
}

var noMessage = message{forRequest: -1}

type connection struct {
	open         bool // for the router
	request      int8
	inTransit    int8 // the request on its way to the host
	partial      bool // of which only the beginning was written
	early        bool // the host has answered it all the same, and reads on
	processing   int8 // the request that the host has
	answers      [2]message
	lastAnswer   message // that the host said
	sentRequests uint8   // requests that were written on it, as the router remembers
}

type clientState uint8

const (
	clientSending clientState = iota
	clientWaiting
	clientDisconnected
	clientSucceeded
	clientRefused
	clientFailed
)

type modelRequest struct {
	state          Request
	client         clientState
	connection     int8
	attempts       uint8
	runs           uint8
	early          uint8 // of the runs, those for which a part of it was enough
	streamed       bool  // its body went on as it came: the router doesn't have it any more
	bodyIncomplete bool  // the router has read only a part of it
}

type modelState struct {
	requests    [2]modelRequest
	connections [2]connection
	faultsLeft  uint8
}

// mutation takes a part of the machine out.
type mutation struct {
	noID, notRunFirst, noMayHaveRun, reuseConnection, writeAfterSettle, keepAfterPartialWrite, sendBeforeRead, keepAfterEarlyAnswer bool
	streaming                                                                                                                       bool // no fault: bodies go on as they come
	truncatedLooksComplete, resendStreamed                                                                                          bool // faults of that
}

type model struct {
	mutation
	attempts   uint8
	visited    map[modelState]bool
	queue      []modelState
	steps      int
	violations map[string]bool
	outcomes   map[clientState]map[bool]int // by how a client's request ended, and whether it ran
}

func (m *model) fail(format string, args ...any) { m.violations[fmt.Sprintf(format, args...)] = true }

// visit takes a state that a step leads to.
func (m *model) visit(w modelState) {
	m.steps++
	for i, a := range w.requests {
		if a.runs > 1 {
			m.fail("TWICE: request %d", i)
			return
		}
		if a.runs > 0 && a.client == clientRefused {
			m.fail("REFUSED: request %d", i)
			return
		}
		if a.runs > a.early && a.bodyIncomplete {
			m.fail("UNASKED: request %d, of which a part was read", i)
			return
		}
	}
	if !m.visited[w] {
		for _, a := range w.requests {
			m.outcomes[a.client][a.runs > 0]++
		}
		m.visited[w] = true
		m.queue = append(m.queue, w)
	}
}

// applyEvent tells a request's attempt an event; where the attempt is over its line is free, or closed.
func (m *model) applyEvent(w *modelState, i int8, e Event) {
	a := &w.requests[i]
	complete := a.state.current.Phase == Written || m.keepAfterEarlyAnswer
	a.state, _ = a.state.Apply(e)
	if m.noMayHaveRun && a.state.endedExecution == MayHaveRun {
		a.state.endedExecution = NotRun
	}
	if a.state.inFlight && a.state.current.Phase != Connecting {
		return
	}
	if l := &w.connections[a.connection]; true {
		l.request = -1
		l.open = l.open && (e == Answered || e == RejectedByHost || e == Misdirected) && !a.state.inFlight && complete
	}
	a.connection = -1
}

func (m *model) classify(w *modelState, to int8, x message) (Event, error) {
	id, answerID := fmt.Sprint(to), fmt.Sprint(x.forRequest)
	if m.noID {
		answerID = id
	}
	a := Answer{Status: 200, IDs: []string{answerID}, Sealed: true}
	switch x.kind {
	case RejectedByHost:
		a = Answer{Status: 503, IDs: []string{answerID}, NotRun: true}
	case Misdirected:
		a = Answer{Status: 421, IDs: []string{answerID}}
	case UnexpectedBytes:
		a = Answer{}
	}
	if m.notRunFirst && (x.kind == RejectedByHost || x.kind == Misdirected) {
		return x.kind, nil
	}
	if e, err := Classify(id, a); err != nil || x.kind != Truncated {
		return e, err
	}
	return Truncated, io.ErrUnexpectedEOF // as its body is read
}

func (m *model) sendAnswer(w modelState, c int, x message) (modelState, bool) {
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

func (m *model) step(w modelState) {
	fault := func(do func(w *modelState)) {
		if w.faultsLeft > 0 {
			x := w
			x.faultsLeft--
			do(&x)
			m.visit(x)
		}
	}
	normal := func(do func(w *modelState)) {
		x := w
		do(&x)
		m.visit(x)
	}
	for k := range w.requests {
		i, a := int8(k), w.requests[k]
		if a.client == clientSending {
			normal(func(w *modelState) { w.requests[i].client = clientWaiting })
			fault(func(w *modelState) {
				a := &w.requests[i]
				a.client, a.bodyIncomplete = clientDisconnected, true
				if !m.streaming {
					return
				}
				if a.state = a.state.Settle(); a.connection < 0 || a.state.current.Phase < WriteBegun {
					return
				}
				if l := &w.connections[a.connection]; m.truncatedLooksComplete && l.inTransit == i {
					l.partial = false
				}
				m.applyEvent(w, i, Canceled)
			})
			if !m.sendBeforeRead && !m.streaming {
				continue
			}
		}
		if a.client == clientWaiting || a.client == clientSending {
			if a.connection < 0 { // a connection for the attempt that waits for one, or for another
				for c, l := range w.connections {
					if l.request >= 0 || !l.open && (l.inTransit >= 0 || l.processing >= 0) || l.open && l.sentRequests&(1<<i) != 0 && !m.reuseConnection {
						continue
					}
					normal(func(w *modelState) {
						a := &w.requests[i]
						if !a.state.inFlight {
							if a.attempts >= m.attempts || a.streamed && !m.resendStreamed {
								return
							}
							var ok bool
							if a.state, ok = a.state.Begin(); !ok {
								return
							}
							a.attempts++
						}
						if !l.open {
							w.connections[c] = connection{open: true, inTransit: -1, processing: -1, answers: [2]message{noMessage, noMessage}, lastAnswer: noMessage}
						}
						w.connections[c].request, a.connection = i, int8(c)
						a.state, _ = a.state.Apply(Connected)
					})
				}
			}
			normal(func(w *modelState) { // the final answer: what is under way is called off
				a := &w.requests[i]
				a.state = a.state.Settle()
				if a.client = clientFailed; a.state.MayRefuse() {
					a.client = clientRefused
				}
				if a.connection >= 0 && a.state.current.Phase >= WriteBegun {
					m.applyEvent(w, i, Canceled)
				}
			})
			fault(func(w *modelState) {
				a := &w.requests[i]
				a.state, a.client = a.state.Settle(), clientDisconnected
				if a.connection >= 0 && a.state.current.Phase >= WriteBegun {
					m.applyEvent(w, i, Canceled)
				}
			})
		}
		if a.connection < 0 {
			continue
		}
		if a.state.current.Phase == Open { // the connection's side of it doesn't know yet whether the answer is given
			write := func(w *modelState) bool {
				a, l := &w.requests[i], &w.connections[w.requests[i].connection]
				was := a.state.Settled
				a.state.Settled = was && !m.writeAfterSettle
				var ok bool
				a.state, ok = a.state.Apply(WriteStarted)
				if a.state.Settled = was; !ok {
					m.applyEvent(w, i, Canceled)
					return false
				}
				l.sentRequests |= 1 << i
				a.bodyIncomplete = a.bodyIncomplete || a.streamed // only its end goes out
				return true
			}
			transmit := func(w *modelState, partial bool) {
				l := &w.connections[w.requests[i].connection]
				if l.inTransit >= 0 && l.partial {
					m.fail("UNASKED: request %d goes on as the end of another", i)
				}
				if l.inTransit < 0 {
					l.inTransit, l.partial = i, partial
				}
			}
			uploading := m.streaming && a.client == clientSending
			if !uploading {
				normal(func(w *modelState) {
					if write(w) {
						transmit(w, false)
						m.applyEvent(w, i, WroteAll)
					}
				})
			}
			partialWrite := fault // a long body stands still, as its host doesn't read on
			if uploading {
				partialWrite = normal
			}
			partialWrite(func(w *modelState) {
				if write(w) {
					transmit(w, true)
					w.requests[i].streamed = m.streaming
					m.applyEvent(w, i, WrotePart)
				}
			})
			fault(func(w *modelState) {
				if write(w) {
					m.applyEvent(w, i, WroteNone)
				}
			})
			for _, all := range []bool{false, true} { // some bytes are known to have gone; all may have
				if all && uploading {
					break
				}
				fault(func(w *modelState) {
					if write(w) {
						transmit(w, !all)
						w.requests[i].streamed = m.streaming
						m.applyEvent(w, i, WrotePart)
						c := w.requests[i].connection
						m.applyEvent(w, i, ConnectionReset)
						w.connections[c].open = m.keepAfterPartialWrite
					}
				})
			}
		}
		if a.state.current.Phase == PartlyWritten && a.client != clientSending {
			normal(func(w *modelState) { // the rest goes
				l := &w.connections[w.requests[i].connection]
				if l.partial = false; l.early {
					l.inTransit, l.early = -1, false
				}
				m.applyEvent(w, i, WroteAll)
			})
		}
		if a.state.current.Phase >= WriteBegun {
			fault(func(w *modelState) { m.applyEvent(w, i, TimedOut) })
		}
		fault(func(w *modelState) { // reset; what was on its way may be read all the same
			c := a.connection
			w.connections[c].answers = [2]message{noMessage, noMessage}
			m.applyEvent(w, i, ConnectionReset)
			w.connections[c].open = false
		})
	}
	for c, l := range w.connections {
		if l.answers[0] != noMessage && l.open {
			normal(func(w *modelState) {
				l := &w.connections[c]
				x := l.answers[0]
				l.answers = [2]message{l.answers[1], noMessage}
				if l.request < 0 { // unasked
					l.open = false
					return
				}
				i := l.request
				e, err := m.classify(w, i, x)
				if before := w.requests[i].state.current.Phase < WriteBegun; before || err != nil {
					m.applyEvent(w, i, e)
					l.open = false
					return
				}
				m.applyEvent(w, i, e)
				a := &w.requests[i]
				if e != Answered || a.client != clientWaiting && a.client != clientSending {
					return
				}
				if x.forRequest != i || a.runs == 0 || x.kind != Answered {
					m.fail("MIXED: request %d got what is %v of request %d", i, x.kind, x.forRequest)
				}
				a.state, a.client = a.state.Settle(), clientSucceeded
			})
		}
		if l.inTransit >= 0 {
			if l.partial && !l.early { // the host answers though the rest is still to come
				for _, kind := range []Event{Answered, RejectedByHost} {
					fault(func(w *modelState) {
						if kind == Answered {
							w.requests[l.inTransit].runs++
							w.requests[l.inTransit].early++
						}
						*w, _ = m.sendAnswer(*w, c, message{l.inTransit, kind})
						w.connections[c].early = true
					})
				}
			}
			if !l.partial && l.processing < 0 {
				normal(func(w *modelState) { w.connections[c].processing, w.connections[c].inTransit = l.inTransit, -1 })
			}
			if !l.open {
				normal(func(w *modelState) { w.connections[c].inTransit, w.connections[c].early = -1, false }) // lost with the connection
			}
		}
		if l.processing >= 0 {
			for _, kind := range []Event{Answered, RejectedByHost, Misdirected, Truncated, UnexpectedBytes} {
				do := normal
				if kind >= Truncated {
					do = fault
				}
				do(func(w *modelState) {
					l := &w.connections[c]
					if kind == Answered || kind >= Truncated {
						w.requests[l.processing].runs++
					}
					*w, _ = m.sendAnswer(*w, c, message{l.processing, kind})
					w.connections[c].processing = -1
				})
			}
			fault(func(w *modelState) { // it runs and says nothing
				w.requests[l.processing].runs++
				w.connections[c].processing = -1
			})
			if !l.open {
				normal(func(w *modelState) { w.connections[c].processing = -1 }) // dropped
			}
		}
		if l.lastAnswer != noMessage { // once more
			fault(func(w *modelState) { *w, _ = m.sendAnswer(*w, c, l.lastAnswer) })
		}
	}
}

// explore plays all histories, or until enough says so.
func explore(m mutation, faults, attempts int, done func(*model) bool) *model {
	x := &model{mutation: m, attempts: uint8(attempts), visited: map[modelState]bool{}, violations: map[string]bool{}, outcomes: map[clientState]map[bool]int{}}
	for s := clientSending; s <= clientFailed; s++ {
		x.outcomes[s] = map[bool]int{}
	}
	w := modelState{faultsLeft: uint8(faults)}
	for i := range w.requests {
		w.requests[i].connection = -1
	}
	for c := range w.connections {
		w.connections[c] = connection{request: -1, inTransit: -1, processing: -1, answers: [2]message{noMessage, noMessage}, lastAnswer: noMessage}
	}
	x.visit(w)
	for len(x.queue) > 0 && !done(x) {
		w := x.queue[len(x.queue)-1]
		x.queue = x.queue[:len(x.queue)-1]
		x.step(w)
	}
	return x
}

// Every history of the model keeps the rules; -args -harms 4 -tries 3 plays those with four harms and three attempts.
func TestModel(t *testing.T) {
	for _, streaming := range []bool{false, true} {
		t.Run(map[bool]string{false: "read before they are sent", true: "passed on as they come"}[streaming], func(t *testing.T) { assertNoViolations(t, streaming) })
	}
}

func assertNoViolations(t *testing.T, streaming bool) {
	faults := *maxFaults
	if streaming { // has more to go wrong
		faults--
	}
	m := explore(mutation{streaming: streaming}, faults, *maxAttempts, func(*model) bool { return false })
	t.Logf("%d states, %d steps, %d harms, %d attempts; ended, by whether they ran: %v", len(m.visited), m.steps, faults, *maxAttempts, m.outcomes)
	for x := range m.violations {
		t.Error(x)
	}
	for s, want := range map[clientState][2]bool{clientDisconnected: {true, true}, clientSucceeded: {false, true}, clientRefused: {true, false}, clientFailed: {true, true}} {
		if got := [2]bool{m.outcomes[s][false] > 0, m.outcomes[s][true] > 0}; got != want { // it is no model of a router that never sends, or never refuses
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
		"a request twice on one connection":       {mutation{reuseConnection: true}, []string{"TWICE", "REFUSED"}},
		"written after the final answer":          {mutation{writeAfterSettle: true}, []string{"REFUSED"}},
		"a connection kept after half a request":  {mutation{keepAfterPartialWrite: true}, []string{"UNASKED"}},
		"sent before it is read completely":       {mutation{sendBeforeRead: true}, []string{"UNASKED"}},
		"a connection kept after an early answer": {mutation{keepAfterEarlyAnswer: true}, []string{"UNASKED"}},
		"the same, and bodies are passed on":      {mutation{streaming: true, keepAfterEarlyAnswer: true}, []string{"UNASKED"}},
		"a body that ends early looks complete":   {mutation{streaming: true, truncatedLooksComplete: true}, []string{"UNASKED"}},
		"a body that is gone is sent again":       {mutation{streaming: true, resendStreamed: true}, []string{"UNASKED"}},
		"passed on without 'may have run'":        {mutation{streaming: true, noMayHaveRun: true}, []string{"REFUSED"}},
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
