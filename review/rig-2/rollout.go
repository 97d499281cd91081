package main

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

// repeatedRollout: after a rollout was rolled back because its version was bad, the operator mends the hosts of that version and orders the same
// rollout once more. The order is acknowledged, and nothing comes of it.
func repeatedRollout(rec *record, trouble bool) (int, string) {
	const (
		acknowledge = 6 * time.Second // acknowledge-s
		duration    = 12              // duration-s, seconds
	)
	c, err := startCluster(rec, []string{"r1", "r2", "r3"})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return failed, err.Error()
	}
	seen := &arrivals{}
	n := 0
	startAll := func(version string, bad bool) (hosts []*host, err error) {
		for _, m := range append(c.machines, c.machines...) {
			h, err := c.startHost(m, n, "desk", version, 60*time.Millisecond, seen)
			if err != nil {
				return hosts, err
			}
			h.bad.Store(bad)
			hosts = append(hosts, h)
			n++
		}
		return hosts, nil
	}
	old, err := startAll("v1", false)
	defer stopAll(old)
	if err != nil {
		return failed, err.Error()
	}
	if err := c.configure(); err != nil {
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
		k.run(ctx, m, 40, "/look/1", "GET")
	}
	time.Sleep(3 * time.Second)

	order := []byte(fmt.Sprintf(`{"service":"desk","target-version":"v2","duration-s":%d}`, duration))
	if _, ok := c.order("rollouts.begin", "", order, 0); !ok {
		return failed, "the first rollout was not acknowledged"
	}
	first := time.Now()
	next, err := startAll("v2", trouble)
	defer stopAll(next)
	if err != nil {
		return failed, err.Error()
	}
	state := ""
	for state != "rolled_back" && state != "completed" {
		if time.Since(first) > (duration+3)*time.Second {
			return failed, "the first rollout did not end: " + state
		}
		time.Sleep(500 * time.Millisecond)
		state = c.rolloutState()
	}
	rec.printf("the first rollout is %s %.1f s after its acknowledgement", state, time.Since(first).Seconds())
	if trouble != (state == "rolled_back") {
		return failed, "the first rollout is " + state
	}
	if state == "rolled_back" { // the bad hosts are replaced by good ones of the same version
		stopAll(next)
		mended, err := startAll("v2", false)
		defer stopAll(mended)
		if err != nil {
			return failed, err.Error()
		}
	}
	time.Sleep(time.Until(first.Add(acknowledge + time.Second))) // no copy of the first order is sent any more
	if _, ok := c.order("rollouts.begin", "", order, 0); !ok {
		return failed, "the second rollout was not acknowledged"
	}
	second := time.Now()
	rec.printf("the second rollout is acknowledged %.1f s after the first one", second.Sub(first).Seconds())
	states := map[string]int{}
	for time.Since(second) < (duration+2)*time.Second {
		states[c.rolloutState()]++
		time.Sleep(200 * time.Millisecond)
	}
	trial := 0
	for _, x := range seen.snapshot() {
		if x.host.getVersion() == "v2" && x.at.After(second) && !x.rejected {
			trial++
		}
	}
	rec.printf("states read within %d s after the second acknowledgement: %v; requests that reached hosts of v2: %d", duration+2, states, trial)

	// the closing fault: all processes of the core are killed and back within a second
	for _, m := range c.machines {
		_ = m.control.signal(syscall.SIGKILL)
		_ = m.control.cmd.Wait()
	}
	rec.printf("all control processes are killed")
	time.Sleep(500 * time.Millisecond)
	for _, m := range c.machines {
		m.control.out.Close()
		if m.control, err = c.start(m, "control"); err != nil {
			return failed, err.Error()
		}
	}
	rec.printf("all control processes are started again")
	state = ""
	for began := time.Now(); state == "" && time.Since(began) < 10*time.Second; time.Sleep(500 * time.Millisecond) {
		state = c.rolloutState()
	}
	rec.printf("the rollout is read back as %q", state)
	why := fmt.Sprintf("states after the second acknowledgement: %v, read back at the end: %s, requests at hosts of v2: %d", states, state, trial)
	if states["running"]+states["completed"] == 0 && trial == 0 && state != "running" && state != "completed" {
		return broken, "the acknowledged rollout does not exist; " + why
	}
	return held, why
}

func stopAll(hosts []*host) {
	for _, h := range hosts {
		h.stop()
	}
}

// rolloutState reads the state of the rollout of the service, "" if no control process answers.
func (c *cluster) rolloutState() string {
	for _, m := range c.machines {
		status, answer, err := once(m.address(), "rollouts.read", "desk", nil)
		var reply struct {
			State string `json:"server-state"`
		}
		if err == nil && status == 200 && json.Unmarshal(answer, &reply) == nil {
			return reply.State
		}
	}
	return ""
}
