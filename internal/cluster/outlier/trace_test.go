package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// Pins the reports and ejections that follow from random requests of four proxies to ten hosts, two of which sometimes fail or do not answer.
// The digests depend on the field order of Stats and Ejection, not on names.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"1e2b600797a64226", "cdf4eb8e121535a3", "fdf0e7db5c19a826", "026fd28f6ccaee35"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		var recorders [4]*Recorder
		for i := range recorders {
			recorders[i] = NewRecorder()
		}
		var hosts []Candidate
		for h := range 10 {
			hosts = append(hosts, Candidate{fmt.Sprint("h", h), "desk"})
		}
		type request struct {
			proxy  int
			id     string
			sentAt int64
			fails  bool
		}
		var pending []request
		detector := NewDetector()
		now := 1000 * second
		ejections := map[string]Ejection{}
		for round := range 60 {
			for range 20 + draw.IntN(40) {
				now += ReportInterval / 60
				h := draw.IntN(10)
				sent := request{draw.IntN(4), fmt.Sprint("h", h), now, h < 2 && draw.IntN(3) == 0}
				recorders[sent.proxy].RequestSent(now, sent.id)
				pending = append(pending, sent)
				if chosen := draw.IntN(len(pending)); len(pending) > 10 {
					ended := pending[chosen]
					pending = append(pending[:chosen], pending[chosen+1:]...)
					outcome := Outcome(draw.IntN(20) / 19 * 2)
					if ended.fails {
						outcome = Failure
					}
					if !ended.fails || draw.IntN(4) > 0 {
						recorders[ended.proxy].RequestEnded(now, ended.id, ended.sentAt, outcome)
					}
				}
			}
			for i, recorder := range recorders {
				stats := recorder.Report(now)
				d.Add(stats)
				detector.AddReport(now, fmt.Sprint("router", i), "desk", stats)
			}
			switch draw.IntN(30) {
			case 0:
				detector.RemoveRouter("router1")
			case 1:
				recorders[2].RemoveHost("h1")
			}
			for _, ejection := range detector.Detect(now, hosts) {
				d.Add(ejection, ejection.Supersedes(ejections[ejection.ID]))
				ejections[ejection.ID] = ejection
			}
			d.Add(detector.Idle(), MaxEjected(round))
		}
	})
}
