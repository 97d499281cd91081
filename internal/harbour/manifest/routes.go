package manifest

import (
	"encoding/json"
	"math"
	"slices"
	"strings"

	"portflow/internal/harbour/papers"
)

// Route is a route as the data plane goes by it. Times are nanoseconds.
type Route struct {
	Name, Host, Prefix string
	Safe               bool // its requests may run more than once
	Timeout, Target    int64
	Rank               int // 0 is highest
	Split              []Weight
	Most               int // hosts that one try may be sent to
	Homes              []string
	Version            uint64
}

// Weight is one service's part of a route.
type Weight struct {
	Service string
	Weight  float64
}

// Service is a service as the data plane goes by it.
type Service struct {
	Name, Health string
	Connections  int
	ColdFor      int64
	ColdPerS     float64
	Version      uint64
}

// Bounds are what clients may send, and for how long.
type Bounds struct {
	Header, Body int
	HeaderFor    int64
	IdleFor      int64
}

const (
	longest  = 600.0 // seconds a route's timeout may be
	behind   = 60.0  // seconds that a target may lie over it, less than which
	farthest = 1e6   // of any other number
)

// ReadRoute reads and checks one route's fields.
func ReadRoute(r papers.Reader) Route {
	v := Route{Name: r.At("name").Text(), Host: strings.ToLower(r.At("host-name").Text()), Prefix: r.At("path-prefix").Text(),
		Timeout: r.At("timeout-s").Seconds(0, longest), Most: 1, Homes: r.At("home-regions").Texts()}
	if !strings.HasPrefix(v.Prefix, "/") {
		r.At("path-prefix").Fail("%q does not begin with a slash", v.Prefix)
	}
	switch kind := r.At("route-kind").Text(); kind {
	case "safe_method":
		v.Safe = true
	case "unsafe_method", "":
	default:
		r.At("route-kind").Fail("%q is neither safe_method nor unsafe_method", kind)
	}
	if v.Target = v.Timeout; r.At("target-s").There() {
		v.Target = r.At("target-s").Seconds(0, farthest)
	}
	if v.Target >= v.Timeout+int64(behind*1e9) {
		r.At("target-s").Fail("a minute or more over timeout-s")
	}
	if r.At("priority-level").There() {
		v.Rank = r.At("priority-level").Whole(0, 1000)
	}
	if r.At("maximum-attempts").There() {
		v.Most = max(1, r.At("maximum-attempts").Whole(0, 1000))
	}
	split := r.At("weighted-split")
	switch {
	case split.There() && r.At("service").There():
		split.Fail("beside a service")
	case split.There():
		sum := 0.0
		for _, x := range split.List() {
			w := Weight{x.At("service").Text(), x.At("share-weight").Number(0, farthest)}
			sum += w.Weight
			v.Split = append(v.Split, w)
		}
		if sum <= 0 {
			split.Fail("no weight above 0")
		}
	default:
		v.Split = []Weight{{r.At("service").Text(), 1}}
	}
	return v
}

// ReadService reads and checks one service's fields.
func ReadService(r papers.Reader) Service {
	v := Service{Name: r.At("name").Text(), Health: r.At("health-path").Text(), Connections: 1 << 20}
	if r.At("connection-limit").There() {
		v.Connections = r.At("connection-limit").Whole(1, 1<<20)
	}
	if !strings.HasPrefix(v.Health, "/") {
		r.At("health-path").Fail("%q does not begin with a slash", v.Health)
	}
	if p := r.At("protocol"); p.There() && p.Text() != "h1" {
		p.Fail("%q is not h1", p.Value())
	}
	if t := r.At("transport-security"); t.There() && t.Truth() {
		t.Fail("not spoken here")
	}
	if r.At("cold-start-s").There() {
		v.ColdFor = r.At("cold-start-s").Seconds(0, 86400)
	}
	if v.ColdPerS = math.Inf(1); r.At("cold-per-s").There() {
		v.ColdPerS = r.At("cold-per-s").Number(0, farthest)
	}
	return v
}

// HeaderMost is the highest header-bytes that may be set.
const HeaderMost = 1 << 30

// ReadLimits reads and checks the limits.
func ReadLimits(r papers.Reader) Bounds {
	return Bounds{Header: r.At("header-bytes").Whole(1, HeaderMost), Body: r.At("body-bytes").Whole(0, 1<<40),
		HeaderFor: r.At("header-timeout-s").Seconds(0.001, 86400), IdleFor: r.At("idle-timeout-s").Seconds(0.001, 86400)}
}

// Chart is a set as the data plane goes by it: a function of the set alone.
type Chart struct {
	places   map[string][]*Route // by host, the longest prefix first
	Routes   []*Route
	Services map[string]Service
	Shares   map[string][]Share // by service; nil where there is none
	Limits   Bounds
	Yielding []string // what stands in the set and is not in force, each with its reason

	callers uint64   // the sum of what the shares were drawn from
	outcast []string // those of Yielding that are shares
}

// Usual are the limits where none are told.
var Usual = Bounds{Header: 16 << 10, Body: 64 << 20, HeaderFor: 3e9, IdleFor: 15e9}

// Draw makes the chart. Items that are valid each by itself may not go together once sets are merged. Then this holds
// everywhere: a route to a service that doesn't stand yields, and of two routes with one place the one of the higher
// version holds, of one version the one whose name comes first.
func Draw(s *Set) *Chart { return (*Chart)(nil).Next(s) }

// Next is the chart of what a set has become since this one was drawn; the nil Chart is before all. Shares, of which there may be
// tens of thousands, are drawn anew only where one of them or a service has changed.
func (old *Chart) Next(s *Set) *Chart {
	c := &Chart{places: map[string][]*Route{}, Services: s.services(), Limits: Usual}
	if i, ok := s.Get(Key{Limits, Limits}); ok && !i.Dropped {
		r := papers.Read(i.Tree())
		if l := ReadLimits(r); r.Err() == nil {
			c.Limits = l
		}
	}
	byPlace := map[[2]string][]*reading{}
	for _, i := range s.Standing(Routes) {
		r := s.reading(i)
		if why := r.alone(func(service string) bool { _, ok := c.Services[service]; return ok }); why != "" {
			c.Yielding = append(c.Yielding, why)
			continue
		}
		byPlace[r.route.place()] = append(byPlace[r.route.place()], r)
	}
	for _, all := range byPlace {
		holds, yielding := contest(all)
		c.Yielding = append(c.Yielding, yielding...)
		v := *holds
		c.Routes = append(c.Routes, &v)
		c.places[v.Host] = append(c.places[v.Host], &v)
	}
	if c.callers = s.CallersSum(); old != nil && old.callers == c.callers {
		c.Shares, c.outcast = old.Shares, old.outcast
	} else {
		c.Shares, c.outcast = s.shares(c.Services)
	}
	c.Yielding = append(c.Yielding, c.outcast...)
	slices.Sort(c.Yielding)
	slices.SortFunc(c.Routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	for _, all := range c.places {
		slices.SortFunc(all, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// services are those that stand and can be read, by name.
func (s *Set) services() map[string]Service {
	all := map[string]Service{}
	for _, i := range s.Standing(Services) {
		if r := s.reading(i); r.err == nil {
			all[i.Name] = *r.service
		}
	}
	return all
}

// Route finds the route of a host and a path: the longest prefix.
func (c *Chart) Route(host, path string) *Route {
	for _, r := range c.places[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Tree is an item's body as a tree.
func (i Item) Tree() papers.Tree {
	t, _ := decode(i.Body).(papers.Tree)
	return t
}

func decode(raw []byte) any {
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return nil
	}
	return v
}
