package trial

import (
	"sync"
	"time"
)

// book holds what both ends of each attempt saw, until the trial is judged. Its length is bounded by Options.Requests.
type book struct {
	mu       sync.Mutex
	views    map[string]*HostView
	attempts []Attempt
	most     int
}

func newBook(most int) *book { return &book{views: map[string]*HostView{}, most: most} }

// full reports whether no more attempts are taken.
func (b *book) full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.attempts) >= b.most
}

// ended notes how an attempt ended for its client.
func (b *book) ended(a Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, a)
}

// host changes what the hosts saw of an attempt.
func (b *book) host(id string, change func(*HostView)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.views[id]
	if v == nil {
		v = &HostView{}
		b.views[id] = v
	}
	change(v)
}

// all joins both views of each attempt.
func (b *book) all() []Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Attempt, 0, len(b.attempts))
	for _, a := range b.attempts {
		if v := b.views[a.ID]; v != nil {
			a.Host = *v
		}
		all = append(all, a)
	}
	return all
}

// count tells how many attempts have ended.
func (b *book) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.attempts)
}

// clock counts from the start of the trial.
type clock struct{ began time.Time }

func (c clock) now() time.Duration { return time.Since(c.began) }
