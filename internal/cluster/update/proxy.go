package update

import (
	"slices"
	"strings"
)

// Proxy is a proxy that carries traffic, as the control process that it subscribes to knows it.
type Proxy struct {
	Name          string `json:"n"`
	Zone          string `json:"z"`
	IP            string `json:"p"`
	Address       string `json:"a"` // where it serves clients
	Ready         bool   `json:"r,omitempty"`
	LacksCapacity bool   `json:"h,omitempty"` // its zone lacks capacity: it may use what other zones don't
	Gone          bool   `json:"g,omitempty"` // it doesn't subscribe to Owner any more
	RegisteredAt  int64  `json:"s"`           // Unix nanoseconds; a later registration supersedes an earlier one
	Revision      int    `json:"c,omitempty"` // counts the changes since the registration
	Owner         string `json:"o"`           // the control process that it subscribes to
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

// ReadyProxies returns the proxies that are ready, by name. A proxy's rank is its index.
func ReadyProxies(proxies map[string]Proxy) (ready []Proxy) {
	for _, proxy := range proxies {
		if proxy.Ready && !proxy.Gone {
			ready = append(ready, proxy)
		}
	}
	slices.SortFunc(ready, func(a, b Proxy) int { return strings.Compare(a.Name, b.Name) })
	return ready
}
