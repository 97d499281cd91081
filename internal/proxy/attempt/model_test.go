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

// The model checker explores every interleaving of two clients, each with one request that may run at most once, a proxy with two
// connections, and a host, with a bounded number of faults. The proxy's decisions are those of this package.

type message struct {
	forRequest int8 // index of the request, -1 for none
	kind       Event
}

var noMessage = message{forRequest: -1}

type connection struct {
	open         bool // as the proxy sees it
	request      int8
	inTransit    int8 // the request on its way to the host, -1 for none
	partial      bool // only the beginning of inTransit was written
	early        bool // the host answered inTransit before it had all of it, and keeps reading
	processing   int8 // the request that the host is processing, -1 for none
	answers      [2]message
	lastAnswer   message // the last one that the host sent
	sentRequests uint8   // bit set of the requests that the proxy wrote on it
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
	early          uint8 // runs of a request that the host had only in part
	streamed       bool  // its body was streamed to a host, so the proxy can't send it again
	bodyIncomplete bool  // the proxy has only part of the request to send
}

type modelState struct {
	requests    [2]modelRequest
	connections [2]connection
	faultsLeft  uint8
}

// mutation disables checks of the proxy, to show that the model finds the resulting faults.
type mutation struct {
	noID, notRunFirst, noMayHaveRun, reuseConnection, writeAfterSettle, keepAfterPartialWrite, sendBeforeRead, keepAfterEarlyAnswer bool
	// Bodies are forwarded while they are read; a mode, not a fault.
	streaming bool
	// Faults that need streaming.
	truncatedLooksComplete, resendStreamed bool
}

type model struct {
	mutation
	attempts   uint8
	visited    map[modelState]bool
	queue      []modelState
	steps      int
	violations map[string]bool
	outcomes   map[clientState]map[bool]int // number of states, by the state of a client and whether its request ran
}

func (m *model) fail(format string, args ...any) { m.violations[fmt.Sprintf(format, args...)] = true }

// visit checks the invariants in a state and queues it if it is new.
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
			m.fail("UNASKED: request %d ran, but was only partly read", i)
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

// applyEvent applies an event to a request's attempt. When the attempt ends, its connection is released or closed.
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
	return Truncated, io.ErrUnexpectedEOF // found when the body is read
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
			if a.connection < 0 { // pick a connection for the waiting attempt, or for a new one
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
			normal(func(w *modelState) { // the proxy gives the final response and cancels the attempt in flight
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
		if a.state.current.Phase == Open { // the connection may not know yet that the final response was given
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
				a.bodyIncomplete = a.bodyIncomplete || a.streamed // only the rest of a streamed body can be sent
				return true
			}
			transmit := func(w *modelState, partial bool) {
				l := &w.connections[w.requests[i].connection]
				if l.inTransit >= 0 && l.partial {
					m.fail("UNASKED: request %d is written as the rest of another request", i)
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
			partialWrite := fault // the host stops reading a long body
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
			for _, all := range []bool{false, true} { // the host received part of the request, or all of it
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
			normal(func(w *modelState) { // the rest of the request is written
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
		fault(func(w *modelState) { // reset; the host may still read what is in transit
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
				if l.request < 0 { // unsolicited answer
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
			if l.partial && !l.early { // the host answers before it has the entire request
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
			fault(func(w *modelState) { // the host runs the request and doesn't answer
				w.requests[l.processing].runs++
				w.connections[c].processing = -1
			})
			if !l.open {
				normal(func(w *modelState) { w.connections[c].processing = -1 }) // the host drops it
			}
		}
		if l.lastAnswer != noMessage { // the host sends its last answer again
			fault(func(w *modelState) { *w, _ = m.sendAnswer(*w, c, l.lastAnswer) })
		}
	}
}

// explore visits all reachable states, or stops early when done returns true.
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

// Checks the invariants in every reachable state: no request runs twice, runs after it was refused or runs when only partly read, and
// no client gets another request's answer. Use -args -harms 4 -tries 3 for four faults and three attempts.
func TestModel(t *testing.T) {
	for _, streaming := range []bool{false, true} {
		t.Run(map[bool]string{false: "buffered bodies", true: "streamed bodies"}[streaming], func(t *testing.T) { assertNoViolations(t, streaming) })
	}
}

func assertNoViolations(t *testing.T, streaming bool) {
	faults := *maxFaults
	if streaming { // more states
		faults--
	}
	m := explore(mutation{streaming: streaming}, faults, *maxAttempts, func(*model) bool { return false })
	t.Logf("%d states, %d steps, %d faults, %d attempts; states by client state and whether the request ran: %v", len(m.visited), m.steps, faults, *maxAttempts, m.outcomes)
	for x := range m.violations {
		t.Error(x)
	}
	for s, want := range map[clientState][2]bool{clientDisconnected: {true, true}, clientSucceeded: {false, true}, clientRefused: {true, false}, clientFailed: {true, true}} {
		if got := [2]bool{m.outcomes[s][false] > 0, m.outcomes[s][true] > 0}; got != want { // guards against a model that never sends or never refuses
			t.Errorf("client state %d reached with the request not run and run: %v", s, got)
		}
	}
}

// The model must find the violations that each mutation makes possible.
func TestModelFindsFaults(t *testing.T) {
	for name, x := range map[string]struct {
		m     mutation
		finds []string
	}{
		"ID not checked":                       {mutation{noID: true}, []string{"MIXED", "TWICE", "REFUSED"}},
		"Request-Not-Run before ID":            {mutation{notRunFirst: true}, []string{"TWICE", "REFUSED"}},
		"may have run as not run":              {mutation{noMayHaveRun: true}, []string{"TWICE", "REFUSED"}},
		"same request twice on one connection": {mutation{reuseConnection: true}, []string{"TWICE", "REFUSED"}},
		"write after the final response":       {mutation{writeAfterSettle: true}, []string{"REFUSED"}},
		"connection kept after partial write":  {mutation{keepAfterPartialWrite: true}, []string{"UNASKED"}},
		"sent before completely read":          {mutation{sendBeforeRead: true}, []string{"UNASKED"}},
		"connection kept after early answer":   {mutation{keepAfterEarlyAnswer: true}, []string{"UNASKED"}},
		"the same with streaming":              {mutation{streaming: true, keepAfterEarlyAnswer: true}, []string{"UNASKED"}},
		"truncated body looks complete":        {mutation{streaming: true, truncatedLooksComplete: true}, []string{"UNASKED"}},
		"streamed body sent again":             {mutation{streaming: true, resendStreamed: true}, []string{"UNASKED"}},
		"streaming, may have run as not run":   {mutation{streaming: true, noMayHaveRun: true}, []string{"REFUSED"}},
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
				t.Errorf("%s: violation %s not found in %d states", name, rule, len(m.visited))
			}
		}
		t.Logf("%s: %d states, %v", name, len(m.visited), m.violations)
	}
}
