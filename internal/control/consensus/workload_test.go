package consensus

import (
	"fmt"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

type call struct {
	tag         uint64
	operation   *operation.Operation // nil for a read
	copies      *operationCopies
	machine     *machine
	incarnation int
	startedAt   int64
	minIndex    uint64 // a read: the highest number that had been told to anybody before
	done        bool
	endedAt     int64
	result      Result
}

// operationCopies are the copies of one order.
type operationCopies struct {
	number    int
	operation operation.Operation
	calls     []*call
}

func item(kind, name string, version uint64, body string) config.Item {
	return config.Item{Kind: kind, Name: name, Version: version, Body: []byte(body)}
}

// randomRoute is one whose content nobody else sends.
func (sim *simulation) randomRoute(g, n int, name string, version uint64) config.Item {
	service := "desk"
	if sim.rand.IntN(40) == 0 {
		service = "nowhere"
	}
	return item(config.KindRoutes, name, version, fmt.Sprintf(`{"home-regions":["g%d.%d"],"host-name":"%s.example","name":"%s","path-prefix":"/","route-kind":"safe_method","service":"%s","timeout-s":1}`, g, n, name, name, service))
}

func deskOperation() operation.Operation {
	return operation.Operation{Kind: operation.ModifyConfig, Items: []config.Item{item(config.KindServices, "desk", 1, `{"health-path":"/","name":"desk"}`)}}
}

// randomMachine is a process that runs; with calm, one that isn't frozen.
func (sim *simulation) randomMachine() *machine {
	up := slices.DeleteFunc(slices.Clone(sim.machines), func(m *machine) bool { return !m.up })
	if len(up) == 0 {
		return nil
	}
	return up[sim.rand.IntN(len(up))]
}

// randomOperation makes a new order.
func (sim *simulation) randomOperation() *operationCopies {
	g := &operationCopies{number: len(sim.operations)}
	switch at := sim.rand.IntN(20); {
	case at < 15:
		g.operation.Kind = operation.ModifyConfig
		names := sim.rand.Perm(5)[:1+sim.rand.IntN(3)]
		if sim.rand.IntN(5) > 1 {
			sim.version++
		}
		for n, x := range names {
			i := sim.randomRoute(g.number, n, fmt.Sprintf("r%d", x), sim.version-uint64(min(sim.rand.IntN(8), 1)))
			if sim.rand.IntN(10) == 0 {
				i.Deleted, i.Body = true, nil
			}
			g.operation.Items = append(g.operation.Items, i)
		}
	case at < 17:
		g.operation = operation.Operation{Kind: operation.Evacuate, Name: fmt.Sprintf("z%d", sim.rand.IntN(3)), Active: sim.rand.IntN(2) == 0}
	default:
		g.operation = operation.Operation{Kind: operation.BeginRollout, Name: "desk", TargetVersion: fmt.Sprintf("v%d", g.number), Duration: 10 * second, RetryWindow: 10 * second, SubmittedAt: sim.now}
		if sim.rand.IntN(3) == 0 && len(sim.states) > 0 {
			g.operation = operation.Operation{Kind: operation.EndRollout, Name: "desk", Expected: sim.rolloutNumber(), Outcome: 2, SubmittedAt: sim.now}
		}
	}
	return g
}

func (sim *simulation) rolloutNumber() uint64 {
	return sim.states[len(sim.states)-1].items[config.Key{Kind: config.KindRollouts, Name: "desk"}].Version / 2
}

// sendsOrder has a caller send an order to a process, or ask it for the set.
func (sim *simulation) call(m *machine, g *operationCopies) *call {
	sim.tags++
	c := &call{tag: sim.tags, copies: g, machine: m, incarnation: m.incarnation, startedAt: sim.now, minIndex: sim.confirmedIndex}
	if g != nil {
		c.operation = &g.operation
		g.calls = append(g.calls, c)
	}
	m.calls[c.tag] = c
	if sim.log("%.3f %s is asked %d", float64(sim.now)/1e9, m.ip, c.tag); g != nil {
		sim.log("  order %d %v", g.number, g.operation)
		for _, i := range g.operation.Items {
			sim.log("    %s", describeItem(i))
		}
	}
	life := m.incarnation
	if sim.mutation.localReads && g == nil {
		sim.runOn(m, life, func() {
			r := Result{Index: m.node.Applied()}
			if r.Index == 0 {
				r.Kind = apierror.Unavailable
			}
			sim.handleAnswer(m, Answer{c.tag, r})
		})
		return c
	}
	sim.runOn(m, life, func() {
		asked := sim.now
		if g == nil {
			sim.step(m, Event{Read: true, Tag: c.tag})
		} else {
			o := g.operation
			sim.step(m, Event{Operation: &o, Tag: c.tag})
		}
		sim.after(requestTimeout+600*ms, func() {
			if !c.done && m.frozenAt < asked {
				sim.failLiveness("%s has held call %d for %.1f s", m.ip, c.tag, float64(sim.now-asked)/1e9)
			}
		})
	})
	return c
}

// handleAnswer is what a caller hears.
func (sim *simulation) handleAnswer(m *machine, a Answer) {
	c := m.calls[a.Tag]
	if c == nil && a.Tag > 1<<32 {
		sim.softFaults["a process answers a call of its own"]++
		return
	}
	if c == nil || c.done {
		sim.fail("%s answers a call that isn't there: %v", m.ip, a)
	}
	c.done, c.result, c.endedAt = true, a.Result, sim.now
	delete(m.calls, a.Tag)
	sim.log("%.3f %s answers %d: %v", float64(sim.now)/1e9, m.ip, a.Tag, a.Result)
	switch a.Result.Kind {
	case apierror.None:
		if a.Result.Index > m.node.Applied() && c.operation == nil {
			sim.fail("%s answers a read with %d, and has %d", m.ip, a.Result.Index, m.node.Applied())
		}
		if a.Result.Index == 0 || a.Result.Index > uint64(len(sim.states)) {
			sim.fail("%s answers call %d with number %d of %d", m.ip, a.Tag, a.Result.Index, len(sim.states))
		}
		if c.operation == nil {
			sim.tally["reads"]++
			if a.Result.Index < c.minIndex {
				sim.fail("%s answers a read that began at %.3f s with number %d, and %d had been told to somebody by then", m.ip, float64(c.startedAt)/1e9, a.Result.Index, c.minIndex)
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
		sim.fail("%s answers call %d with %v", m.ip, a.Tag, a.Result)
	}
}

// submitRepeatedly sends an order, and once more as long as it isn't confirmed.
func (sim *simulation) submitRepeatedly(g *operationCopies, times int) {
	m := sim.randomMachine()
	if m == nil || times == 0 {
		return
	}
	c := sim.call(m, g)
	sim.after(3500*ms, func() {
		if !c.done || c.result.Kind == apierror.Unavailable {
			sim.submitRepeatedly(g, times-1)
		}
	})
}

// randomCalls is one call of operators, or some at once.
func (sim *simulation) randomCalls() {
	m := sim.randomMachine()
	if m == nil {
		return
	}
	switch at := sim.rand.IntN(10); {
	case at < 3:
		sim.call(m, nil)
	case at < 5 && len(sim.operations) > 3: // one of before, once more
		sim.call(m, sim.operations[len(sim.operations)-1-sim.rand.IntN(min(len(sim.operations), 30))])
	default:
		g := sim.randomOperation()
		sim.operations = append(sim.operations, g)
		sim.submitRepeatedly(g, 1+sim.rand.IntN(3))
		if sim.rand.IntN(4) == 0 { // also elsewhere, at once
			sim.call(sim.randomMachine(), g)
		}
		if sim.rand.IntN(4) == 0 { // a rival
			r := sim.randomOperation()
			sim.operations = append(sim.operations, r)
			sim.call(sim.randomMachine(), r)
		}
	}
}
