package trial

import (
	"slices"
	"sync"
	"time"
)

// recorder keeps what clients and hosts saw of each attempt. Clients stop sending when it is full.
type recorder struct {
	limit int // number of attempts at which it is full

	mu        sync.Mutex           // guards the fields below
	hostViews map[string]*HostView // by attempt ID
	attempts  []Attempt
	departed  []DepartedArrival // at most maxDepartedArrivals
}

// maxDepartedArrivals is the number of requests to departed hosts that are kept. Correct proxies send none once they are in touch.
const maxDepartedArrivals = 100_000

func newRecorder(limit int) *recorder {
	return &recorder{hostViews: map[string]*HostView{}, limit: limit}
}

func (r *recorder) full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts) >= r.limit
}

// recordAttempt records the client's view of an attempt that has ended.
func (r *recorder) recordAttempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// updateHost applies change, with the lock held, to the hosts' view of an attempt.
func (r *recorder) updateHost(id string, change func(*HostView)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.hostViews[id]
	if v == nil {
		v = &HostView{}
		r.hostViews[id] = v
	}
	change(v)
}

// recordDeparted records a request that reached a departed host.
func (r *recorder) recordDeparted(a DepartedArrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.departed) < maxDepartedArrivals {
		r.departed = append(r.departed, a)
	}
}

// departedArrivals returns the recorded requests to departed hosts.
func (r *recorder) departedArrivals() []DepartedArrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.departed)
}

// joinedAttempts returns all attempts, with the hosts' views filled in.
func (r *recorder) joinedAttempts() []Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Attempt, 0, len(r.attempts))
	for _, a := range r.attempts {
		if v := r.hostViews[a.ID]; v != nil {
			a.Host = *v
		}
		all = append(all, a)
	}
	return all
}

// clock measures the time since the start of the trial.
type clock struct{ began time.Time }

func (c clock) now() time.Duration { return time.Since(c.began) }
