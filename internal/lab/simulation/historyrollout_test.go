package simulation

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"

	"portflow/internal/cluster/update"
	"portflow/internal/decision"
)

// runRollouts begins rollouts, at times two at once with the same or different target versions, reads their state from random processes
// and lets proxies vote.
func (rc *recorder) runRollouts() {
	previous, previousAt, accepted := "", int64(0), false // the first rollout of the previous round
	for !rc.finished() {
		rc.sleepBetween(300, 1500)
		rc.mu.Lock()
		rc.targets++
		n := rc.targets
		rc.mu.Unlock()
		first := fmt.Sprint("a", n)
		second := lo.Ternary(rc.intn(3) == 0, first, fmt.Sprint("b", n))
		var both sync.WaitGroup
		start, status := nowNanos(), 0
		both.Go(func() { status = rc.beginRollout(0, first, 1+rc.intn(3)) })
		if rc.intn(4) > 0 {
			both.Go(func() {
				time.Sleep(time.Duration(rc.intn(2)*rc.intn(300)) * time.Millisecond)
				rc.beginRollout(1, second, 1+rc.intn(3))
			})
		}
		both.Wait()
		if accepted && rc.intn(2) == 0 && nowNanos()-previousAt < rolloutSeconds*oneSecond+resendWindow && nowNanos()-start < resendWindow {
			rc.repeatRollout(previous)
		}
		previous, previousAt, accepted = first, start, status == 200
		if rc.intn(2) == 0 {
			rc.beginRollout(rc.intn(2), first, 1) // repeat the call
		}
		withoutVotes := rc.intn(2) == 0
		for k := range 26 {
			if rc.finished() {
				return
			}
			rc.sleepBetween(150, 350)
			if k >= 6 && !withoutVotes {
				rc.castVotes()
			}
			if rc.readRollout(rc.intn(2), rc.intn(len(rc.cluster.Controls))) && rc.intn(2) == 0 {
				break
			}
		}
	}
}

// castVotes lets all proxies vote, for or against, on the rollout that may be running.
func (rc *recorder) castVotes() {
	rc.mu.Lock()
	seen := map[string]bool{}
	for _, t := range rc.rollouts {
		if op := t.op.(rolloutOp); op.target != "" && (op.read || op.status == 200) {
			seen[op.target] = true
		}
	}
	rc.votedAt = append(rc.votedAt, nowNanos())
	rc.mu.Unlock()
	for _, px := range rc.cluster.Proxies {
		p := update.Vote{Service: "desk", Number: uint64(len(seen)), Verdict: uint8(lo.Ternary(rc.intn(3) == 0, decision.RollBack, decision.Advance))}
		rc.cluster.mu.Lock()
		running := px.Running
		rc.cluster.mu.Unlock()
		running.SendVote(p)
	}
}

// beginRollout sends a call that begins a rollout to one process after the other until there is a definite response, and returns its
// status, or 0. The attempts count as one call in the history, because a rollout to a target version begins only once.
func (rc *recorder) beginRollout(operator int, target string, attempts int) int {
	at := rc.intn(len(rc.cluster.Controls))
	op := rolloutOp{target: target, calledAt: nowNanos(), returnedAt: never}
	for range attempts {
		status, raw := rc.callOne(operator, at, "rollouts.begin", "", fmt.Appendf(nil, `{"service":"desk","target-version":%q,"duration-s":%d}`, target, rolloutSeconds))
		if status == 200 || status == 409 {
			op.status, op.returnedAt = status, nowNanos()
			break
		}
		if status/100 == 4 {
			rc.mu.Lock()
			rc.violation("rejected without cause", "rollout got %d: %s", status, raw)
			rc.mu.Unlock()
		}
		at = (at + 1) % len(rc.cluster.Controls)
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.rollouts = append(rc.rollouts, timedCall{op.calledAt, op.returnedAt, op})
	return op.status
}

// repeatRollout repeats a confirmed call that began a rollout, while another rollout may be running. It must not be rejected. As it
// begins nothing, it isn't recorded in the history.
func (rc *recorder) repeatRollout(target string) {
	at := rc.intn(len(rc.cluster.Controls))
	status, raw := rc.callOne(rc.intn(2), at, "rollouts.begin", "", fmt.Appendf(nil, `{"service":"desk","target-version":%q,"duration-s":%d}`, target, rolloutSeconds))
	if status/100 == 4 {
		rc.mu.Lock()
		defer rc.mu.Unlock()
		rc.violation("rejected after it was confirmed", "rollout to %s got %d: %s", target, status, raw)
	}
}

// readRollout reads the rollout's state from one process, and reports whether it has ended.
func (rc *recorder) readRollout(operator, at int) (ended bool) {
	call := nowNanos()
	status, raw := rc.callOne(operator, at, "rollouts.read", "desk", nil)
	var reply map[string]string
	op := rolloutOp{read: true, phase: "none", calledAt: call, returnedAt: nowNanos()}
	switch {
	case status == 200 && json.Unmarshal(raw, &reply) == nil:
		op.target, op.phase = reply["target-version"], reply["server-state"]
	case status != 404:
		return false
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.rollouts = append(rc.rollouts, timedCall{call, op.returnedAt, op})
	return op.phase != "running" && op.phase != "none"
}
