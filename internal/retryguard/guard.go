package retryguard

import (
	"math"

	"portflow/internal/random"
)

// Try is one command as a guard sees it. Its maker keeps it until the final answer.
type Try struct {
	Band, Carrier int
	Print         uint64 // by Print
	Marked        bool   // its client says that it is a further one
	Left          int64  // until its client gives it up, nanoseconds

	due int64 // the appointment that it brought, 0 for none
	in  bool  // it was let in and has no final answer yet
	at  int64 // then
}

// Guard is one router's part. It is not safe for use by two goroutines.
type Guard struct {
	set    Settings
	draw   random.Source
	fleet  *Fleet
	prints *Prints
	book   *Wheel

	last, ticks int64 // the latest time, and when the next tick is due
	all         Detector
	carriers    []carrier
	typical     []float64 // by band: seconds that its answers take
	value       []float64 // by band: worth for its work, beside the best
	shown       float64   // work that was fulfilled, per capacity, in calm: seconds a second
	done        float64   // this tick's
	calmTicks   float64
	pace, wide  float64 // over what was shown: of the room, and of how many may be out
	lately      float64 // work that was fulfilled, a second
	room        pool    // of all carriers
	spare       float64 // what of it carriers left over
	usual       float64 // what the fleet can do in calm
	out         float64 // tries that were let in and have no answer
	shownOut    float64 // in calm, for each size of the fleet
	bound       float64 // how many may be out
	unserved    float64 // tries, of the last second or so
	now         float64 // capacity
	answers     float64 // of the last half second or so, and how much longer than usual they took
	slow        float64
	refused     float64
	short, full float64 // tries of late that were sent away for want of room, and with as many out as may be
	Stats       Stats
}

type carrier struct {
	Detector
	pool
	work, lately float64 // of its tries: this tick's, and that of the last 10 s of calm
	share        float64 // its part of all carriers'
	heeds        float64 // part of its appointments that are kept, not come to early
}

// Stats counts what a guard did.
type Stats struct {
	Storms, Carrier     int // begun: by all, by one carrier
	Away, Kept, Early   int
	Booked, Overbooked  int
	Hopeless            int   // too little time left for an answer
	Noticed             int64 // when the first storm began
	Jumps               int   // of the clock
	First, Again, Known int   // tries: first ones, further ones, those of them that were known by their print
}

// New makes a guard, or tells which setting can't be.
func New(s Settings, seed uint64, now int64) (*Guard, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	keep := s.Horizon + 2*second
	for _, b := range s.Bands {
		keep = max(keep, s.Horizon+b.CutOff)
	}
	g := &Guard{set: s, draw: random.Source{Seed: seed}, fleet: NewFleet(s.ColdFrom, s.ColdFor),
		prints: NewPrints(s.Memory, keep), book: NewWheel(s.Horizon), last: now, ticks: now + tickLen,
		all: NewDetector(s.Threshold), carriers: make([]carrier, max(1, s.Carriers)),
		typical: make([]float64, len(s.Bands)), value: make([]float64, len(s.Bands)), pace: 1, wide: 1}
	for i := range g.carriers {
		g.carriers[i] = carrier{Detector: NewDetector(s.Threshold), heeds: 1, lately: 1e-3,
			share: 1 / float64(len(g.carriers))}
	}
	for i, b := range s.Bands {
		g.typical[i] = float64(b.Contract) / 5 / float64(second) // as the rules begin
	}
	return g, nil
}

// Bytes is what the tables of commands and appointments take; nothing else grows with traffic.
func (g *Guard) Bytes() int { return g.prints.Bytes() + 20*len(g.book.room) }

// Storm tells whether there is one: of all, or of a carrier.
func (g *Guard) Storm(carrier int) bool { return g.all.Storm || g.of(carrier).Storm }

func (g *Guard) of(n int) *carrier { return &g.carriers[min(max(0, n), len(g.carriers)-1)] }

// Take is told a try that has come; in tells whether it may go to the rules. Else it is to be dismissed at once, and
// its client told to wait, where that is above 0.
func (g *Guard) Take(now int64, t *Try) (in bool, wait int64) {
	g.advance(now)
	if t.Band < 0 || t.Band >= len(g.typical) {
		return true, 0
	}
	c, cost := g.of(t.Carrier), g.typical[t.Band]
	made, due, known := g.prints.Take(t.Print, now)
	again := known || t.Marked
	if g.all.Count(again); again {
		g.Stats.Again++
	} else {
		g.Stats.First++
	}
	if known {
		g.Stats.Known++
	}
	c.Count(again)
	c.work += cost
	as := first
	if again {
		as = further
	}
	if due > 0 {
		as = g.appointed(c, now, made, due)
		t.due = due
	}
	if !g.Storm(t.Carrier) {
		g.keep(t, cost)
		return true, 0
	}
	hopeless := float64(t.Left) < 0.8*cost*float64(second)
	if hopeless {
		g.Stats.Hopeless++
	} else if !g.free() {
		g.full++
	} else if !c.admit(&g.room, &g.spare, as, cost, g.set.FirstShare, g.value[t.Band]) {
		g.short++
	} else {
		g.keep(t, cost)
		return true, 0
	}
	g.Stats.Away++
	return false, g.appoint(now, t, 0)
}

