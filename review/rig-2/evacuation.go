package main

import (
	"context"
	"flag"
	"fmt"
	"syscall"
	"time"
)

var freezeFor = flag.Duration("freeze", 2*time.Second, "how long the process stands still")

// staleEvacuation: an order that the operator gave up after a second of silence is carried out when the frozen control process that it was
// sent to runs on, although newer orders have been acknowledged since.
func staleEvacuation(rec *record, trouble bool) (int, string) {
	const (
		contact    = 5 * time.Second // contact-s
		evacuation = 5 * time.Second // evacuation-s
		watch      = 6 * time.Second // how long the zone is watched once the bounds have passed
	)
	c, err := startCluster(rec, []string{"r1", "r2", "r3"})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return failed, err.Error()
	}
	seen := &arrivals{}
	for n, m := range append(c.machines, c.machines...) {
		h, err := c.startHost(m, n, "v1", 60*time.Millisecond, seen)
		if err != nil {
			return failed, err.Error()
		}
		defer h.stop()
	}
	if err := c.configure(5.4); err != nil {
		return failed, err.Error()
	}
	if err := c.awaitReady(); err != nil {
		return failed, err.Error()
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := c.newClients()
	defer k.done.Wait()
	defer cancel()
	for _, m := range c.machines {
		k.run(ctx, m, 15, "/look/1", "GET")
	}
	time.Sleep(3 * time.Second)

	const zone, frozen = 2, 1 // the zone that is evacuated and the machine whose control process stands still
	name := c.machines[zone].zone
	if _, ok := c.order("evacuation.begin", name, nil, 0); !ok {
		return failed, "the first evacuation was not acknowledged"
	}
	time.Sleep(evacuation)
	if n := reached(k, seen, name, time.Now().Add(-500*time.Millisecond), nil, rec); n > 0 {
		return failed, fmt.Sprintf("%d requests reached hosts of %s before the disruption", n, name)
	}
	stopped := c.machines[frozen].control
	if trouble {
		if err := stopped.signal(syscall.SIGSTOP); err != nil {
			return failed, err.Error()
		}
		rec.printf("%s stands still", stopped.name)
		time.Sleep(100 * time.Millisecond) // until all its threads have stopped
		resume := time.AfterFunc(*freezeFor-100*time.Millisecond, func() {
			_ = stopped.signal(syscall.SIGCONT)
			rec.printf("%s runs on", stopped.name)
		})
		defer resume.Stop()
	}
	calmAt := time.Now().Add(*freezeFor)
	if _, ok := c.order("evacuation.finish", name, nil, frozen); !ok {
		return failed, "the end of the evacuation was not acknowledged"
	}
	time.Sleep(700 * time.Millisecond)
	if _, ok := c.order("evacuation.begin", name, nil, 0); !ok {
		return failed, "the second evacuation was not acknowledged"
	}
	acknowledged := time.Now()
	from := acknowledged.Add(evacuation)
	if calm := calmAt.Add(contact); calm.After(from) {
		from = calm
	}
	from = from.Add(500 * time.Millisecond)
	time.Sleep(time.Until(from) + watch)
	cancel()
	k.done.Wait()
	n := reached(k, seen, name, from, c.machines[frozen], rec)
	late := fmt.Sprintf("%d requests, sent from %.1f s after the acknowledgement of the evacuation of %s on, reached hosts of this zone through machines in touch",
		n, from.Sub(acknowledged).Seconds(), name)
	if n > 0 {
		return broken, late
	}
	return held, late
}

// reached counts the requests that were sent after a moment, taken by another machine than except, and reached a host of the zone that did
// not answer 421.
func reached(k *clients, seen *arrivals, zone string, after time.Time, except *machine, rec *record) (n int) {
	for _, x := range seen.snapshot() {
		t, known := k.look(x.id)
		if x.host.zone != zone || x.rejected || !known || t.sent.Before(after) || t.proxy == except {
			continue
		}
		if n++; n <= 10 {
			rec.printf("request %s, sent at %.3f through the proxy of %s, reached %s at %.3f",
				x.id, t.sent.Sub(rec.since).Seconds(), t.proxy.zone, x.host.id, x.at.Sub(rec.since).Seconds())
		}
	}
	return n
}
