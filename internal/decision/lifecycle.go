// The decision module. A front makes one Router an instance with New, tells it what happens and carries out
// the Effects. Every call changes the state, sets what is wanted, and ends in settle, which emits the change.
// The ordinary path is distributed change detection (see docs/design.md): tick, heard, judge.

package decision

import (
	"cmp"
	"maps"
	"math"

	"portflow/internal/pacing"
)

const second = int64(1e9)

func newDecider(s Settings, seed uint64, out Effects) *decider {
	d := emptyDecider(s, seed, out)
	d.retryBudget, d.acceptedSlowdown = bucket{5, 10}, 1 // some further hand-offs at once, for a host that ends
	d.sharedExposure = &bucket{s.TrialBurst, s.TrialBurst}
	for _, b := range s.Classes {
		row := d.newClass(b)
		d.meanLatency += row.latency / float64(len(s.Classes))
		d.classes = append(d.classes, row)
	}
	return d
}

// newClass is a band's place in the table.
func (d *decider) newClass(b RequestClass) *class {
	row := &class{RequestClass: b, exposure: d.sharedExposure, latency: b.InitialLatency()}
	if d.settings.CapPerClass {
		row.exposure = &bucket{d.settings.TrialBurst, d.settings.TrialBurst}
	}
	return row
}

const tickInterval = second / 10 // the design's tick

func (d *decider) start() {
	d.nextTick, d.fetchAt, d.startedAt = d.now+tickInterval, d.now+d.fetchPacing().FirstDelay(d.fetchSource.Float64()), d.now
}

// emitEffects works out how the present differs from what is wanted and emits it.
func (d *decider) emitEffects() {
	for i := 0; i < len(d.changed); i++ { // closing a command lists it once more
		req := d.changed[i]
		if req.wantedAnswer != noAnswer && !req.done {
			if req.wantedAnswer == fail {
				d.effects.Fail(req.id)
			} else {
				d.effects.Reject(req.id, d.retryAfter())
			}
			d.finish(req)
			d.finished = append(d.finished, req)
		}
		if h := req.next; h != nil {
			req.next = nil
			if req.filter != nil && !req.filter.Allowed(h.id) { // what was placed in this step took its place
				d.placeRequest(req)
				continue
			}
			req.attempts = append(req.attempts, &attempt{host: h, build: h.build, startedAt: d.now, deadline: req.attemptDeadline,
				number: len(req.attempts), binding: d.bindKey(req, h.build)})
			req.inFlight++
			if h.inFlight++; h.inFlight == 1 {
				h.silentSince = d.now
			}
			d.effects.StartAttempt(req.id, h.id, req.attemptDeadline)
			d.queue.Remove(req.check)
			req.check = d.queue.Add(d.nextCheckAt(req), req)
		}
		for _, h := range req.attempts {
			if req.done && !h.ended && !h.canceled && d.settings.Cancellation && !req.streaming {
				h.canceled = true
				d.effects.CancelAttempt(req.id, h.number)
			}
		}
	}
	for _, h := range d.idleToClose {
		d.effects.CloseIdle(h.id)
	}
	d.changed, d.idleToClose = d.changed[:0], d.idleToClose[:0]
	if d.settings.Subscribe && d.now >= d.fetchAt {
		d.fetchAt = math.MaxInt64
		d.effects.WatchHosts(true)
	}
	d.updateVote()
	next := d.nextTick
	if at, ok := d.queue.Next(); ok {
		next = min(next, at)
	}
	if next = max(next, d.now+1); d.timerAt == 0 || next < d.timerAt {
		d.timerAt, d.timerID = next, d.timerID+1
		d.effects.SetTimer(next-d.now, d.timerID)
	}
}

func (d *decider) requestReceived(req *request) {
	d.tickLoad[openRequests]++
	req.class.exposure.add(d.exposureCap)
	d.retryBudget.add(0.1) // one further hand-off for ten commands bounds what failures add to an overload
	req.check = d.queue.Add(d.nextCheckAt(req), req)
	if d.shouldShed(req) {
		d.giveUp(req)
	} else {
		d.placeRequest(req)
	}
	d.keySeenAt[req.key] = d.now
}

