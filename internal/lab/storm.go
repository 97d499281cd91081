package lab

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"portflow/internal/decision"
	"portflow/internal/random"
	"portflow/internal/retryguard"
	"portflow/internal/standin"
)

// Storm is one experiment: hosts go and return, and clients ask again.
type Storm struct {
	Routers int               `json:"Routers"`
	Hosts   int               `json:"Hosts"`
	Clients int               `json:"Clients"`
	Outage  time.Duration     `json:"Outage"`
	Kind    string            `json:"Kind"`    // what goes: "hosts", "half", "list", "carrier" or "none"
	Carrier int               `json:"Carrier"` // whose keys a storm of one carrier is about
	Policy  string            `json:"Policy"`  // "on", "off", or a baseline: "fixed", "budget", "throttle"
	Heed    float64           `json:"Heed"`
	Marks   bool              `json:"Marks"`
	Again   bool              `json:"Again"` // a second outage, 3 s after the hosts' return
	Busy    bool              `json:"Busy"`  // one router has nine tenths of the traffic
	Trial   bool              `json:"Trial"` // a build is on trial meanwhile, on every fifth host
	Load    float64           `json:"Load"`  // calm traffic's part of what the hosts can do
	Calm    time.Duration     `json:"Calm"`
	After   time.Duration     `json:"After"`
	Seed    uint64            `json:"Seed"`
	Tuning  retryguard.Tuning `json:"Tuning"`
}

// Defaults are those of the command line.
func Defaults() Storm {
	return Storm{Routers: 3, Hosts: 10, Clients: 2000, Outage: 5 * time.Second, Kind: "hosts", Policy: "on", Heed: 0.7,
		Load: 0.6, Calm: 6 * time.Second, After: 15 * time.Second, Seed: 1, Tuning: retryguard.Defaults()}
}

// Result is what a run tells; the greatest load counts what came to returning hosts over any 500 ms as a multiple of
// what they could do then, over all routers.
type Result struct {
	Ceiling             float64 `json:"ceiling"`
	Peak                float64 `json:"peak"`
	CeilingKept         bool    `json:"ceiling_kept"`
	RecoveredS          float64 `json:"recovered_s"` // -1 for never
	Goodput             float64 `json:"goodput"`     // worth fulfilled in time of all that was asked for
	FirstTryServed      float64 `json:"first_try_served"`
	OtherCarriersServed float64 `json:"other_carriers_served"`
	TriesPerCommand     float64 `json:"tries_per_command"`
	Duplicates          int     `json:"duplicates"`
	Lost                int     `json:"lost"`
	FalseAlarms         int     `json:"false_alarms"`
	NoticedMS           float64 `json:"noticed_ms"` // -1 for not at all
	Fallen              int     `json:"fallen"`
	Backs               int     `json:"votes_back"`
	Commands            int     `json:"commands"`
	Seconds             float64 `json:"seconds"` // that the run took
	Seed                uint64  `json:"seed"`

	Series Series `json:"-"`
}

// Series is what happened over time, by steps of 100 ms.
type Series struct{ Offered, Admitted, Capacity, Served []float64 }

const (
	step    = 100 * time.Millisecond
	stated  = 1.25 // the ceiling that runs are held to: a quarter over what hosts can do fits into their queues
	window  = 5    // steps of a load's 500 ms
	maxTold = int64(time.Second)
)

// bands are the experiment's: short work of little worth that may repeat, and marked work of more.
var bands = []struct {
	decision.Band
	name       string
	share      float64
	least, top int64 // work
}{
	{decision.Band{Contract: 1500e6, CutOff: 5000e6, Repeat: decision.Replayable, Importance: 1}, "display", 0.65, 140e6, 240e6},
	{decision.Band{Contract: 750e6, CutOff: 3000e6, Repeat: decision.Referenced, Memory: 2000e6, Importance: 5}, "accept", 0.35, 84e6, 140e6},
}

var carrierShares = []float64{0.63, 0.22, 0.15}

const work = 0.65*0.19 + 0.35*0.112 // seconds, the mean

const cores = 3

