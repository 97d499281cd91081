package outlier

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// What four routers count of drawn requests to ten hosts, two of which fail or keep silent now and then, and which hosts are set
// aside for it, is what it was. The order of the fields of counts and judgements counts; names don't.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"1e2b600797a64226", "cdf4eb8e121535a3", "fdf0e7db5c19a826", "026fd28f6ccaee35"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		var logs [4]*Recorder
		for r := range logs {
			logs[r] = NewRecorder()
		}
		var hosts []Candidate
		for h := range 10 {
			hosts = append(hosts, Candidate{fmt.Sprint("h", h), "desk"})
		}
		type request struct {
			router int
			id     string
			at     int64
			bad    bool
		}
		var open []request
		w := NewDetector()
		now := 1000 * second
		judged := map[string]Ejection{}
		for look := range 60 {
			for range 20 + draw.IntN(40) {
				now += ReportInterval / 60
				h := draw.IntN(10)
				q := request{draw.IntN(4), fmt.Sprint("h", h), now, h < 2 && draw.IntN(3) == 0}
				logs[q.router].RequestSent(now, q.id)
				open = append(open, q)
				if which := draw.IntN(len(open)); len(open) > 10 {
					x := open[which]
					open = append(open[:which], open[which+1:]...)
					outcome := Outcome(draw.IntN(20) / 19 * 2)
					if x.bad {
						outcome = Failure
					}
					if !x.bad || draw.IntN(4) > 0 {
						logs[x.router].RequestEnded(now, x.id, x.at, outcome)
					}
				}
			}
			for r, log := range logs {
				counts := log.Report(now)
				d.Add(counts)
				w.AddReport(now, fmt.Sprint("router", r), "desk", counts)
			}
			switch draw.IntN(30) {
			case 0:
				w.RemoveRouter("router1")
			case 1:
				logs[2].RemoveHost("h1")
			}
			for _, j := range w.Detect(now, hosts) {
				d.Add(j, j.Supersedes(judged[j.ID]))
				judged[j.ID] = j
			}
			d.Add(w.Idle(), MaxEjected(look))
		}
	})
}
