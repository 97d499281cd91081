package trial

import (
	"fmt"
	"time"
)

// DepartedArrival is a request that reached an instance later than Terms.Drain after its departure was acknowledged. Points in time are
// offsets from the start of the trial.
type DepartedArrival struct {
	AttemptID string
	Instance  string
	AckedAt   time.Duration // when the instance received the first acknowledgement of its departure
	At        time.Duration
}

// DrainViolations returns one violation for each arrival whose request was sent by a proxy in touch. all are the attempts that the
// arrivals belong to.
func (j Judge) DrainViolations(arrivals []DepartedArrival, all []Attempt) (violations []Violation) {
	proxies := make(map[string]int, len(all))
	for _, a := range all {
		proxies[a.ID] = a.Proxy
	}
	for _, arrival := range arrivals {
		proxy, known := proxies[arrival.AttemptID]
		if !known || !j.inTouch(proxy, arrival.At) {
			continue
		}
		detail := fmt.Sprintf("%s reached %s at %.3f s from proxy %d, %.3f s after its departure was acknowledged",
			arrival.AttemptID, arrival.Instance, arrival.At.Seconds(), proxy, (arrival.At - arrival.AckedAt).Seconds())
		violations = append(violations, Violation{"DRAIN: a departed host got a request", detail})
	}
	return violations
}

// inTouch reports whether a proxy was in touch at a point in time: during all of Terms.Contact before, neither the proxy nor any control
// process was disturbed.
func (j Judge) inTouch(proxy int, at time.Duration) bool {
	window := Interval{From: at - j.Terms.Contact, To: at}
	for _, s := range j.SignalLog {
		concerned := s.Proxy == controlProcess || s.Proxy == proxy
		if concerned && s.Kind.disturbs() && s.At <= window.To && s.Until >= window.From {
			return false
		}
	}
	return true
}
