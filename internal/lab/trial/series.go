package trial

import (
	"math/rand/v2"
	"slices"
	"time"
)

// seriesKind classifies signal series. Its values are keys of the report.
type seriesKind string

const (
	seriesReloads   seriesKind = "SIGHUP several times"
	seriesTerminate seriesKind = "SIGTERM"
	seriesInsist    seriesKind = "SIGTERM, then SIGHUP and SIGTERM again"
	seriesCutShort  seriesKind = "SIGTERM, then SIGKILL within the grace period"
	seriesKill      seriesKind = "SIGKILL"
	seriesCrashLoop seriesKind = "SIGKILL several times, also while starting"
	seriesFreeze    seriesKind = "SIGSTOP, then SIGCONT"
)

// seriesWeights are the relative frequencies of the kinds.
var seriesWeights = []weighted[seriesKind]{
	{seriesReloads, 3},
	{seriesTerminate, 6},
	{seriesInsist, 5},
	{seriesCutShort, 4},
	{seriesKill, 4},
	{seriesCrashLoop, 3},
	{seriesFreeze, 3},
}

// Bounds of the random times in a series.
const (
	minDowntime = 50 * time.Millisecond // between the exit of a process and its restart
	maxDowntime = 900 * time.Millisecond

	maxRepeats      = 4
	maxReloadPause  = 200 * time.Millisecond
	maxInsistPause  = 2 * time.Second
	maxCutShort     = 5 * time.Second
	maxStartTime    = 300 * time.Millisecond // after which a starting process is killed
	minFreeze       = 100 * time.Millisecond
	maxFreeze       = 4 * time.Second
	maxGroupProxies = 20 // proxies that a series concerns at most
)

// target is a process that a series concerns.
type target struct {
	control bool
	index   int // among the processes of its role
}

// signalStep is one signal of a series.
type signalStep struct {
	after time.Duration // since the previous step, or since the round began
	kind  SignalKind
}

// signalRound is what one incarnation of a process receives. If one of them ends the process, it is restarted after downtime.
type signalRound struct {
	steps    []signalStep
	downtime time.Duration
}

// series is a sequence of rounds that some processes go through at the same time, each for itself.
type series struct {
	at            time.Duration
	kind          seriesKind
	targets       []target
	rounds        []signalRound
	whileStarting bool // rounds begin without waiting until the process listens
}

// seriesDrawer draws series. It does no I/O: the same random source gives the same series.
type seriesDrawer struct {
	rng      *rand.Rand
	proxies  int
	controls int
}

// draw returns n series within a duration, sorted by time. They may overlap, also on one process, which then goes through one after the
// other.
func (d seriesDrawer) draw(n int, duration time.Duration) (all []series) {
	for range n {
		s := series{at: d.upTo(duration), kind: drawWeighted(d.rng, seriesWeights)}
		s.targets = d.drawTargets(s.kind)
		s.rounds = d.drawRounds(s.kind)
		s.whileStarting = s.kind == seriesCrashLoop
		all = append(all, s)
	}
	sortSeries(all)
	return all
}

// drawSingle returns n series of one signal to one process each, sorted by time.
func (d seriesDrawer) drawSingle(n int, duration time.Duration) (all []series) {
	kinds := []seriesKind{seriesReloads, seriesTerminate, seriesKill}
	for range n {
		s := series{at: d.upTo(duration), kind: kinds[d.rng.IntN(len(kinds))]}
		s.targets = []target{d.drawTarget()}
		s.rounds = d.drawRounds(s.kind)[:1]
		s.rounds[0].steps = s.rounds[0].steps[:1]
		all = append(all, s)
	}
	sortSeries(all)
	return all
}

func sortSeries(all []series) {
	slices.SortStableFunc(all, func(a, b series) int { return int(a.at - b.at) })
}

func (d seriesDrawer) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(limit)))
}

// drawTarget returns a control process in one of three cases, else a proxy.
func (d seriesDrawer) drawTarget() target {
	if d.rng.IntN(3) == 0 {
		return target{control: true, index: d.rng.IntN(d.controls)}
	}
	return target{index: d.rng.IntN(d.proxies)}
}

// drawTargets returns different processes of one role: one in half of all cases, else several, of the control processes up to all. Only
// control processes are frozen: what a frozen proxy does to requests is not judged.
func (d seriesDrawer) drawTargets(kind seriesKind) (all []target) {
	first := d.drawTarget()
	if kind == seriesFreeze {
		first = target{control: true, index: d.rng.IntN(d.controls)}
	}
	count, limit := d.proxies, min(maxGroupProxies, d.proxies/2)
	if first.control {
		count, limit = d.controls, d.controls
	}
	size := 1
	if d.rng.IntN(2) == 0 {
		size = 1 + d.rng.IntN(limit)
	}
	for n := range size {
		all = append(all, target{control: first.control, index: (first.index + n) % count})
	}
	return all
}

func (d seriesDrawer) drawRounds(kind seriesKind) (all []signalRound) {
	rounds := 1
	if kind == seriesCrashLoop {
		rounds = 2 + d.rng.IntN(maxRepeats-1)
	}
	for range rounds {
		all = append(all, signalRound{
			steps:    d.drawSteps(kind),
			downtime: minDowntime + d.upTo(maxDowntime-minDowntime),
		})
	}
	return all
}

func (d seriesDrawer) drawSteps(kind seriesKind) []signalStep {
	switch kind {
	case seriesReloads:
		steps := []signalStep{{0, Hangup}}
		for range d.rng.IntN(maxRepeats) {
			steps = append(steps, signalStep{d.upTo(maxReloadPause), Hangup})
		}
		return steps
	case seriesInsist:
		return []signalStep{{0, Terminated}, {d.upTo(maxInsistPause), Hangup}, {d.upTo(maxInsistPause), Terminated}}
	case seriesCutShort:
		return []signalStep{{0, Terminated}, {d.upTo(maxCutShort), Killed}}
	case seriesKill:
		return []signalStep{{0, Killed}}
	case seriesCrashLoop:
		return []signalStep{{d.upTo(maxStartTime), Killed}}
	case seriesFreeze:
		return []signalStep{{0, Stopped}, {minFreeze + d.upTo(maxFreeze-minFreeze), Continued}}
	}
	return []signalStep{{0, Terminated}}
}
