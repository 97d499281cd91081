package proxy

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	controlRetryInterval = 50 * time.Millisecond   // pause before reconnecting
	avoidDuration        = 3 * time.Second         // time after a failure in which a control process is tried last
	nearerCheckInterval  = 1500 * time.Millisecond // time between two checks for a nearer control process
)

// avoidList maps the IP of each control process that failed to the time until which it is tried after the others.
type avoidList map[string]time.Time

// add records that a control process failed.
func (a avoidList) add(ip string, why error) {
	klog.InfoS("control connection ended", "to", ip, "why", why)
	a[ip] = time.Now().Add(avoidDuration)
}

// has reports whether a control process failed within the last avoidDuration.
func (a avoidList) has(ip string) bool { return time.Now().Before(a[ip]) }

// followControl keeps this proxy connected to the nearest usable control process until the proxy's context is done.
func (p *Proxy) followControl() {
	avoid := avoidList{}
	for p.ctx.Err() == nil {
		p.dropStaleSnapshot()
		if ips := p.controlCandidates(); len(ips) > 0 {
			slices.SortStableFunc(ips, func(a, b string) int { // recently failed ones last
				return boolInt(avoid.has(a)) - boolInt(avoid.has(b))
			})
			p.followFrom(ips[0], avoid)
		}
		select {
		case <-time.After(controlRetryInterval):
		case <-p.ctx.Done():
		}
	}
}

// followFrom follows the control process at ip, and the nearer ones that replace it. It returns once a link ends without a replacement.
func (p *Proxy) followFrom(ip string, avoid avoidList) {
	link, err := p.dialControl(p.ctx, ip, false)
	if err != nil {
		avoid.add(ip, err)
		return
	}
	for link != nil {
		nearer := p.waitForNearer(link, avoid)
		if why := <-link.ended; nearer != nil {
			klog.InfoS("control connection ended", "to", link.ip, "why", why)
		} else {
			avoid.add(link.ip, why)
		}
		link = nearer
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// waitForNearer periodically tries to switch to a control process that is nearer than the followed one. A new proxy knows only the seed
// nodes and might otherwise follow a control process of another region forever. It returns the link that has replaced the given one, or
// nil once the given one has ended.
func (p *Proxy) waitForNearer(link *controlLink, avoid avoidList) *controlLink {
	t := time.NewTicker(nearerCheckInterval)
	defer t.Stop()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	go func() { // ends with link or when this function returns
		select {
		case <-link.stream.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		select {
		case <-t.C:
		case <-link.stream.Done():
			return nil
		}
		ip, found := p.nearerControl(link.ip, avoid)
		if !found {
			continue
		}
		if nearer := p.tryNearer(ctx, ip, link, avoid); nearer != nil {
			return nearer
		}
	}
}

// nearerControl returns the nearest control process that is nearer than current and hasn't failed recently.
func (p *Proxy) nearerControl(current string, avoid avoidList) (ip string, found bool) {
	distance := p.controlDistances()
	for _, ip := range p.controlCandidates() {
		if distance(ip) >= distance(current) {
			return "", false
		}
		if !avoid.has(ip) {
			return ip, true
		}
	}
	return "", false
}

// tryNearer connects to a nearer control process while the proxy still follows the current one. The proxy switches only once the nearer
// one reports a complete state and a quorum, so that nothing is lost if it is partitioned, catching up or unresponsive. It returns nil if
// the proxy hasn't switched.
func (p *Proxy) tryNearer(ctx context.Context, ip string, current *controlLink, avoid avoidList) *controlLink {
	candidate, err := p.dialControl(ctx, ip, true)
	if err == nil {
		select {
		case <-candidate.followed:
			return candidate
		case <-current.stream.Done():
		case err = <-candidate.ended:
		}
		select {
		case <-candidate.followed: // the switch has closed current
			return candidate
		default:
		}
		candidate.stream.Close(errNotUsable)
	}
	if err != nil && ctx.Err() == nil {
		avoid.add(ip, err)
	}
	return nil
}
