package trial

import (
	"sync"
	"time"
)

// recorder keeps what both ends of each attempt saw, until the trial is judged. Its length is bounded by Options.Requests.
type recorder struct {
	limit int // attempts

	mu        sync.Mutex           // guards what follows
	hostViews map[string]*HostView // by attempt
	attempts  []Attempt
}

func newRecorder(limit int) *recorder {
	return &recorder{hostViews: map[string]*HostView{}, limit: limit}
}

// full reports whether the limit of attempts is reached.
func (r *recorder) full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts) >= r.limit
}

// recordAttempt records how an attempt ended for its client.
func (r *recorder) recordAttempt(a Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

// updateHost changes what the hosts saw of an attempt.
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

// joinedAttempts returns all attempts with both their views.
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

// clock tells the time since the start of the trial.
type clock struct{ began time.Time }

func (c clock) now() time.Duration { return time.Since(c.began) }