// free tells whether one more may be out. The bound of a quiet router is a part of one: it lets one in by that chance.
func (g *Guard) free() bool {
	left := g.bound - g.out
	return left >= 1 || left > 0 && g.draw.Next() < left
}

// appointed tells how a try counts that was given an appointment: as expected at its time or after it; else as one of
// those that come by themselves. One that came before it was told to is a mark against its carrier's heed; one that
// came when it was told, which may be no later than the greatest advice, is none.
func (g *Guard) appointed(c *carrier, now, made, due int64) class {
	told := due
	if g.set.MaxAdvice > 0 {
		told = min(due, made+g.set.MaxAdvice)
	}
	const tolerance = 2 * unit // what the prints' units and an advice's milliseconds lose
	if now < told-max(tolerance, (told-made)/10) {
		g.Stats.Early++
		c.heeds += 0.02 * (0 - c.heeds) // about the last fifty
		return further
	}
	g.Stats.Kept++
	c.heeds += 0.02 * (1 - c.heeds)
	if now < due-slot {
		return further
	}
	return expected
}

// HandedOff is told of each hand-off; number counts a command's from 0. What the rules send beyond the first was not
// asked for, and takes its room all the same.
func (g *Guard) HandedOff(now int64, t *Try, number int) {
	g.advance(now)
	if number > 0 && t.Band >= 0 && t.Band < len(g.typical) && g.Storm(t.Carrier) {
		g.room.have -= g.typical[t.Band]
	}
}

// keep lets a try in, and ends its appointment.
func (g *Guard) keep(t *Try, cost float64) {
	t.in, t.at = true, g.last
	g.out++
	g.cancel(t, cost)
}

// end is told that a try has its answer.
func (g *Guard) end(t *Try) {
	if t.in {
		t.in = false
		g.out--
	}
}

// cancel takes back what was promised to a try.
func (g *Guard) cancel(t *Try, cost float64) {
	if t.due > 0 {
		g.book.Free(t.due, cost)
		t.due = 0
	}
}

// heedless is the part of kept appointments under which a carrier gets none: its clients come when they like.
const heedless = 0.2

// appoint makes an appointment, or goes on with the one that the try brought, and tells how long to wait.
func (g *Guard) appoint(now int64, t *Try, wait int64) int64 {
	top := g.set.MaxAdvice
	if top <= 0 {
		g.cancel(t, g.typical[t.Band])
		g.prints.Put(t.Print, now, 0)
		return 0
	}
	due, cost := t.due, g.typical[t.Band]
	if due <= now {
		g.cancel(t, cost)
		due = 0
	}
	if due == 0 && t.Print != 0 && g.of(t.Carrier).heeds > heedless {
		if at, ok := g.book.Promise(now+max(wait, top/20), cost); ok {
			due = at + int64(g.draw.Next()*float64(slot))
			g.Stats.Booked++
		} else {
			g.Stats.Overbooked++
		}
	}
	g.prints.Put(t.Print, now, due)
	if t.due = 0; due == 0 { // none to be had: spread over the later half of what may be told
		return top/2 + int64(g.draw.Next()*float64(top/2))
	}
	if due-now > top { // it will be sent away once more; not all in the same moment
		return top - int64(g.draw.Next()*float64(top/10))
	}
	return due - now
}

// Dismissed is told that the rules turned a try away, and when they would have it back. It tells when that is to be:
// about then in calm, spread so that those who go together don't come together; by appointment in a storm.
func (g *Guard) Dismissed(now int64, t *Try, wait int64) int64 {
	g.advance(now)
	g.end(t)
	if t.Band < 0 || t.Band >= len(g.typical) {
		return wait
	}
	g.unserved++
	if g.Storm(t.Carrier) {
		return g.appoint(now, t, wait)
	}
	g.prints.Put(t.Print, now, 0)
	if wait > 0 {
		wait = min(g.set.MaxAdvice, wait/2+int64(g.draw.Next()*float64(wait)))
	}
	return wait
}

