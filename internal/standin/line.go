package standin

// Line is a service that takes calls in turn and turns away those that would wait for too long. What has waited for
// longer than its callers do is served all the same, to nobody. Times are nanoseconds.
type Line struct {
	Takes, Longest, Patience int64 // for a call, and the longest that one may have to wait, or waits
	Calls, Late, Refused     int
	free                     int64 // when it has served all that it took
}

// Call tells whether a call is answered, and when its caller knows.
func (l *Line) Call(now int64) (ok bool, at int64) {
	l.Calls++
	if l.free = max(l.free, now); l.free-now > l.Longest {
		l.Refused++
		return false, now + 5e6
	}
	if l.free += l.Takes; l.free-now > l.Patience {
		l.Late++
		return false, now + l.Patience
	}
	return true, l.free
}
