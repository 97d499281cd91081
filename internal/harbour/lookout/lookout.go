// Package lookout finds grey hosts: those that fail, or don't answer, a part of what they are sent, while their beats and their
// health answers are good. A router sees little of each host, so what all routers of a zone see is pooled by its control
// process, which sets a host aside for a while and lets it back gently. It is pure: times are handed in, Unix nanoseconds.
package lookout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"portflow/internal/parts/faded"
)

const second = int64(1e9)

const (
	// LookEvery is the time between two reports of a router, nanoseconds.
	LookEvery = second / 2
	memory    = 3 * second // of outcomes
	overdue   = 4.0        // times the mean, after which a request that is out counts as bad
	soonest   = second * 2 / 5
	// many are the bad outcomes that it takes, and again those of a host that is on its way back.
	many, again = 4.0, 2.0
	// excess is the part of a host's outcomes that are bad, over the others' part and so many standard errors.
	excess, errors = 0.2, 3
	// aside is how long a host is set aside at first; each time it doubles, up to longest. Coming back takes half as long.
	aside, longest = 4 * second, 32 * second
	stale          = 3 * LookEvery // after which what a router told counts no more
)

// Count is what a router saw of a host of late, or, without an ID, of all hosts of a service.
type Count struct {
	ID  string  `json:"i,omitempty"`
	N   float64 `json:"n"`
	Bad float64 `json:"b"`
}

// start is a request that is out.
type start struct {
	at      int64
	counted bool // as overdue
}

// entry is a host's outcomes, of them those that were bad, and its requests that are out.
type entry struct {
	faded.Sum
	out []start
}

func (e *entry) put(now int64, bad bool) {
	figure := 0.0
	if bad {
		figure = 1
	}
	e.Add(now, memory, figure)
}

// Log is what one router sees of one service's hosts. It is not safe for two goroutines.
type Log struct {
	hosts map[string]*entry
	all   entry
	mean  float64 // nanoseconds that good answers take
}

// NewLog makes an empty one.
func NewLog() *Log { return &Log{hosts: map[string]*entry{}} }

// Sent notes a request that goes to a host now.
func (l *Log) Sent(now int64, id string) {
	e := l.hosts[id]
	if e == nil {
		e = &entry{}
		l.hosts[id] = e
	}
	e.out = append(e.out, start{at: now})
}

// Outcome is how a request ended, as far as it says anything of its host.
type Outcome uint8

const (
	Good Outcome = iota
	Bad
	Nothing // it never came there, was turned away, or its client left
)

// Ended notes the end of the request that went to a host at began.
func (l *Log) Ended(now int64, id string, began int64, o Outcome) {
	e := l.hosts[id]
	if e == nil {
		return
	}
	at := slices.IndexFunc(e.out, func(s start) bool { return s.at == began })
	if at < 0 {
		return
	}
	counted := e.out[at].counted
	e.out = slices.Delete(e.out, at, at+1)
	if o == Good {
		took := float64(now - began)
		l.mean += (took - l.mean) * max(0.02, 1/(l.all.N+1))
	}
	if o != Nothing && !counted {
		e.put(now, o == Bad)
		l.all.put(now, o == Bad)
	}
}

// Forget forgets a host that has ended.
func (l *Log) Forget(id string) { delete(l.hosts, id) }

// Look is for every LookEvery: it counts what is overdue, and tells of the hosts with bad outcomes of late, and of all
// together; nothing where there are none.
func (l *Log) Look(now int64) (all []Count) {
	late := max(float64(soonest), overdue*l.mean)
	for id, e := range l.hosts {
		for i := range e.out {
			if s := &e.out[i]; !s.counted && float64(now-s.at) > late {
				s.counted = true
				e.put(now, true)
				l.all.put(now, true)
			}
		}
		if e.Fade(now, memory); e.Of >= 0.3 {
			all = append(all, Count{id, round(e.N), round(e.Of)})
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b Count) int { return strings.Compare(a.ID, b.ID) })
	l.all.Fade(now, memory)
	return append(all, Count{"", round(l.all.N), round(l.all.Of)})
}

func round(x float64) float64 { return math.Round(x*100) / 100 }

// Judgement sets a host aside until Aside, and lets it back, with one request at a time a router, until Back. The one with
// the later Aside holds; both are by the clock of who has it, so that it ends though its judge may be gone.
type Judgement struct {
	ID      string `json:"i"`
	Service string `json:"s"`
	Aside   int64  `json:"a"`
	Back    int64  `json:"b"`
	Times   int    `json:"t"` // how often it was judged so
}

// same is by how much times of one judgement may differ that came by two ways; the next one ends later by more than that.
const same = second

// Newer tells whether j holds against an older judgement of the host, which may be the same by another way.
func (j Judgement) Newer(old Judgement) bool { return old.ID == "" || j.Aside > old.Aside+same }

// Candidate is a host that may be judged.
type Candidate struct {
	ID, Service string
}

// Watch is a control process's part. It is not safe for two goroutines.
type Watch struct {
	routers map[string]map[string]told // by router and service
	judged  map[string]Judgement
	earlier map[string]map[string]report // by host and router: its last report on the host before the host was let back
}