// Unserved is told that a try was scrapped, or that its client gave it up.
func (g *Guard) Unserved(now int64, t *Try) {
	g.advance(now)
	g.end(t)
	g.unserved++
	g.prints.Put(t.Print, now, 0)
}

// Ended is told the end of a hand-off of a band's command: its host, what it says of it, and how long it took.
func (g *Guard) Ended(now int64, t *Try, host uint32, s Sign, fulfilled bool, took int64) {
	g.advance(now)
	g.fleet.Ended(now, host, s)
	if fulfilled {
		g.end(t)
	}
	if t.Band < 0 || t.Band >= len(g.typical) {
		return
	}
	if s == Refused {
		g.refused++
	}
	if fulfilled && took > 0 {
		seconds := float64(took) / float64(second)
		g.answers++
		g.slow += float64(now-t.at) / float64(second) / g.typical[t.Band] // with what it waited for a host
		g.done += g.typical[t.Band]
		c := g.of(t.Carrier)
		c.allowed = min(10+c.rate/g.typical[t.Band], c.allowed+g.set.Budget) // a second's worth
		if !g.stormy() {
			g.typical[t.Band] += 0.01 * (seconds - g.typical[t.Band])
		}
	}
}

// List is told the list of hosts, or its changes.
func (g *Guard) List(now int64, whole bool, hosts []Host) {
	g.advance(now)
	g.fleet.List(whole, hosts)
	g.now = g.fleet.At(now)
}

func (g *Guard) stormy() bool {
	if g.all.Storm {
		return true
	}
	for i := range g.carriers {
		if g.carriers[i].Storm {
			return true
		}
	}
	return false
}

// advance plays the ticks that are due. After a clock that jumped, ticks begin anew.
func (g *Guard) advance(now int64) {
	if now < g.last || now-g.last > 10*second {
		if now < g.last {
			g.Stats.Jumps++
		}
		g.ticks = now
	}
	for g.last = now; now >= g.ticks; g.ticks += tickLen {
		g.tick(g.ticks)
	}
}

// Figures of the pace, over what was shown in calm. Room, and what may be out, grow while it is they that hold tries
// back and what is let in is answered as quickly as before; they shrink as soon as it is not, or hosts turn commands
// away.
const (
	memory            = 0.85 // a tick, some six ticks
	leaps, widens     = 1.07, 1.03
	bounds            = 1.2 // at hosts that are warm: to find out at once that nothing is short
	narrows, shrinks  = 0.97, 0.85
	lowest, greatest  = 0.3, 3
	quick, fine, sick = 1.25, 1.6, 2.5 // answers' time over the usual
)

func (g *Guard) tick(now int64) {
	g.lately += (1 - memory) * (g.done*float64(second/tickLen) - g.lately)
	g.prints.Age(now)
	g.now = g.fleet.At(now)
	whole := g.fleet.Whole()
	g.notice(now)
	best := 0.0
	for i, b := range g.set.Bands {
		g.value[i] = b.Importance / g.typical[i]
		best = max(best, g.value[i])
	}
	for i := range g.value {
		g.value[i] /= max(best, 1e-9)
	}
	if !g.stormy() {
		g.learn(whole)
	} else {
		g.regulate()
	}
	g.fill(now)
	g.done = 0
	for _, x := range []*float64{&g.answers, &g.slow, &g.refused, &g.short, &g.full} {
		*x *= memory
	}
}

// Figures of a collapse: hosts that could do so small a part of the usual, and commands that went unserved for it.
const collapsed, few = 0.5, 3

// notice ends the detectors' tick. It is a storm of all where one shows without the carrier that has most of it, or
// where the hosts are gone: then the tries that went unserved are sure to come again.
func (g *Guard) notice(now int64) {
	before := g.stormy()
	most, rest := 0, [2]excess{}
	gone := g.now < collapsed*g.usual && g.unserved >= few
	g.unserved *= memories[0]
	for i := range g.carriers {
		c := &g.carriers[i]
		if c.Tick(false) {
			g.Stats.Carrier++
		}
		if c.sums[0].more > g.carriers[most].sums[0].more {
			most = i
		}
	}
	for i := range g.carriers {
		if c := &g.carriers[i]; i != most || len(g.carriers) == 1 {
			for k := range rest {
				rest[k].of += c.sums[k].of
				rest[k].more += c.sums[k].more
			}
		}
	}
	was := g.all.Storm
	g.all.Tick(gone)
	if g.all.Storm && !was && !gone && !rest[0].over(0, g.all.calm) && !rest[1].over(0, g.all.calm) {
		g.all.Storm = false
	}
	if g.all.Storm && !was {
		g.Stats.Storms++
	}
	if before != g.stormy() && !before {
		if g.Stats.Noticed == 0 {
			g.Stats.Noticed = now
		}
		g.begin()
	}
}

