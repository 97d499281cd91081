package decision

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"portflow/internal/testing/digest"
)

const ms = int64(1e6)

// Which effect follows in the digest.
const (
	effectHandOff = iota
	effectDismiss
	effectScrap
	effectRecall
	effectVote
	effectTell
	effectWake
	effectClose
	effectWatch
	effectNote
)

// world plays everything around one router, and checks the five rules at each effect and after each step.
type world struct {
	t          *testing.T
	r          *Router
	set        Settings
	rnd        *rand.Rand
	now        int64
	step       int
	commands   map[uint32]*asked
	listed     map[uint32]*shown
	sent       []*sending // of the last window
	outs       []*sending // that may still be out
	owed       []*asked   // that may still need an answer
	takings    []taking
	answers    []answered // of the last window
	wakes      map[uint64]int64
	votes      []vote
	closed     int
	news       News
	capSince   int64 // when the last lower cap was told
	build      int   // the newest there is
	keys       map[uint64]int
	trialShare []int          // for each hand-off, 1 for the trial
	effects    *digest.Digest // of the router, where they are recorded
}

type asked struct {
	Command
	at, end int64
	over    bool
	sent    []*sending
}

type sending struct {
	c             *asked
	host          *shown
	build, number int
	at            int64
	out, unrun    bool
}

type shown struct {
	Listed
	told int64 // when it was told to be draining or gone, or of its start
}

type taking struct{ at, band int64 }

const grace, window, lastWord = 500 * ms, 3000 * ms, 20 * ms

func newWorld(t *testing.T, set Settings, seed uint64) *world {
	w := &world{t: t, set: set, rnd: rand.New(rand.NewPCG(seed, 1)), now: 1e12, commands: map[uint32]*asked{},
		listed: map[uint32]*shown{}, wakes: map[uint64]int64{}, keys: map[uint64]int{}}
	w.r = New(set, seed, w.now, w)
	return w
}

func plain() Settings {
	return Settings{Routers: 3, Tick: 5 * ms, MaxHandOffs: 4, Copies: true, Recalls: true, Peers: true,
		MaxAdvice: 1000 * ms, OnVotes: 2, BackVotes: 1, VoteLife: 4000 * ms, VoteWait: 800 * ms, Gate: Share, Free: 2,
		FirstCap: 0.1, KeysStay: true, FlagShare: 0.15, ColdFrom: 0.33, ColdFor: 4000 * ms, FallMultiple: 2, OverShare: 0.1,
		Carriers: []Carrier{{30}, {20}}, Bands: []Band{
			{Contract: 750 * ms, CutOff: 3000 * ms, Repeat: Referenced, Memory: 2000 * ms, Importance: 5},
			{Contract: 1500 * ms, CutOff: 5000 * ms, Importance: 1, LateOf: 0.2},
			{Contract: 1200 * ms, CutOff: 4000 * ms, Repeat: SingleUse, Importance: 3}}}
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("step %d: "+format, append([]any{w.step}, args...)...)
}

func (w *world) failIf(wrong bool, format string, args ...any) {
	if w.t.Helper(); wrong {
		w.fail(format, args...)
	}
}

func (w *world) onTrial(build int) (stage int, cap float64, yes bool) {
	if build > w.news.Build {
		return 0, w.set.FirstCap, true
	}
	return w.news.Stage, w.news.Cap, build == w.news.Build && w.news.Standing != Released
}

