package signals

// Times on a line are by the clock of who speaks: it is anchored when its process starts and never steps, and may be hours
// from anybody else's. Who hears them puts its own clock's time in their place, by an Offset of that line, so that no time of
// day goes from one process to another.

// drift is by how much two clocks may come apart in a while: one part in so many.
const drift = 10_000

// Offset is by how much the clock of who speaks on a line is ahead of who hears, nanoseconds. The way of a word makes it less,
// never more, so the greatest of late holds: a time that is told is never taken for earlier than it was, but by drift. The
// zero Offset changes nothing, as of processes that tell no time.
type Offset struct {
	ahead, at int64
	known     bool
}

// Heard takes a word's time, by the clock of who said it, as it comes now; 0 is none.
func (o *Offset) Heard(theirs, now int64) {
	if theirs == 0 {
		return
	}
	ahead := theirs - now
	if o.known {
		ahead = max(ahead, o.ahead-max(0, now-o.at)/drift)
	}
	*o = Offset{ahead, now, true}
}

// Ahead is by how much the other's clock is ahead.
func (o Offset) Ahead() int64 { return o.ahead }

// Here is a time that was told, by this process's clock; 0 stays 0.
func (o Offset) Here(theirs int64) int64 {
	if theirs == 0 {
		return 0
	}
	return theirs - o.ahead
}

// Here is a note that was told, with its times by this process's clock. A router's Since is a version and no time: whoever
// takes a router up gives it a higher one.
func (n Note) Here(o Offset) Note {
	if !o.known {
		return n
	}
	if n.Host != nil && n.Host.ColdUntil != 0 {
		h := *n.Host
		h.ColdUntil = o.Here(h.ColdUntil)
		n.Host = &h
	}
	if n.Aside != nil {
		j := *n.Aside
		j.Aside, j.Back = o.Here(j.Aside), o.Here(j.Back)
		n.Aside = &j
	}
	if n.Poll != nil {
		p := *n.Poll
		p.At = o.Here(p.At)
		n.Poll = &p
	}
	n.Began = o.Here(n.Began)
	return n
}

// Since is when a service's newest rollout began, by the clock of whoever tells it, nanoseconds.
type Since struct {
	Service string `json:"s"`
	Order   uint64 `json:"o"`
	Began   int64  `json:"b"`
}

// Timed tells whether a note holds times: then the word must tell one too.
func (n Note) Timed() bool {
	return n.Host != nil && n.Host.ColdUntil != 0 || n.Aside != nil || n.Poll != nil || n.Began != 0
}