func (s Storm) check() error {
	if s.Routers < 1 || s.Hosts < 1 || s.Clients < 1 || s.Outage < 0 || s.Outage > time.Minute || !(s.Load > 0 && s.Load < 3) {
		return fmt.Errorf("lab: %d routers, %d hosts, %d clients, outage %v, load %v", s.Routers, s.Hosts, s.Clients, s.Outage, s.Load)
	}
	if !slices.Contains([]string{"hosts", "half", "list", "carrier", "none"}, s.Kind) {
		return fmt.Errorf("lab: kind %q is unknown", s.Kind)
	}
	if s.Carrier < 0 || s.Carrier >= len(carrierShares) {
		return fmt.Errorf("lab: no carrier %d", s.Carrier)
	}
	return nil
}

func (s Storm) end() int64 { return int64(s.Calm + s.Outage + s.After) }

// settings are a router's.
func (s Storm) settings(rank int) decision.Settings {
	out := decision.Settings{Rank: rank, Routers: s.Routers, OverShare: 0.1, Tick: 5e6, MaxHandOffs: 3, Copies: true,
		Recalls: true, Peers: s.Routers > 1, MaxAdvice: maxTold, Gate: decision.Share, OnVotes: 1, BackVotes: 1, VoteLife: 4e9,
		VoteWait: 800e6, Free: 2, FirstCap: 0.25, Beside: true, KeysStay: true, FlagShare: 0.15, ColdFrom: 0.33, ColdFor: 4e9,
		FallMultiple: 2}
	for _, b := range bands {
		out.Bands = append(out.Bands, b.Band)
	}
	for _, share := range carrierShares {
		out.Carriers = append(out.Carriers, decision.Carrier{PerSecond: 2 * share * s.rate()})
	}
	return out
}

// rate is how many commands clients ask for in calm, a second.
func (s Storm) rate() float64 { return s.Load * float64(s.Hosts*cores) / work }

func (s Storm) machine() *standin.Machine {
	return &standin.Machine{Cores: cores, ColdFrom: 0.33, ColdFor: 4e9, FallMultiple: 2, FallFor: 3e9, Queue: 2e9}
}

// guard is a router's, by the policy; nil for none.
func (s Storm) guard(rank int, now int64) (guard, *retryguard.Guard, error) {
	switch s.Policy {
	case "off":
		return nil, nil, nil
	case "fixed":
		return &fixed{}, nil, nil
	case "budget":
		return &budget{}, nil, nil
	case "throttle":
		return &throttle{draw: random.Source{Seed: s.Seed + uint64(rank)}}, nil, nil
	case "on":
	default:
		return nil, nil, fmt.Errorf("lab: policy %q is unknown", s.Policy)
	}
	set := retryguard.Settings{Tuning: s.Tuning, Carriers: len(carrierShares), Routers: s.Routers, ColdFrom: 0.33, ColdFor: 4e9,
		MaxAdvice: maxTold}
	for _, b := range bands {
		set.Bands = append(set.Bands, retryguard.Band{Contract: b.Contract, CutOff: b.CutOff, Importance: b.Importance})
	}
	g, err := retryguard.New(set, s.Seed*1000+uint64(rank), now)
	return g, g, err
}

// command is one that a client wants, with all its tries.
type command struct {
	band, carrier int
	key           uint64
	mark          string
	habit         standin.Habit
	begun         int64
	tries         int
	served        bool // within its contract time
}

// book counts what clients and hosts saw. Its methods may be called by many goroutines.
type book struct {
	Storm
	sync.Mutex
	commands   []*command
	tries      int
	lost       int
	firstLate  int64 // the first try in the outage that went unserved
	offered    []float64
	admitted   []float64
	capacity   []float64
	served     []float64
	returning  []float64 // work that came to hosts, as they return
	firsts, ok float64   // first tries after the return, and those served at once
}

func newBook(s Storm) *book {
	n := int(s.end()/int64(step)) + 2
	row := func() []float64 { return make([]float64, n) }
	return &book{Storm: s, offered: row(), admitted: row(), capacity: row(), served: row(), returning: row()}
}

func put(row []float64, at int64, x float64) {
	if i := at / int64(step); i >= 0 && int(i) < len(row) {
		row[i] += x
	}
}

// asked counts a try.
func (b *book) asked(now int64, c *command) {
	b.Lock()
	defer b.Unlock()
	if c.tries++; c.tries == 1 {
		c.begun = now
		b.commands = append(b.commands, c)
	}
	b.tries++
	put(b.offered, now, 1)
}

// came counts a hand-off's work at a host.
func (b *book) came(now int64, work int64) {
	b.Lock()
	defer b.Unlock()
	put(b.admitted, now, float64(work)/1e9)
}

