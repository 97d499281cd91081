package simulation

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/samber/lo"
)

// runEvacuations begins and ends evacuations of z0, and reads their state from random processes.
func (rc *recorder) runEvacuations() {
	for !rc.finished() {
		rc.sleepBetween(400, 2500)
		var both sync.WaitGroup
		for operator := range 1 + max(0, rc.intn(4)-2) { // one operator, or both at once
			begin := rc.intn(2) == 0
			attempts := 1 + rc.intn(2)
			both.Go(func() {
				at := rc.intn(len(rc.cluster.Controls))
				for range attempts {
					if rc.sendEvacuation(operator, at, begin) {
						return
					}
					at = (at + 1) % len(rc.cluster.Controls)
				}
			})
		}
		both.Wait()
		for range 1 + rc.intn(2) {
			rc.readCluster(0, rc.intn(len(rc.cluster.Controls)))
		}
	}
}

// sendEvacuation sends one call that begins or ends the evacuation of z0, and reports whether it was confirmed.
func (rc *recorder) sendEvacuation(operator, at int, begin bool) bool {
	call := nowNanos()
	status, raw := rc.callOne(operator, at, lo.Ternary(begin, "evacuation.begin", "evacuation.finish"), "z0", nil)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if status/100 == 4 {
		rc.violation("rejected without cause", "evacuation got %d: %s", status, raw)
	}
	rc.evacuations = append(rc.evacuations, timedCall{call, lo.Ternary(status == 200, nowNanos(), never), evacuationOp{evacuated: begin, status: status}})
	return status == 200
}

// readCluster reads the cluster's status from one process, and records it if the process reports that it has a quorum.
func (rc *recorder) readCluster(operator, at int) {
	call := nowNanos()
	status, raw := rc.callOne(operator, at, "harbour.read", "", nil)
	var view struct {
		Standing  string
		Evacuated []string
	}
	if status != 200 || json.Unmarshal(raw, &view) != nil || view.Standing != "in touch" {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.evacuations = append(rc.evacuations, timedCall{call, nowNanos(), evacuationOp{read: true, evacuated: slices.Contains(view.Evacuated, "z0")}})
}