// report is what a router told of one host.
type report struct {
	at int64
	Count
}

type told struct {
	at     int64
	counts []Count
}

// NewWatch makes one that knows of nothing.
func NewWatch() *Watch {
	return &Watch{routers: map[string]map[string]told{}, judged: map[string]Judgement{}, earlier: map[string]map[string]report{}}
}

// Told takes what a router sees of a service's hosts.
func (w *Watch) Told(now int64, router, service string, counts []Count) {
	if w.routers[router] == nil {
		w.routers[router] = map[string]told{}
	}
	w.routers[router][service] = told{now, counts}
}

// Gone forgets a router.
func (w *Watch) Gone(router string) { delete(w.routers, router) }

// Idle tells whether no router has told anything of late.
func (w *Watch) Idle() bool { return len(w.routers) == 0 }

type sum struct {
	n, bad  float64
	routers int
}

func (s sum) plus(c Count) sum { return sum{s.n + c.N, s.bad + c.Bad, s.routers + 1} }

// sinceReturn is the part of a router's report on a host that isn't left over from before the host was last set aside.
// Until it is let back it is sent nothing, so whatever is reported by then is of earlier requests, though some of them
// may have ended, or become overdue, only meanwhile. Later reports still hold the rest of these outcomes, which fades.
func (w *Watch) sinceReturn(router string, r report) Count {
	j, judged := w.judged[r.ID]
	if !judged {
		return r.Count
	}
	if r.at < j.Aside {
		if w.earlier[r.ID] == nil {
			w.earlier[r.ID] = map[string]report{}
		}
		w.earlier[r.ID][router] = r
		return Count{ID: r.ID}
	}
	old := w.earlier[r.ID][router]
	left := math.Exp(-float64(r.at-old.at) / float64(memory))
	return Count{ID: r.ID, N: max(0, r.N-old.N*left), Bad: max(0, r.Bad-old.Bad*left)}
}

// Judge looks at the hosts that this process answers for, and tells which are newly set aside. Of each service at most a fifth
// is at once, or one of three; those that are worst go first.
func (w *Watch) Judge(now int64, hosts []Candidate) (news []Judgement) {
	pooled, recent, total := map[string]sum{}, map[string]sum{}, map[string]sum{}
	for router, services := range w.routers {
		for service, t := range services {
			if now-t.at > stale {
				delete(services, service)
				continue
			}
			for _, c := range t.counts {
				if !(c.N >= 0 && c.Bad >= 0 && c.N < 1e9 && c.Bad <= c.N) {
					continue
				}
				if c.ID == "" {
					total[service] = total[service].plus(c)
					continue
				}
				pooled[c.ID] = pooled[c.ID].plus(c)
				recent[c.ID] = recent[c.ID].plus(w.sinceReturn(router, report{t.at, c}))
			}
		}
		if len(services) == 0 {
			delete(w.routers, router)
		}
	}
	count, out := map[string]int{}, map[string]int{}
	for _, h := range hosts {
		count[h.Service]++
		if j, there := w.judged[h.ID]; there && now < j.Back {
			out[h.Service]++
		}
	}
	type suspect struct {
		Candidate
		over float64
	}
	var suspects []suspect
	for _, h := range hosts {
		s, seen := recent[h.ID]
		j, before := w.judged[h.ID]
		returning := before && now >= j.Aside && now < j.Back+aside
		if !seen || before && now < j.Aside || s.bad < many && !(returning && s.bad >= again) {
			continue
		}
		t, all := total[h.Service], pooled[h.ID]
		others := max(0, t.bad-all.bad) / max(1, t.n-all.n)
		others = min(1, max(0.01, others))
		// the error is that of a host that is as the others are: where all do badly, it takes much to stand out
		if over := s.bad/max(s.n, 1e-9) - others - errors*math.Sqrt(others*(1-others)/max(s.n, 1)); over > excess {
			suspects = append(suspects, suspect{h, over})
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Or(cmp.Compare(b.over, a.over), strings.Compare(a.ID, b.ID)) })
	for _, h := range suspects {
		old := w.judged[h.ID]
		inside := now < old.Back // it is counted already
		if !inside && out[h.Service] >= Most(count[h.Service]) {
			continue
		}
		if !inside {
			out[h.Service]++
		}
		j := Judgement{ID: h.ID, Service: h.Service, Times: 1}
		if old.Times > 0 && now < old.Back+longest {
			j.Times = old.Times + 1
		}
		lasts := min(longest, aside<<min(j.Times-1, 10))
		j.Aside, j.Back = now+lasts, now+lasts+lasts/2
		w.judged[h.ID] = j
		news = append(news, j)
	}
	maps.DeleteFunc(w.judged, func(_ string, j Judgement) bool { return now > j.Back+longest })
	maps.DeleteFunc(w.earlier, func(id string, _ map[string]report) bool { return w.judged[id].ID == "" })
	return news
}

// Most is how many of so many hosts of a service may be set aside at once.
func Most(hosts int) int { return max(hosts/5, min(1, hosts/3)) }
