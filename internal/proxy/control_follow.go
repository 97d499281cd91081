package proxy

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"
)

const (
	controlRetryInterval = 50 * time.Millisecond   // between two rounds of following
	avoidDuration        = 3 * time.Second         // for which a control process that failed is asked after the others
	nearerCheckInterval  = 1500 * time.Millisecond // between two checks for a nearer control process
)

// avoidList is until when control processes that failed are asked after the others, by IP.
type avoidList map[string]time.Time

// add notes that a control process has failed.
func (a avoidList) add(ip string, why error) {
	klog.InfoS("line ended", "to", ip, "why", why)
	a[ip] = time.Now().Add(avoidDuration)
}

// has reports whether a control process failed of late.
func (a avoidList) has(ip string) bool { return time.Now().Before(a[ip]) }

// followControl follows the nearest control process that is usable, until the process's context ends.
func (p *Proxy) followControl() {
	avoid := avoidList{}
	for p.ctx.Err() == nil {
		p.dropStaleSnapshot()
		if ips := p.controlCandidates(); len(ips) > 0 {
			slices.SortStableFunc(ips, func(a, b string) int { // those that failed lately come last
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

// followFrom follows a control process, and whichever nearer ones take its place, until the link to the last one ends.
func (p *Proxy) followFrom(ip string, avoid avoidList) {
	link, err := p.dialControl(p.ctx, ip, false)
	if err != nil {
		avoid.add(ip, err)
		return
	}
	for link != nil {
		nearer := p.waitForNearer(link, avoid)
		if why := <-link.ended; nearer != nil {
			klog.InfoS("line ended", "to", link.ip, "why", why)
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

// waitForNearer dials, every so often, a control process that is nearer than the one that is followed: a proxy that starts knows the
// seed nodes only, and would otherwise follow one of another region for good. It returns the link that replaces this one, or nil once
// this one has ended.
func (p *Proxy) waitForNearer(link *controlLink, avoid avoidList) *controlLink {
	t := time.NewTicker(nearerCheckInterval)
	defer t.Stop()
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	go func() { // ends with the link or this function
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

// nearerControl is the nearest control process that is nearer than one and hasn't failed of late.
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

// tryNearer dials a control process beside the link that is followed, which ends only once the nearer one has said that it is complete
// and has a quorum: one that is cut off, behind or frozen costs the proxy nothing. It returns nil where the trial failed.
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
		case <-candidate.followed: // which ended the current one
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
