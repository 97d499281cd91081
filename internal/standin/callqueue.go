package standin

// CallQueue is a service that takes calls in turn and turns away those that would wait for too long. What has waited for
// longer than its callers do is served all the same, to nobody. Times are nanoseconds.
type CallQueue struct {
	ServiceNanos, MaxQueueNanos, CallerTimeout int64 // for a call, and the longest that one may have to wait, or waits
	Calls, Late, Rejected                      int
	freeAt                                     int64 // when it has served all that it took
}

// Call tells whether a call is answered, and when its caller knows.
func (q *CallQueue) Call(now int64) (ok bool, at int64) {
	q.Calls++
	if q.freeAt = max(q.freeAt, now); q.freeAt-now > q.MaxQueueNanos {
		q.Rejected++
		return false, now + 5e6
	}
	if q.freeAt += q.ServiceNanos; q.freeAt-now > q.CallerTimeout {
		q.Late++
		return false, now + q.CallerTimeout
	}
	return true, q.freeAt
}
