package main

import (
	"context"
	"fmt"
	"sort"
	"syscall"
	"time"
)

// coldHost: a proxy that stood still runs on and sends its waiting requests to a host that has turned cold meanwhile, on top of those that
// the other proxies send there.
func coldHost(rec *record, trouble bool) (int, string) {
	const (
		perSecond = 5.4 // cold-per-s
		overrun   = 1.5 // cold-overrun
		slack     = 5.0 // cold-slack
		coldFor   = 3 * time.Second
		coldAfter = 2000 * time.Millisecond // from the freeze until the host turns cold
		freeze    = 3 * time.Second
	)
	c, err := startCluster(rec, []string{"r1", "r1", "r2"})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return failed, err.Error()
	}
	seen := &arrivals{}
	var cold *host
	for n, m := range []*machine{c.machines[0], c.machines[2], c.machines[2], c.machines[2]} {
		h, err := c.startHost(m, n, "v1", 10*time.Millisecond, seen)
		if err != nil {
			return failed, err.Error()
		}
		defer h.stop()
		if n == 0 {
			cold = h
		}
	}
	if err := c.configure(perSecond); err != nil {
		return failed, err.Error()
	}
	if err := c.awaitReady(); err != nil {
		return failed, err.Error()
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := c.newClients()
	defer k.done.Wait()
	defer cancel()
	for i, m := range c.machines {
		k.run(ctx, m, []float64{90, 15, 15}[i], "/look/1", "GET")
	}
	time.Sleep(8 * time.Second)

	frozen := c.machines[0].proxy
	c.machines[0].still.Store(trouble)
	if trouble {
		if err := frozen.signal(syscall.SIGSTOP); err != nil {
			return failed, err.Error()
		}
		rec.printf("%s stands still", frozen.name)
		resume := time.AfterFunc(freeze, func() {
			c.machines[0].still.Store(false)
			_ = frozen.signal(syscall.SIGCONT)
			rec.printf("%s runs on", frozen.name)
		})
		defer resume.Stop()
	}
	began := time.Now()
	time.Sleep(coldAfter)
	until := time.Now().Add(coldFor)
	cold.coldUntil.Store(until.UnixNano())
	cold.beat <- struct{}{}
	for cold.ackedCold.Load() != until.UnixNano() {
		if time.Now().After(until) {
			return failed, "the heartbeat of the cold host was not acknowledged"
		}
		time.Sleep(5 * time.Millisecond)
	}
	told := time.Now()
	rec.printf("host %s is cold for %.2f s more; its heartbeat is acknowledged", cold.id, time.Until(until).Seconds())
	time.Sleep(time.Until(began.Add(freeze + 3*time.Second)))
	cancel()
	k.done.Wait()

	// the seconds that begin half a second after the acknowledgement or later and end while the host is cold
	type event struct{ sent, at time.Time }
	var all []event
	for _, x := range seen.snapshot() {
		t, known := k.look(x.id)
		if x.host != cold || x.rejected || !known || x.at.After(until) || x.at.Before(told) {
			continue
		}
		all = append(all, event{t.sent, x.at})
		rec.printf("request %s, sent at %.3f to the proxy of %s, reached the cold host at %.3f",
			x.id, t.sent.Sub(rec.since).Seconds(), t.proxy.zone, x.at.Sub(rec.since).Seconds())
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	most := 0
	for _, last := range all {
		from := last.at.Add(-time.Second)
		if from.Before(told.Add(500 * time.Millisecond)) {
			continue
		}
		n := 0
		for _, e := range all {
			if e.sent.After(from) && !e.at.After(last.at) {
				n++
			}
		}
		most = max(most, n)
	}
	limit := perSecond*overrun + slack
	why := fmt.Sprintf("the cold host got up to %d requests that were sent and arrived within one second; the bound is %.1f", most, limit)
	if float64(most) > limit {
		return broken, why
	}
	return held, why
}
