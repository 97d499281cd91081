package consensus

import (
	"fmt"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

// call is a request of a client to a process: an operation or a read.
type call struct {
	tag         uint64
	operation   *operation.Operation // nil for a read
	copies      *operationCopies     // nil for a read
	machine     *machine
	incarnation int
	startedAt   int64
	minIndex    uint64 // the highest index in any answer before the call began; a read must not return less
	done        bool   // answered, or the process has ended
	endedAt     int64
	result      Result
}

// operationCopies is an operation with all calls that submitted it.
type operationCopies struct {
	number    int // identifies the operation in logs and in the bodies of its items
	operation operation.Operation
	calls     []*call
}

func item(kind, name string, version uint64, body string) config.Item {
	return config.Item{Kind: kind, Name: name, Version: version, Body: []byte(body)}
}

// randomRoute returns a route whose body no other operation has.
func (sim *simulation) randomRoute(operationNumber, itemIndex int, name string, version uint64) config.Item {
	service := "desk"
	if sim.rand.IntN(40) == 0 {
		service = "nowhere"
	}
	return item(config.KindRoutes, name, version, fmt.Sprintf(`{"home-regions":["g%d.%d"],"host-name":"%s.example","name":"%s","path-prefix":"/","route-kind":"safe_method","service":"%s","timeout-s":1}`, operationNumber, itemIndex, name, name, service))
}

// deskOperation returns an operation that sets "desk", the service used by the routes.
func deskOperation() operation.Operation {
	return operation.Operation{Kind: operation.ModifyConfig, Items: []config.Item{item(config.KindServices, "desk", 1, `{"health-path":"/","name":"desk"}`)}}
}

// randomMachine returns a random running machine, or nil if there is none.
func (sim *simulation) randomMachine() *machine {
	up := slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return !m.up })
	if len(up) == 0 {
		return nil
	}
	return up[sim.rand.IntN(len(up))]
}

func (sim *simulation) randomOperation() *operationCopies {
	copies := &operationCopies{number: len(sim.operations)}
	switch at := sim.rand.IntN(20); {
	case at < 15:
		copies.operation.Kind = operation.ModifyConfig
		names := sim.rand.Perm(5)[:1+sim.rand.IntN(3)]
		if sim.rand.IntN(5) > 1 {
			sim.version++
		}
		for n, x := range names {
			i := sim.randomRoute(copies.number, n, fmt.Sprintf("r%d", x), sim.version-uint64(min(sim.rand.IntN(8), 1)))
			if sim.rand.IntN(10) == 0 {
				i.Deleted, i.Body = true, nil
			}
			copies.operation.Items = append(copies.operation.Items, i)
		}
	case at < 17:
		copies.operation = operation.Operation{Kind: operation.Evacuate, Name: fmt.Sprintf("z%d", sim.rand.IntN(3)), Active: sim.rand.IntN(2) == 0}
	default:
		copies.operation = operation.Operation{Kind: operation.BeginRollout, Name: "desk", TargetVersion: fmt.Sprintf("v%d", copies.number), Duration: 10 * second, RetryWindow: 10 * second, SubmittedAt: sim.now}
		if sim.rand.IntN(3) == 0 && len(sim.states) > 0 {
			copies.operation = operation.Operation{Kind: operation.EndRollout, Name: "desk", Expected: sim.rolloutNumber(), Outcome: 2, SubmittedAt: sim.now}
		}
	}
	return copies
}

// rolloutNumber returns the number of the latest rollout of "desk".
func (sim *simulation) rolloutNumber() uint64 {
	return sim.states[len(sim.states)-1].items[config.Key{Kind: config.KindRollouts, Name: "desk"}].Version / 2
}

