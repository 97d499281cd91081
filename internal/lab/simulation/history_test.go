package simulation

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/random"
)

var printHistory = flag.Bool("show", false, "write a history down whose calls have no order that a model allows")

// historyCount returns the number of histories that TestHistories plays: the value of -histories if set, otherwise a default, which is
// lower with the race detector.
func historyCount() int {
	n := lo.Ternary(raceEnabled, 10, 240)
	flag.Visit(func(f *flag.Flag) {
		if f.Name == "histories" {
			n = *historyRuns
		}
	})
	return n
}

const (
	settleTime         = 6 * time.Second // after the last fault, until which calls without a definite response may still take effect
	workersPerOperator = 4               // concurrent calls of each operator
	maxChanges         = 90              // changes in one history, not counting those that resendAll adds
	rolloutSeconds     = 6               // duration of a rollout
	oneSecond          = int64(time.Second)
	// resendWindow is how long after a rollout's duration the call that began it is repeated at the latest. Together with the duration of
	// a call it is within acknowledge-s.
	resendWindow = 4 * oneSecond
)

// change is a change of one or more routes, which may be sent several times. Times are virtual, in Unix nanoseconds.
type change struct {
	id         int
	items      []content
	firstSent  int64      // time of the first call, 0 if it was never sent
	answeredAt int64      // time of the first definite response
	status     int        // of that response: 200, 409, or any other, which is a violation; 0 while there is none
	repeats    []response // definite responses after the first
}

// response is a definite response to a repeated call.
type response struct {
	calledAt, returnedAt int64
	status               int
}

// read is a read of the configuration that was answered with 200. Routes that are not configured have content and version 0.
type read struct {
	calledAt, returnedAt int64
	control              int
	contents             [routeCount]int16
	versions             [routeCount]uint64
}

// timedCall is a call that concerns an evacuation or a rollout.
type timedCall struct {
	calledAt, returnedAt int64
	op                   any
}

// history records one run: all calls and responses, the faults, and the violations found.
type history struct {
	seed        int
	contents    []content // by ID, from 1
	conflicts   int
	changes     []*change
	reads       []read
	evacuations []timedCall
	rollouts    []timedCall
	votedAt     []int64 // when proxies voted
	settledAt   int64   // settleTime after the last fault
	faults      []string
	violations  map[string][]string
	active      map[int16]string // proxy at which a content was in force, by content ID
}

func (hs *history) violation(kind, format string, args ...any) {
	hs.violations[kind] = append(hs.violations[kind], fmt.Sprintf(format, args...))
}

// recorder plays and records one history.
type recorder struct {
	*history
	cluster         *Cluster
	mu              sync.Mutex // guards history, rng and the fields below
	rng             random.Source
	version         uint64
	lastConfirmedBy int // process that confirmed a change last
	lastReadFrom    int // process that answered a read last
	done            bool
	clients         [2]*http.Client
	targets         int
}

func (rc *recorder) intn(n int) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return int(rc.rng.Float64() * float64(n))
}

func (rc *recorder) finished() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.done
}

func (rc *recorder) sleepBetween(from, to int) {
	time.Sleep(time.Duration(from+rc.intn(to-from)) * time.Millisecond)
}

func nowNanos() int64 { return time.Now().UnixNano() }

// callOne sends an operator's call to one control process. The status is 0 if there is no response.
func (rc *recorder) callOne(operator, at int, call, target string, body []byte) (status int, raw []byte) {
	status, raw, err := callRPC(context.Background(), rc.clients[operator], rc.cluster.controlAddress(at), call, target, body)
	if err != nil {
		return 0, nil
	}
	return status, raw
}

// playHistory plays one history and returns what was observed.
func playHistory(t *testing.T, seed int) *history {
	rc := &recorder{history: &history{seed: seed, contents: []content{{conflict: -1}}, violations: map[string][]string{}, active: map[int16]string{}},
		rng: random.Source{Seed: uint64(seed) * 7919}}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := Layout{Zones: lo.Ternary(seed%5 == 0, 3, 6), ProxiesPerZone: 1, Services: []string{"desk"}, Seed: uint64(seed), SkewClocks: seed%4 == 1}
		cluster := New(layout)
		cluster.Proxies = cluster.Proxies[:3]
		rc.cluster = cluster
		c.Assert(cluster.Start(), qt.IsNil)
		defer cluster.Stop()
		for i := range rc.clients {
			rc.clients[i] = cluster.httpClient(cluster.Network.Process(operatorIP(i)), time.Second)
			defer rc.clients[i].CloseIdleConnections()
		}
		probes := cluster.httpClient(cluster.Network.Process("10.200.0.13"), time.Second)
		defer probes.CloseIdleConnections()
		time.Sleep(2 * time.Second)
		configure(c, cluster, cluster.ChangeBody(true), 0)
		var operators, observers sync.WaitGroup
		stop := make(chan bool)
		observers.Go(func() { rc.watchProxies(stop, probes) })
		for i := range 2 * workersPerOperator {
			operators.Go(func() { rc.runWorker(i%2, &operators) })
		}
		operators.Go(rc.runEvacuations)
		operators.Go(rc.runRollouts)
		rc.injectFaults()
		rc.mu.Lock()
		rc.done = true
		rc.mu.Unlock()
		operators.Wait()
		time.Sleep(settleTime)
		rc.settledAt = nowNanos()
		before := rc.checkAgreement("settled")
		time.Sleep(2 * time.Second)
		if after := rc.checkAgreement("later"); after.contents != before.contents {
			rc.violation("changed after settling", "%v, then %v", before.contents, after.contents)
		}
		rc.resendAll()
		time.Sleep(time.Second)
		rc.checkAgreement("at the end")
		for at := range cluster.Controls {
			rc.readCluster(0, at)
			rc.readRollout(0, at)
		}
		close(stop)
		observers.Wait()
	})
	rc.checkHistory()
	return rc.history
}

func operatorIP(i int) string { return fmt.Sprintf("10.200.0.%d", 11+i) }

// Operators send random calls while faults are injected, and the recorded histories must be linearizable. -args -histories 10000 -from 1
// plays 10,000 of them; -show prints those that no model allows.
func TestHistories(t *testing.T) {
	var mu sync.Mutex
	counts, faults, injected := map[string]int{}, map[string][]int{}, map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := *firstSeed; seed < *firstSeed+historyCount(); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				hist := playHistory(t, seed)
				mu.Lock()
				defer mu.Unlock()
				for _, ch := range hist.changes {
					if ch.firstSent > 0 {
						counts[cmp.Or(map[int]string{0: "unclear", 200: "confirmed", 409: "refused"}[ch.status], "other")]++
					}
					counts["sent again"] += len(ch.repeats)
				}
				counts["readings"] += len(hist.reads)
				counts["evacuation calls"] += len(hist.evacuations)
				counts["rollout calls"] += len(hist.rollouts)
				for _, fault := range hist.faults {
					injected[fault[:strings.LastIndexByte(fault, ' ')]]++
				}
				for _, kind := range slices.Sorted(maps.Keys(hist.violations)) {
					faults[kind] = append(faults[kind], seed)
					t.Errorf("%s (%d times): %s; faults: %v", kind, len(hist.violations[kind]), hist.violations[kind][0], strings.Join(hist.faults, ", "))
				}
			})
		}
	})
	t.Log("calls", counts)
	t.Log("harms", injected)
	for _, kind := range slices.Sorted(maps.Keys(faults)) {
		slices.Sort(faults[kind])
		t.Logf("%s: %d histories, seeds %v", kind, len(faults[kind]), faults[kind][:min(20, len(faults[kind]))])
	}
}
