package tonnage

import (
	"maps"
	"math"
	"slices"
	"strings"

	"portflow/internal/harbour/manifest"
)

const (
	// DealEvery is the time between two dealings, nanoseconds; routers report as often.
	DealEvery = second / 5
	// Settling is for how long a part that has grown isn't used, nanoseconds: until all zones have heard of the demand that
	// made it grow and deal by it.
	Settling = 3 * second / 4
	// Held is for how long a zone that isn't heard any more is dealt for, nanoseconds: longer than its control process needs
	// to notice that it hears too few others, and its routers' leases after that.
	Held = 11 * second / 2
	// renew is after how long an allotment is told again though it hasn't changed.
	renew = second
	// calm is for how long a caller must not ask for more than its share, nor press at one router, until that ends.
	calm = 5 * second
)

// Sum is what a zone tells the others of a share.
type Sum struct {
	Share string  `json:"s"`
	Want  float64 `json:"w"`
	Took  uint64  `json:"t"`
	Dealt float64 `json:"d"` // to its routers now, for operators
	Away  uint64  `json:"a,omitempty"`
	Over  uint64  `json:"o,omitempty"`
	Short bool    `json:"x,omitempty"` // some router needs more than it may give of itself
}

// Load is how quickly a service answers: what a router tells of itself, and a zone of its routers.
type Load struct {
	Service string  `json:"s"`
	Answers float64 `json:"n"` // a second, of late
	Work    float64 `json:"w"` // seconds of hosts' work in them
}

// point is a part as it was worked out once.
type point struct {
	at   int64
	part float64
}

// party is one router or one other zone that takes part in dealing.
type party struct {
	reports map[string]Report
	last    map[string]Report // of a router, the last one of each share
	loads   []Load
	until   int64 // of a zone that isn't heard any more, 0 while it is
	sums    map[string]Sum
	took    map[string]uint64 // of a zone, as of the last sum of each share
	said    map[string]Allotment
	saidAt  map[string]int64
}

// total is what all zones took of one share, counted here.
type total struct {
	took   uint64
	before []struct {
		at   int64
		took uint64
	}
}

// Dealer is one control process's part in dealing shares out. It is not safe for two goroutines.
type Dealer struct {
	shares  map[string]manifest.Share
	serve   []string // the services that have shares
	routers map[string]*party
	zones   map[string]*party
	own     map[string]*Sum    // this zone's, by share
	parts   map[string][]point // this zone's, by share, of late
	evened  map[string]float64 // by share: what all ask for, over some time
	pressed map[string]int64   // by share: when its caller was last seen to press
	totals  map[string]*total
	slots   map[string]int // by service, of hosts that may be used
	hours   map[string]*Hours
}

// NewDealer makes one that knows of nothing.
func NewDealer() *Dealer {
	return &Dealer{shares: map[string]manifest.Share{}, routers: map[string]*party{}, zones: map[string]*party{},
		own: map[string]*Sum{}, parts: map[string][]point{}, pressed: map[string]int64{}, evened: map[string]float64{}, totals: map[string]*total{}, slots: map[string]int{}, hours: map[string]*Hours{}}
}

// Set takes up the shares that stand; what is known of others goes.
func (d *Dealer) Set(all map[string][]manifest.Share) {
	d.shares, d.serve = map[string]manifest.Share{}, nil
	for service, shares := range all {
		if len(shares) > 0 {
			d.serve = append(d.serve, service)
		}
		for _, s := range shares {
			d.shares[s.Name] = s
		}
	}
	gone := func(name string) bool { _, there := d.shares[name]; return !there }
	maps.DeleteFunc(d.own, func(name string, _ *Sum) bool { return gone(name) })
	maps.DeleteFunc(d.parts, func(name string, _ []point) bool { return gone(name) })
	maps.DeleteFunc(d.pressed, func(name string, _ int64) bool { return gone(name) })
	maps.DeleteFunc(d.evened, func(name string, _ float64) bool { return gone(name) })
	maps.DeleteFunc(d.totals, func(name string, _ *total) bool { return gone(name) })
	maps.DeleteFunc(d.hours, func(service string, _ *Hours) bool { return all[service] == nil })
	for _, p := range d.routers {
		maps.DeleteFunc(p.reports, func(name string, _ Report) bool { return gone(name) })
		maps.DeleteFunc(p.last, func(name string, _ Report) bool { return gone(name) })
		maps.DeleteFunc(p.said, func(name string, _ Allotment) bool { return gone(name) })
	}
	for _, p := range d.zones {
		maps.DeleteFunc(p.took, func(name string, _ uint64) bool { return gone(name) })
		maps.DeleteFunc(p.sums, func(name string, _ Sum) bool { return gone(name) })
	}
}