func (w *world) HandOff(id, hostID uint32, until int64) {
	w.effects.Add(effectHandOff, w.now, id, hostID, until)
	c, h := w.commands[id], w.listed[hostID]
	w.failIf(c == nil || c.over || h == nil, "hand-off of %d to %d: ended, or a host that was not listed", id, hostID)
	w.failIf(h.Health != Ready && w.now-h.told > grace, "rule 3: hand-off to a host that was told to drain")
	b := w.set.Bands[c.Band]
	for _, s := range c.sent {
		switch {
		case s.out && !w.set.Copies:
			w.fail("two hand-offs at once")
		case s.unrun:
		case b.Repeat == SingleUse:
			w.fail("rule 2: a single-use command again")
		case b.Repeat == Referenced && (w.now > s.at+b.Memory || b.Group == SameCell && s.host.Cell != h.Cell):
			w.fail("rule 2: a referenced command outside its window or group")
		}
	}
	w.failIf(len(c.sent) >= w.set.MaxHandOffs, "too many hand-offs")
	s := &sending{c: c, host: h, build: h.Build, at: w.now, number: len(c.sent), out: true}
	w.sent = append(w.sent, s)
	w.outs = append(w.outs, s)
	c.sent = append(c.sent, s)
	w.exposure(s, b)
	w.cold(h)
}

func (w *world) exposure(s *sending, b Band) {
	w.failIf(s.c.Key != 0 && w.set.KeysStay && s.build < w.keys[s.c.Key], "rule 5: a key goes back to an earlier build")
	stage, cap, yes := w.onTrial(s.build)
	if !yes {
		return
	}
	w.failIf(cap == 0 && w.now-w.capSince > grace || stage < w.set.Guarded && b.Repeat != Replayable,
		"rule 5: cap %v stage %d band %d", cap, stage, s.c.Band)
	from, sent, taken := max(w.now-window, w.capSince), 0, 0
	for _, x := range w.sent {
		if x.at > from && x.build == s.build && (!w.set.CapByBand || x.c.Band == s.c.Band) {
			sent++
		}
	}
	for _, x := range w.takings {
		if x.at > w.now-window && (!w.set.CapByBand || x.band == int64(s.c.Band)) {
			taken++
		}
	}
	w.failIf(float64(sent) > w.set.Free+cap*float64(taken)+1e-6, "rule 5: %d sent of %d taken, cap %v", sent, taken, cap)
}

func (w *world) present(h *shown) float64 {
	age := float64(w.now-h.Started) / float64(w.set.ColdFor)
	if h.Started == 0 || age >= 1 {
		return 1
	}
	return w.set.ColdFrom + (1-w.set.ColdFrom)*age
}

// cold is rule 4: with this router as all the traffic, what is sent must fit twice the host's part of what
// the fleet was seen to carry, but for a few at the start.
func (w *world) cold(h *shown) {
	sent, room := 0.0, 5.0
	for _, x := range w.sent {
		if x.host == h && x.at > max(w.now-window, h.told) {
			sent++
		}
	}
	for _, x := range w.answers {
		room += 2 * h.Size * w.present(h) / x.size
	}
	w.failIf(w.present(h) < 1 && sent > room, "rule 4: %v sent to a cold host that can do %v", sent, room)
}

type answered struct{ at, size float64 } // a fulfilled command, and the fleet's capacity at the time

func (w *world) end(id uint32) *asked {
	c := w.commands[id]
	w.failIf(c == nil || c.over, "rule 1: a second answer to %d", id)
	c.over = true
	return c
}

func (w *world) Dismiss(id uint32, wait int64) {
	w.effects.Add(effectDismiss, w.now, id, wait)
	c := w.end(id)
	b := w.set.Bands[c.Band]
	for _, s := range c.sent {
		w.failIf(!s.unrun && (b.Repeat == SingleUse || b.Repeat == Referenced && b.Group != AllHosts),
			"rule 2: dismissed though it may have run")
	}
}
func (w *world) Scrap(id uint32) {
	w.effects.Add(effectScrap, w.now, id)
	w.end(id)
}
func (w *world) Recall(id uint32, number int) {
	w.effects.Add(effectRecall, w.now, id, number)
	w.failIf(w.commands[id] == nil || number >= len(w.commands[id].sent), "recall of nothing")
}
func (w *world) Vote(v Verdict, build, stage int) {
	w.effects.Add(effectVote, w.now, v, build, stage)
	w.votes = append(w.votes, vote{v, build, stage})
}
func (w *world) Tell(peer int, message []byte) { w.effects.Add(effectTell, w.now, peer, message) }
func (w *world) Wake(after int64, mark uint64) {
	w.effects.Add(effectWake, w.now, after, mark)
	w.wakes[mark] = w.now + after
}
func (w *world) Close(host uint32) {
	w.effects.Add(effectClose, w.now, host)
	w.closed++
}
func (w *world) Watch(on bool)    { w.effects.Add(effectWatch, w.now, on) }
func (w *world) Note(text string) { w.effects.Add(effectNote, w.now) } // the text is for people

