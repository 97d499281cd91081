package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/samber/lo"
)

// earliestEnd returns the earliest time at which a rollout that began at from or later can have ended: when proxies next voted, or
// 2 s before its duration expires.
func (rc *recorder) earliestEnd(from int64) int64 {
	end := from + (rolloutSeconds-2)*int64(time.Second)
	for _, at := range rc.votedAt {
		if at >= from {
			end = min(end, at)
		}
	}
	return end
}

// configOps returns the configuration calls as operations of the model. Because versions never decrease, reads narrow the interval in
// which a change that wasn't rejected can have come into force: not after the end of the first read that saw it, and not before the
// start of the last read that saw a lower version. This reduces the search without changing its result.
func (rc *recorder) configOps() (ops []porcupine.Operation) {
	add := func(op configOp, call, ret int64) {
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: op, Call: call, Return: ret})
	}
	for _, ch := range rc.changes {
		if ch.firstSent == 0 {
			continue
		}
		items := lo.Map(ch.items, func(c content, _ int) content { return rc.contents[c.id] })
		call, ret := ch.firstSent, lo.Ternary(ch.status == 0, never, ch.answeredAt)
		if ch.status == 0 || ch.status == 200 {
			call, ret = rc.narrowInterval(items, call, ret)
		}
		add(configOp{items: items, status: lo.Ternary(ch.status == 200 || ch.status == 409, ch.status, 0), removable: ch.status != 409 && rc.removable(items, ret)}, call, ret)
		for _, a := range ch.repeats {
			if ch.status == 409 && a.status == 200 { // allowed only if all of its items were superseded already
				add(configOp{items: items, status: 200}, a.calledAt, a.returnedAt)
			}
		}
	}
	for _, r := range rc.reads {
		add(configOp{read: true, contents: r.contents}, r.calledAt, r.returnedAt)
	}
	return ops
}

// removable reports whether a change that wasn't rejected can be ordered after all other operations, where no read observes it, and
// is unlikely to be needed earlier: it has no return time, or all its routes were read at later versions before it returned; no read
// saw any of it, it deletes no route, and no conflicting change was rejected.
func (rc *recorder) removable(items []content, ret int64) bool {
	passed := ret == never
	for _, r := range rc.reads {
		over := r.returnedAt < ret
		for _, c := range items {
			if r.contents[c.route] == c.id {
				return false
			}
			over = over && r.contents[c.route] > 0 && r.versions[c.route] > c.version
		}
		passed = passed || over
	}
	return passed && !slices.ContainsFunc(items, func(c content) bool {
		return c.prefix == "" || c.conflict >= 0 && slices.ContainsFunc(rc.changes, func(o *change) bool {
			return o.status == 409 && slices.ContainsFunc(o.items, func(x content) bool { return rc.contents[x.id].conflict == c.conflict })
		})
	})
}

// narrowInterval narrows the interval between the call and the return of a change to the interval in which it can have come into
// force, given what reads saw.
func (rc *recorder) narrowInterval(items []content, call, ret int64) (from, by int64) {
	from, by = call, ret
	for _, r := range rc.reads {
		for _, c := range items {
			switch id := r.contents[c.route]; {
			case id == c.id && c.prefix != "":
				by = min(by, r.returnedAt)
			case id > 0 && r.versions[c.route] < c.version:
				from = max(from, r.calledAt)
			}
		}
	}
	if from > by { // not linearizable: keep the original interval for the report
		return call, ret
	}
	return from, by
}

func (rc *recorder) timedOperations(all []timedCall) (ops []porcupine.Operation) {
	for _, t := range all {
		ret := t.returnedAt
		if ret == never && t.calledAt < rc.settledAt { // an unanswered call has taken effect by then, or never will
			ret = rc.settledAt
		}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: t.op, Call: t.calledAt, Return: ret})
	}
	return ops
}

// checkLinearizable checks operations against a model, first without the removable ones: a valid order of the others can be extended
// by them. If there is none, it searches for an order of all operations.
func (rc *recorder) checkLinearizable(label string, model porcupine.Model, ops []porcupine.Operation) {
	required := slices.DeleteFunc(slices.Clone(ops), func(o porcupine.Operation) bool {
		op, isConfig := o.Input.(configOp)
		return isConfig && op.removable
	})
	if len(required) < len(ops) {
		if ok, _ := findOrder(model, required); ok {
			return
		}
	}
	switch ok, steps := findOrder(model, ops); {
	case ok:
	case steps >= maxSteps:
		rc.violation("not checked: "+label, "%d calls, in %d steps", len(ops), steps)
	default:
		rc.violation("not linearizable: "+label, "%d calls", len(ops))
	}
	if *printHistory {
		rc.printOperations(label, ops)
	}
}

// findOrder reports whether the operations are linearizable, and the number of model steps that the search took. It gives up after
// maxSteps.
func findOrder(m porcupine.Model, ops []porcupine.Operation) (ok bool, steps int64) {
	var n atomic.Int64
	step := m.Step
	m.Step = func(state, input, output any) (bool, any) {
		if n.Add(1) > maxSteps {
			return false, state
		}
		return step(state, input, output)
	}
	ok = porcupine.CheckOperations(m, ops)
	return ok, n.Load()
}

// printOperations prints operations in the order of their call times, with times in milliseconds since the first call.
func (rc *recorder) printOperations(label string, ops []porcupine.Operation) {
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	fmt.Println(label, rc.seed)
	for _, op := range ops {
		ret := "open"
		if op.Return < never {
			ret = fmt.Sprint((op.Return - ops[0].Call) / 1e6)
		}
		fmt.Printf("%d-%s %+v\n", (op.Call-ops[0].Call)/1e6, ret, op.Input)
	}
}