// Off tells whether there is nothing to deal.
func (d *Dealer) Off() bool { return len(d.shares) == 0 }

// Slots tells how many requests the hosts of each service may work on at once.
func (d *Dealer) Slots(all map[string]int) { d.slots = all }

// Meet takes a router of this zone up, which may have nothing to report.
func (d *Dealer) Meet(router string) { d.party(router) }

func (d *Dealer) party(router string) *party {
	p := d.routers[router]
	if p == nil {
		p = &party{reports: map[string]Report{}, last: map[string]Report{}, said: map[string]Allotment{}, saidAt: map[string]int64{}}
		d.routers[router] = p
	}
	return p
}

// Told takes what a router of this zone reports: all that it sees press, and its loads where it tells them.
func (d *Dealer) Told(now int64, router string, reports []Report, loads []Load) {
	p := d.party(router)
	if p.reports = make(map[string]Report, len(reports)); loads != nil { // else as they were
		p.loads = loads
	}
	for _, r := range reports {
		if _, stands := d.shares[r.Share]; !stands || !(r.Want >= 0 && r.Want < 1e9) {
			continue
		}
		p.reports[r.Share] = r
		s := d.own[r.Share]
		if s == nil {
			s = &Sum{Share: r.Share}
			d.own[r.Share] = s
		}
		old := p.last[r.Share] // it may have had nothing to report in between
		if r.Took < old.Took { // its meter has begun anew
			old = Report{}
		}
		p.last[r.Share] = r
		took := min(r.Took-old.Took, uint64(r.Late)+1) // what came while it had nothing to report is mostly long past
		s.Took += took
		s.Away += r.Away - old.Away
		s.Over += r.Over - old.Over
		d.count(r.Share).took += took
	}
}

// Gone forgets a router of this zone.
func (d *Dealer) Gone(router string) { delete(d.routers, router) }

// Zone takes another zone's sums.
func (d *Dealer) Zone(now int64, zone string, sums []Sum, loads []Load) {
	p := d.zones[zone]
	if p == nil {
		p = &party{sums: map[string]Sum{}, took: map[string]uint64{}}
		d.zones[zone] = p
	}
	if p.until = 0; loads != nil {
		p.loads = loads
	}
	p.sums = make(map[string]Sum, len(sums))
	for _, s := range sums {
		if _, stands := d.shares[s.Share]; !stands || !(s.Want >= 0 && s.Want < 1e9) {
			continue
		}
		p.sums[s.Share] = s
		if old, known := p.took[s.Share]; known && s.Took >= old {
			d.count(s.Share).took += s.Took - old
		}
		p.took[s.Share] = s.Took
	}
}

// Lost notes that a zone's control process isn't heard any more: what it wanted last is kept for it for a while.
func (d *Dealer) Lost(now int64, zone string) {
	if p := d.zones[zone]; p != nil && p.until == 0 {
		p.until = now + Held
	}
}

func (d *Dealer) count(share string) *total {
	t := d.totals[share]
	if t == nil {
		t = &total{}
		d.totals[share] = t
	}
	return t
}

// used is what all zones took of a share within the last Window.
func (t *total) used(now int64) float64 {
	for len(t.before) > 0 && now-t.before[0].at > Window {
		t.before = t.before[1:]
	}
	t.before = append(t.before, struct {
		at   int64
		took uint64
	}{now, t.took})
	return float64(t.took - t.before[0].took)
}