// learn takes up what calm traffic shows: what the fleet carries for this router, and the carriers' parts of it.
func (g *Guard) learn(whole float64) {
	g.calmTicks++
	fresh := max(0.01, 1/g.calmTicks) // a memory of 10 s, sooner at the start
	if g.usual += fresh * (whole - g.usual); g.now > 0.5*whole && whole > 0 {
		g.shownOut += fresh * (g.out/whole - g.shownOut)
		g.shown += fresh * (g.done*float64(second/tickLen)/g.now - g.shown)
	}
	all := 0.0
	for i := range g.carriers {
		c := &g.carriers[i]
		c.lately, c.work = 0.99*c.lately+c.work, 0
		all += c.lately
	}
	for i := range g.carriers {
		g.carriers[i].share = g.carriers[i].lately / all
	}
}

// regulate moves the pace by how answers come.
func (g *Guard) regulate() {
	for i := range g.carriers {
		g.carriers[i].work = 0
	}
	up, warm := g.fleet.Up(), 1.0
	if up > 0 {
		warm = g.now / up
	}
	slow := g.slow / max(g.answers, 1e-3) * warm // cold hosts take as much longer as they can do less
	if up < collapsed*g.usual && g.answers < 1 { // what was quick before they went says nothing of those that return
		g.pace, g.wide = min(g.pace, 1), min(g.wide, 1)
		return
	}
	if g.answers < 0.5 {
		return
	}
	switch {
	case slow > sick || g.refused > 0.1*g.answers && g.refused >= 2:
		g.pace, g.wide = max(lowest, g.pace*shrinks), max(lowest, g.wide*shrinks)
	case slow > fine:
		g.wide = max(lowest, g.wide*narrows)
	case slow < quick && g.refused < 1:
		more, wider := leaps, widens
		if warm > 0.95 {
			more, wider = bounds, bounds
		}
		if g.short > 0.3 {
			g.pace = min(greatest, g.pace*more)
		}
		if g.full > 0.3 {
			g.wide = min(greatest, g.wide*wider)
		}
	}
}

// begin sets the pace by what the hosts do as a storm begins.
func (g *Guard) begin() {
	g.pace, g.wide = 1, 1
	if g.now >= collapsed*g.usual && g.shown > 0 {
		g.pace = min(greatest, max(1, g.lately/(g.shown*g.now)))
		g.wide = g.pace
	}
	g.room.have *= g.draw.Next() // however many routers, each begins at its own time
	g.short, g.full = 0, 0
}

// rate is the work that this router may let in at hosts of some capacity: what it showed them to carry, as far as the
// pace goes, and never less than its part of one command at a time at each host. Where none seems up, a fiftieth goes
// on finding out.
func (g *Guard) rate(capacity float64) float64 {
	own := max(g.shown*g.pace*capacity, capacity/float64(g.set.Routers))
	return max(g.set.Ceiling*own, 0.02*g.shown*g.usual, 0.02/float64(g.set.Routers))
}

// fill lets a tick's room into the pools, and books by the room of the next seconds.
func (g *Guard) fill(now int64) {
	rate, cost := g.rate(g.now), 0.0
	for _, t := range g.typical {
		cost = max(cost, t)
	}
	g.room.turn(rate, cost)
	// as many may be out as in calm, by Little's law: hosts that are slower need no more for the same use, and what
	// queues at them holds back what comes next
	up := g.fleet.Up()
	g.bound = max(g.set.Ceiling*g.wide*max(g.shownOut*up, up/float64(g.set.Routers)), 0.02*g.shownOut*g.usual)
	g.bound += math.Sqrt(g.bound) // as they come by chance, and a quiet router's mean is less than one
	over := 0.0
	for i := range g.carriers {
		c := &g.carriers[i]
		over += c.turn(rate*c.share, cost)
	}
	g.spare = min(g.spare+over, g.room.top(cost))
	if !g.stormy() {
		return
	}
	// the forecast at some points, as the sum over all hosts is too dear for each slot
	const points = 16
	var at [points + 1]float64
	for i := range at {
		at[i] = g.fleet.At(now + g.set.Horizon*int64(i)/points)
	}
	heeds := 0.0
	for i := range g.carriers {
		heeds += g.carriers[i].heeds * g.carriers[i].share
	}
	part := (1 - g.set.FirstShare) * float64(slot) / float64(second) / max(0.3, heeds)
	g.book.Forecast(now, func(t int64) float64 {
		x := min(points, max(0, float64(t-now)/float64(g.set.Horizon)*points))
		i := min(points-1, int(x))
		return part * g.rate(at[i]+(at[i+1]-at[i])*(x-float64(i)))
	})
}
