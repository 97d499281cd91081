package update

import (
	"slices"
	"strings"
)

// Proxy is the state of a proxy, as published by the control process that it subscribes to.
type Proxy struct {
	Name          string `json:"n"`
	Zone          string `json:"z"`
	IP            string `json:"p"`
	Address       string `json:"a"` // host and port at which it serves clients
	Ready         bool   `json:"r,omitempty"`
	LacksCapacity bool   `json:"h,omitempty"` // its zone lacks capacity, so that it may use spare capacity of other zones
	Gone          bool   `json:"g,omitempty"` // it no longer subscribes to Owner
	RegisteredAt  int64  `json:"s"`           // on Owner's clock in nanoseconds, raised if needed so that a later registration is greater
	Revision      int    `json:"c,omitempty"` // number of changes since the registration
	Owner         string `json:"o"`           // name of the control process that it subscribes to
}

// Supersedes reports whether p takes precedence over other, which has the same name.
func (p Proxy) Supersedes(other Proxy) bool {
	switch {
	case p.RegisteredAt != other.RegisteredAt:
		return p.RegisteredAt > other.RegisteredAt
	case p.Revision != other.Revision:
		return p.Revision > other.Revision
	}
	return p.Gone && !other.Gone
}

// ReadyProxies returns the proxies that are ready and not gone, sorted by name. A proxy's rank is its index in the result.
func ReadyProxies(proxies map[string]Proxy) (ready []Proxy) {
	for _, proxy := range proxies {
		if proxy.Ready && !proxy.Gone {
			ready = append(ready, proxy)
		}
	}
	slices.SortFunc(ready, func(a, b Proxy) int { return strings.Compare(a.Name, b.Name) })
	return ready
}