// live are the shares that anybody tells of or has told of, by name: the others, most of them where there are many, have
// nothing to be dealt and cost nothing.
func (d *Dealer) live() []string {
	names := map[string]bool{}
	for _, p := range d.routers {
		for name := range p.reports {
			names[name] = true
		}
	}
	for _, p := range d.zones {
		for name := range p.sums {
			names[name] = true
		}
	}
	for name := range d.own {
		names[name] = true
	}
	for name := range d.evened {
		names[name] = true
	}
	for name := range d.totals {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Deal is for every DealEvery: it works out what each router of this zone has, and tells what is new to each. parties whose
// time is over go.
func (d *Dealer) Deal(now int64) (news map[string][]Allotment) {
	maps.DeleteFunc(d.zones, func(_ string, p *party) bool { return p.until != 0 && now >= p.until })
	news = map[string][]Allotment{}
	for _, name := range d.live() {
		s, there := d.shares[name]
		if !there || s.Watch {
			continue
		}
		limit := d.limit(s)
		own, all, short := 0.0, 0.0, false
		for _, p := range d.routers {
			own += p.reports[name].Want
			short = short || p.reports[name].Short
		}
		if sum := d.own[name]; sum != nil {
			sum.Want, sum.Short, sum.Dealt = own, short, 0
		}
		all = own
		for _, p := range d.zones {
			all += p.sums[name].Want
			short = short || p.sums[name].Short
		}
		if all == 0 && d.evened[name] == 0 && d.totals[name] == nil { // nobody has reported it
			continue
		}
		d.evened[name] += (all - d.evened[name]) * 0.1 // over some two seconds
		if short || d.evened[name] > limit {
			d.pressed[name] = now
		}
		at, pressing := d.pressed[name]
		used, raw := d.count(name).used(now), 0.0
		if pressing = pressing && now-at < calm; !pressing { // where any router sees the caller often all are told what all took
			delete(d.parts, name)
			delete(d.pressed, name)
			for router, p := range d.routers {
				if all == 0 {
					delete(p.said, name)
					delete(p.saidAt, name)
				} else if now-p.saidAt[name] >= renew || !p.said[name].Calm {
					a := Allotment{Share: name, Used: math.Round(used), Calm: true}
					p.said[name], p.saidAt[name] = a, now
					news[router] = append(news[router], a)
				}
			}
			continue
		}
		if all > 0 {
			raw = (1 - Even) * limit * own / all
		}
		part := d.least(name, now, raw)
		if sum := d.own[name]; sum != nil {
			sum.Dealt = round(part)
		}
		for router, p := range d.routers {
			a := Allotment{Share: name, Used: math.Round(used)}
			if r := p.reports[name]; own > 0 {
				a.Rate = round(part * r.Want / own)
			}
			old, said := p.said[name]
			if since := now - p.saidAt[name]; !said || old.Calm || since >= renew || a.Rate < old.Rate*0.98 || a.Rate > old.Rate*1.05 ||
				math.Abs(a.Used-old.Used) > 0.02*limit*float64(Window/second) {
				p.said[name], p.saidAt[name] = a, now
				news[router] = append(news[router], a)
			}
		}
	}
	return news
}

// round keeps three figures, downwards.
func round(x float64) float64 {
	if x <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(x))-2)
	return math.Floor(x/unit) * unit
}

// least is the least part that this zone has had of late; of a caller that has only begun to press it had none.
func (d *Dealer) least(share string, now int64, raw float64) float64 {
	points := d.parts[share]
	if len(points) == 0 {
		points = append(points, point{now, 0})
	}
	points = append(points, point{now, raw})
	for len(points) > 1 && now-points[1].at >= Settling { // the one before the window's first still held in it
		points = points[1:]
	}
	d.parts[share] = points
	part := raw
	for _, x := range points {
		part = min(part, x.part)
	}
	return part
}