// told counts how a try ended: answered says that the router gave it an answer in time.
func (b *book) told(now, sent int64, c *command, fulfilled, answered bool) {
	b.Lock()
	defer b.Unlock()
	back := int64(b.Calm + b.Outage)
	if first := c.tries == 1; first && c.begun >= back && c.begun < back+10e9 {
		b.firsts++
		if fulfilled {
			b.ok++
		}
	}
	if !answered {
		b.lost++
	}
	switch {
	case fulfilled && now-sent <= bands[c.band].Contract:
		put(b.served, now, 1)
		c.served = c.served || now-c.begun <= bands[c.band].CutOff
	case !fulfilled && sent >= int64(b.Calm) && (b.firstLate == 0 || now < b.firstLate):
		b.firstLate = now
	}
}

func sum(row []float64, from, to int) (s float64) {
	for i := max(0, from); i < to && i < len(row); i++ {
		s += row[i]
	}
	return s
}

// result reads the book.
func (b *book) result() Result {
	r := Result{Ceiling: stated, RecoveredS: -1, NoticedMS: -1, Lost: b.lost, Commands: len(b.commands), Seed: b.Seed,
		Series: Series{Offered: b.offered, Admitted: b.admitted, Capacity: b.capacity, Served: b.served}}
	from, back := int(b.Calm/step), int((b.Calm+b.Outage)/step)
	last := int(b.end() / int64(step))
	for i := back; i+window <= last; i++ {
		if can := sum(b.capacity, i, i+window) * step.Seconds(); can > 0 {
			r.Peak = max(r.Peak, sum(b.admitted, i, i+window)/can)
		}
	}
	r.CeilingKept = r.Peak <= r.Ceiling
	calm := sum(b.served, from-40, from) / 40
	for i := back; i+10 <= last; i++ {
		if sum(b.served, i, i+10) >= 0.95*10*calm && sum(b.served, i+10, i+20) >= 0.85*10*calm {
			r.RecoveredS = float64(i-back) * step.Seconds()
			break
		}
	}
	worth, all, others, othersOK := 0.0, 0.0, 0.0, 0.0
	for _, c := range b.commands {
		w := bands[c.band].Importance
		all += w
		if c.served {
			worth += w
		}
		if c.carrier != b.Carrier && c.begun >= int64(b.Calm) {
			if others++; c.served {
				othersOK++
			}
		}
	}
	r.Goodput, r.OtherCarriersServed = worth/max(1, all), othersOK/max(1, others)
	r.FirstTryServed = b.ok / max(1, b.firsts)
	r.TriesPerCommand = float64(b.tries) / max(1, float64(len(b.commands)))
	return r
}

// noticed fills in what guards saw: alarms before the outage, and the median time from its first unserved try on.
func (b *book) noticed(r *Result, at []int64) {
	var waits []float64
	for _, t := range at {
		if t == 0 {
			continue
		}
		if t < int64(b.Calm) {
			r.FalseAlarms++
		} else if b.firstLate > 0 {
			waits = append(waits, float64(t-b.firstLate)/1e6)
		}
	}
	if len(waits) > 0 {
		slices.Sort(waits)
		r.NoticedMS = math.Round(waits[len(waits)/2])
	}
}

// next draws a new command of a client.
func (s Storm) next(now int64, client int, d *random.Source) *command {
	c := &command{band: 1}
	if d.Next() < bands[0].share {
		c.band = 0
	}
	home := float64(client%1000) / 1000 // a client is always of one carrier
	for home >= carrierShares[c.carrier] && c.carrier < len(carrierShares)-1 {
		home -= carrierShares[c.carrier]
		c.carrier++
	}
	c.key = 1 + uint64(client)
	c.habit = standin.Fleet(s.Heed, s.Marks, d.Next(), d.Next(), d.Next(), d.Next())
	if s.Kind == "carrier" && c.carrier == s.Carrier && now >= int64(s.Calm) && now < int64(s.Calm+s.Outage) {
		c.key = 1 + uint64(client%5)                                                                        // a few keys
		c.habit = standin.Habit{Retries: 3, Patience: 0.04, Heeds: c.habit.Heeds, Early: 1, Marks: s.Marks} // given up soon, and asked again at once
	}
	if c.band == 1 {
		c.mark = fmt.Sprintf("m%d-%d-%d", s.Seed, client, now)
	}
	return c
}

func (c *command) work(d *random.Source) int64 {
	b := bands[c.band]
	return b.least + int64(d.Next()*float64(b.top-b.least))
}