// call has a client submit an operation to a process, or start a read if copies is nil.
func (sim *simulation) call(m *machine, copies *operationCopies) *call {
	sim.tags++
	c := &call{tag: sim.tags, copies: copies, machine: m, incarnation: m.incarnation, startedAt: sim.now, minIndex: sim.confirmedIndex}
	if copies != nil {
		c.operation = &copies.operation
		copies.calls = append(copies.calls, c)
	}
	m.calls[c.tag] = c
	if sim.log("%.3f %s receives call %d", float64(sim.now)/1e9, m.ip, c.tag); copies != nil {
		sim.log("  operation %d %v", copies.number, copies.operation)
		for _, i := range copies.operation.Items {
			sim.log("    %s", describeItem(i))
		}
	}
	incarnation := m.incarnation
	if sim.mutation.localReads && copies == nil {
		sim.runOn(m, incarnation, func() {
			r := Result{Index: m.node.Applied()}
			if r.Index == 0 {
				r.Kind = apierror.Unavailable
			}
			sim.handleAnswer(m, Answer{c.tag, r})
		})
		return c
	}
	sim.runOn(m, incarnation, func() {
		submittedAt := sim.now
		if copies == nil {
			sim.step(m, Event{Read: true, Tag: c.tag})
		} else {
			o := copies.operation
			sim.step(m, Event{Operation: &o, Tag: c.tag})
		}
		sim.after(requestTimeout+600*ms, func() {
			if !c.done && m.frozenAt < submittedAt {
				sim.failLiveness("%s has not answered call %d after %.1f s", m.ip, c.tag, float64(sim.now-submittedAt)/1e9)
			}
		})
	})
	return c
}

// handleAnswer records an answer to a client and checks it.
func (sim *simulation) handleAnswer(m *machine, a Answer) {
	c := m.calls[a.Tag]
	if c == nil && a.Tag > 1<<32 {
		sim.nonfatalViolations["a process answers an internal call"]++
		return
	}
	if c == nil || c.done {
		sim.fail("%s answers a call that is not pending: %v", m.ip, a)
	}
	c.done, c.result, c.endedAt = true, a.Result, sim.now
	delete(m.calls, a.Tag)
	sim.log("%.3f %s answers %d: %v", float64(sim.now)/1e9, m.ip, a.Tag, a.Result)
	switch a.Result.Kind {
	case apierror.None:
		if a.Result.Index > m.node.Applied() && c.operation == nil {
			sim.fail("%s answers a read with index %d, but has applied %d", m.ip, a.Result.Index, m.node.Applied())
		}
		if a.Result.Index == 0 || a.Result.Index > uint64(len(sim.states)) {
			sim.fail("%s answers call %d with index %d, want 1 to %d", m.ip, a.Tag, a.Result.Index, len(sim.states))
		}
		if c.operation == nil {
			sim.tally["reads"]++
			if a.Result.Index < c.minIndex {
				sim.fail("%s answers a read that began at %.3f s with index %d, though an earlier answer had index %d", m.ip, float64(c.startedAt)/1e9, a.Result.Index, c.minIndex)
			}
		} else {
			sim.tally["confirmed"]++
			sim.checkConfirmed(c)
		}
		sim.confirmedIndex = max(sim.confirmedIndex, a.Result.Index)
	case apierror.Conflict:
		sim.tally["conflicts"]++
	case apierror.InProgress:
		sim.tally["underWay"]++
	case apierror.Invalid:
		sim.tally["invalid"]++
	case apierror.Unavailable:
		sim.tally["unready"]++
	default:
		sim.fail("%s answers call %d with an unexpected result: %v", m.ip, a.Tag, a.Result)
	}
}

// submitRepeatedly submits an operation to a random process, and retries while it is unanswered or unavailable. times is the maximum
// number of attempts.
func (sim *simulation) submitRepeatedly(copies *operationCopies, times int) {
	m := sim.randomMachine()
	if m == nil || times == 0 {
		return
	}
	c := sim.call(m, copies)
	sim.after(3500*ms, func() {
		if !c.done || c.result.Kind == apierror.Unavailable {
			sim.submitRepeatedly(copies, times-1)
		}
	})
}

// randomCalls makes one to three calls at random processes.
func (sim *simulation) randomCalls() {
	m := sim.randomMachine()
	if m == nil {
		return
	}
	switch at := sim.rand.IntN(10); {
	case at < 3:
		sim.call(m, nil)
	case at < 5 && len(sim.operations) > 3: // an earlier operation again
		sim.call(m, sim.operations[len(sim.operations)-1-sim.rand.IntN(min(len(sim.operations), 30))])
	default:
		copies := sim.randomOperation()
		sim.operations = append(sim.operations, copies)
		sim.submitRepeatedly(copies, 1+sim.rand.IntN(3))
		if sim.rand.IntN(4) == 0 { // the same operation at another process
			sim.call(sim.randomMachine(), copies)
		}
		if sim.rand.IntN(4) == 0 { // a concurrent operation
			rival := sim.randomOperation()
			sim.operations = append(sim.operations, rival)
			sim.call(sim.randomMachine(), rival)
		}
	}
}