// Sums is what the other zones are to know now.
func (d *Dealer) Sums() (sums []Sum, loads []Load) {
	for _, name := range slices.Sorted(maps.Keys(d.own)) {
		if _, pressing := d.pressed[name]; pressing || d.own[name].Want > 0 {
			sums = append(sums, *d.own[name])
		}
	}
	return sums, d.loads()
}

// loads are this zone's, by service.
func (d *Dealer) loads() (loads []Load) {
	byService := map[string]Load{}
	for _, p := range d.routers {
		for _, l := range p.loads {
			x := byService[l.Service]
			byService[l.Service] = Load{l.Service, x.Answers + l.Answers, x.Work + l.Work}
		}
	}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		loads = append(loads, byService[service])
	}
	return loads
}

// limit is how many requests a second a share has at present.
func (d *Dealer) limit(s manifest.Share) float64 {
	if s.Part == 0 {
		return s.PerS
	}
	return max(s.PerS, s.Part*d.Carries(s.Service))
}

// Carries is how many requests a second the hosts of a service can answer at present, by their slots and by how long answers
// took all routers of late; 0 where nothing is known.
func (d *Dealer) Carries(service string) float64 {
	all := d.loads()
	for _, p := range d.zones {
		all = append(all, p.loads...)
	}
	answers, work := 0.0, 0.0
	for _, l := range all {
		if l.Service == service {
			answers += l.Answers
			work += l.Work
		}
	}
	if answers < 0.5 || work <= 0 {
		return 0
	}
	return round(float64(d.slots[service]) * answers / work)
}

// CarriesAll is that of all services that have shares, where it is known.
func (d *Dealer) CarriesAll() map[string]float64 {
	all := map[string]float64{}
	for _, service := range d.serve {
		if x := d.Carries(service); x > 0 {
			all[service] = x
		}
	}
	return all
}

// Census takes the callers that a router has counted.
func (d *Dealer) Census(now int64, service string, all []Count) {
	h := d.hours[service]
	if h == nil {
		h = NewHours(1000)
		d.hours[service] = h
	}
	h.Add(now, all)
}

// State is a share as operators see it at one control process.
type State struct {
	Share   string      `json:"share"`
	Service string      `json:"service"`
	Caller  string      `json:"caller"`
	Limit   float64     `json:"limit"` // requests a second
	Used    float64     `json:"used"`  // of late, over all zones, requests a second
	Zones   []ZoneState `json:"zones"`
}

// ZoneState is one zone's part of a share.
type ZoneState struct {
	Zone  string  `json:"zone"`
	Want  float64 `json:"want"`  // requests a second
	Dealt float64 `json:"dealt"` // beside its even part
	Away  uint64  `json:"away"`  // sent away since its control process began
	Over  uint64  `json:"over"`  // taken though the caller was over its share
}

// States are all shares, by name.
func (d *Dealer) States(now int64, zone string) (all []State) {
	for _, name := range slices.Sorted(maps.Keys(d.shares)) {
		s := d.shares[name]
		x := State{Share: name, Service: s.Service, Caller: s.Caller, Limit: d.limit(s)}
		if t := d.totals[name]; t != nil && len(t.before) > 0 {
			x.Used = float64(t.took-t.before[0].took) / max(1, float64(now-t.before[0].at)/float64(second))
		}
		if o := d.own[name]; o != nil {
			x.Zones = append(x.Zones, ZoneState{zone, o.Want, o.Dealt, o.Away, o.Over})
		}
		for z, p := range d.zones {
			if o, there := p.sums[name]; there {
				x.Zones = append(x.Zones, ZoneState{z, o.Want, o.Dealt, o.Away, o.Over})
			}
		}
		slices.SortFunc(x.Zones, func(a, b ZoneState) int { return strings.Compare(a.Zone, b.Zone) })
		all = append(all, x)
	}
	return all
}

// Hour is a service's callers of the last hour, as the routers of this zone counted them.
func (d *Dealer) Hour(now int64) map[string][]Caller {
	all := map[string][]Caller{}
	for service, h := range d.hours {
		all[service] = h.All(now)
	}
	return all
}