// pass lets time go by, and delivers the wake-ups that fall due: late, at times again, and a little early, as the
// clock of their source is coarser, which once stopped all time-outs.
func (w *world) pass(by int64) {
	for end := w.now + by; w.now < end; {
		w.now = min(end, w.now+w.set.Tick)
		for _, mark := range slices.Sorted(maps.Keys(w.wakes)) {
			if at := w.wakes[mark]; at <= w.now+w.rnd.Int64N(2)*ms {
				if w.rnd.IntN(4) > 0 || at < w.now-w.set.Tick {
					delete(w.wakes, mark)
				}
				w.r.Woken(w.now, mark)
			}
		}
		for _, c := range w.owed {
			w.failIf(!c.over && w.now > c.end+lastWord, "rule 1: no answer to %d", c.ID)
		}
	}
	w.owed = slices.DeleteFunc(w.owed, func(c *asked) bool { return c.over })
	w.sent = slices.DeleteFunc(w.sent, func(s *sending) bool { return s.at < w.now-window })
	w.takings = slices.DeleteFunc(w.takings, func(x taking) bool { return x.at < w.now-window })
	w.answers = slices.DeleteFunc(w.answers, func(x answered) bool { return x.at < float64(w.now-window) })
}

func (w *world) list(form Form, entries ...Listed) {
	for _, e := range entries {
		h := w.listed[e.ID]
		if h == nil {
			h = &shown{}
			w.listed[e.ID] = h
		}
		if h.Health == Ready || e.Health == Ready {
			h.told = w.now
		}
		h.Listed = e
	}
	w.r.List(w.now, form, entries)
}

func (w *world) hear(n News) {
	if n.Cap < w.news.Cap || n.Build != w.news.Build || w.news.Standing == Released {
		w.capSince = w.now
	}
	if n.Standing == GoingBack || n.Standing == Withdrawn {
		maps.DeleteFunc(w.keys, func(_ uint64, b int) bool { return b >= n.Build })
	}
	w.news = n
	w.r.Hear(w.now, n)
}

func (w *world) take(c Command) *asked {
	a := &asked{Command: c, at: w.now, end: w.now + c.Left}
	w.commands[c.ID] = a
	w.owed = append(w.owed, a)
	w.takings = append(w.takings, taking{w.now, int64(c.Band)})
	w.r.Take(w.now, c)
	return a
}

func (w *world) finish(s *sending, e Ending) {
	if !s.out {
		return
	}
	s.out = false
	s.unrun = e == TurnedAway || e == NoConnect || e == Unsent
	over := s.c.over || e == Fulfilled
	if e == Fulfilled {
		s.c.over = true
		size := 0.0
		for _, h := range w.listed {
			if h.Health == Ready {
				size += h.Size * w.present(h)
			}
		}
		w.answers = append(w.answers, answered{float64(w.now), size})
	}
	w.r.Ended(w.now, s.c.ID, s.number, e, over, w.now-s.at, nil)
	if _, _, yes := w.onTrial(s.build); e == Fulfilled && s.c.Key != 0 && (yes || s.build == w.news.Build) {
		w.keys[s.c.Key] = max(w.keys[s.c.Key], s.build)
	}
}