// placeRequest wants a hand-off to the best host, or holds the command for a short time.
func (d *decider) placeRequest(req *request) {
	h := d.pickHost(req)
	if d.changed = append(d.changed, req); h == nil {
		if d.now-req.receivedAt > req.class.LatencyTarget/4 { // what can't be placed by then has little hope; say so at once
			d.giveUp(req)
		} else {
			d.pending = append(d.pending, req)
		}
		return
	}
	req.next, req.attemptDeadline = h, req.deadline
	retryBy := req.target - int64(1.5*req.class.latency) // where one copy must end before the next: leave time for it
	if !d.settings.Hedging && !d.settings.NoEarlyRetry && d.mayRetry(req, true) && d.retryBudget.tokens >= 1 &&
		float64(retryBy-d.now) > 4*d.expectedLatency(req) {
		req.attemptDeadline = min(req.attemptDeadline, retryBy)
	}
}

func (d *decider) attemptEnded(req *request, attempt *attempt, result Result, done bool, took int64, report []float64) {
	h := attempt.host
	h.inFlight, h.silentSince = h.inFlight-1, d.now
	if attempt.notRun = result == Rejected || result == ConnectFailed || result == Unsent; attempt.notRun || result == Failed { // surely no answer
		d.bindings.unbind(req.key, attempt.binding)
	}
	d.applyLoadReport(h, report)
	// Hosts may take few connections: after one that fails, those of the next thirty answers are closed.
	if d.updateHealth(h, result); result == ConnectFailed {
		d.connectionShortage = 30
	} else if d.connectionShortage--; d.connectionShortage > 0 && h.inFlight == 0 {
		d.idleToClose = append(d.idleToClose, h)
	}
	slowness := min(8, float64(took)/d.expectedLatency(req))
	if result == Failed || result == ConnectionReset || result == TimedOut || result == ConnectFailed || result == InvalidAnswer { // fast is not idle then
		slowness = 8
	}
	if result == Succeeded || slowness == 8 {
		h.relativeLatency, h.latencyAt = d.slowness(h)+0.2*(slowness-d.slowness(h)), d.now // about the last five outcomes
	}
	if result == Succeeded && !req.streaming {
		d.tickLoad[answerCount]++
		d.tickLoad[answerSeconds] += float64(took) / float64(second)
		d.bindKey(req, attempt.build) // also where the build was going back meanwhile
		if !d.isOnTrial(attempt.build) {
			req.class.latency += 0.01 * (float64(took) - req.class.latency)
			req.class.cost = cmp.Or(req.class.cost, float64(req.cost))
			req.class.cost += 0.01 * (float64(req.cost) - req.class.cost)
			d.slownessByKind[h.kind] += 0.01 * (slowness - 1 - d.slownessByKind[h.kind])
			d.meanLatency += 0.01 * (float64(took) - d.meanLatency)
			// the mean of the speeds goes by the quick answers, that did not wait: load moves it little
			speed := min(5, float64(req.class.LatencyTarget)/float64(took)*d.expectedLatency(req)/req.class.latency/10)
			d.tickLoad[baselineAnswers]++
			d.tickLoad[baselineSpeeds] += speed
		}
	}
	d.recordOutcome(req, attempt, result, took)
	if done {
		d.finish(req)
	} else if !req.done && req.inFlight == 0 { // again where that is allowed and of use
		usefulUntil := req.target
		if req.class.LateValue > 0 {
			usefulUntil = req.deadline
		}
		if d.mayRetry(req, false) && float64(usefulUntil-d.now) > req.class.latency/2 && (result == ConnectFailed || d.retryBudget.take()) {
			d.placeRequest(req)
		} else {
			d.giveUp(req)
		}
	}
}

// answerFlagged counts a wrong answer for as many as the reports stand for.
func (d *decider) answerFlagged(h *host) {
	d.sampleFor(h.build).add(failures, 0, 1/max(d.settings.ReportedShare, 0.05))
}

// fetchFailed asks again after a while: a call or the subscription is lost. Discovery serves all routers.
func (d *decider) fetchFailed() {
	d.fetchFailures++
	d.fetchAt = d.now + d.fetchPacing().RetryDelay(d.fetchFailures, d.fetchSource.Float64())
}

func (d *decider) fetchPacing() pacing.Calls {
	return pacing.Calls{Interval: d.settings.FetchInterval, Callers: d.settings.Routers}
}

// timerFired takes the latest wake-up as come whatever the clock says: an early one must not stop the chain.
func (d *decider) timerFired(id uint64) {
	if id == d.timerID {
		d.timerAt = 0
	}
	for req, ok := d.queue.PopDue(d.now); ok; req, ok = d.queue.PopDue(d.now) {
		d.check(req)
	}
	if d.now >= d.nextTick {
		d.nextTick += (d.now - d.nextTick + tickInterval) / tickInterval * tickInterval
		d.tick()
		d.updateHosts()
		maps.DeleteFunc(d.keySeenAt, func(_ uint64, at int64) bool { return d.now-at > 3*second })
	}
}
