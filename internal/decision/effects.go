package decision

// Effects carries out the decisions of an Engine. The Engine calls it only from within New and its own methods, and the
// methods of Effects must not call the Engine. Times are in nanoseconds.
type Effects interface {
	StartAttempt(request, host uint32, deadline int64)
	Reject(request uint32, retryAfter int64) // the client may retry after retryAfter
	Fail(request uint32)
	CancelAttempt(request uint32, number int)
	Vote(v Verdict, build, stage int)
	SendGossip(peer int, message []byte)
	SetTimer(after int64, id uint64) // replaces the previous timer; TimerFired(id) must follow
	CloseIdle(host uint32)           // closes the idle connections to a host
	WatchHosts(on bool)              // requests the host list and its updates
	Log(text string)
}

// emitEffects emits the effects that are decided but not emitted yet. Engine calls it at the end of an event.
func (d *decider) emitEffects() {
	for i := 0; i < len(d.changed); i++ { // emitForRequest may append requests, even the same one
		d.emitForRequest(d.changed[i])
	}
	for _, h := range d.idleToClose {
		d.effects.CloseIdle(h.id)
	}
	d.changed = d.changed[:0]
	d.idleToClose = d.idleToClose[:0]
	d.fetchIfDue()
	d.updateVote()
	d.emitTimer()
}

func (d *decider) emitForRequest(req *request) {
	d.emitAnswer(req)
	next := req.next
	req.next = nil
	if next != nil && !req.allows(next) { // the host's capacity went to another request in the same call
		d.placeRequest(req)
		return
	}
	if next != nil {
		d.emitAttempt(req, next)
	}
	d.emitCancellations(req)
}

// emitAnswer answers a request with the decided rejection or failure, if there is one.
func (d *decider) emitAnswer(req *request) {
	if req.decidedAnswer == noAnswer || req.done {
		return
	}
	if req.decidedAnswer == fail {
		d.effects.Fail(req.id)
	} else {
		d.effects.Reject(req.id, d.retryAfter())
	}
	d.finish(req)
	d.finished = append(d.finished, req)
}

func (d *decider) emitAttempt(req *request, h *host) {
	req.attempts = append(req.attempts, &attempt{
		host:      h,
		build:     h.build,
		startedAt: d.now,
		deadline:  req.attemptDeadline,
		number:    len(req.attempts),
		binding:   d.bindKey(req, h.build),
	})
	req.inFlight++
	h.inFlight++
	if h.inFlight == 1 {
		h.silentSince = d.now
	}
	d.effects.StartAttempt(req.id, h.id, req.attemptDeadline)
	d.queue.Remove(req.check)
	req.check = d.queue.Add(d.nextCheckAt(req), req)
}

// emitCancellations cancels the attempts in flight of a request that is done, unless its answer is being streamed.
func (d *decider) emitCancellations(req *request) {
	if !req.done || !d.settings.Cancellation || req.streaming {
		return
	}
	for _, attempt := range req.attempts {
		if !attempt.ended && !attempt.canceled {
			attempt.canceled = true
			d.effects.CancelAttempt(req.id, attempt.number)
		}
	}
}

// emitTimer sets a timer for the next tick or request check, unless the current timer fires by then.
func (d *decider) emitTimer() {
	next := d.nextTick
	if at, ok := d.queue.Next(); ok {
		next = min(next, at)
	}
	next = max(next, d.now+1)
	if d.timerAt != 0 && d.timerAt <= next {
		return
	}
	d.timerAt = next
	d.timerID++
	d.effects.SetTimer(next-d.now, d.timerID)
}
