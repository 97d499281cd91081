package standin

// CallQueue models a service that processes calls one at a time and rejects those that would wait too long. A call whose caller
// has timed out is processed nevertheless, to no effect. All times are in nanoseconds.
type CallQueue struct {
	// ServiceNanos is the processing time of a call, MaxQueueNanos the longest wait in the queue, and CallerTimeout the time after
	// which a caller stops waiting.
	ServiceNanos, MaxQueueNanos, CallerTimeout int64
	Calls, Late, Rejected                      int   // numbers of calls; Late counts those that exceeded CallerTimeout
	freeAt                                     int64 // when all accepted calls will have been processed
}

// Call queues a call at the time now. It reports whether the call succeeds within CallerTimeout, and when its caller learns of
// the success, rejection or timeout.
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
