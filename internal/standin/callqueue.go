package standin

// CallQueue is a service that serves calls in turn and rejects those that would wait for too long. A call that waits longer than
// its caller does is served all the same, in vain. Times are nanoseconds.
type CallQueue struct {
	ServiceNanos, MaxQueueNanos, CallerTimeout int64 // of a call, the longest that one may have to wait, and the longest that a caller waits
	Calls, Late, Rejected                      int
	freeAt                                     int64 // when it has served all that it accepted
}

// Call returns whether a call is answered, and when its caller knows.
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
