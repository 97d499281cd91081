package consensus

// link is the connection between two machines. In its arrays, index 0 is the end at the machine with the lower ID. Each end detects
// by itself that the connection is broken.
type link struct {
	connected   [2]bool
	incarnation int         // incremented each time the machines connect
	lastArrival [2]int64    // arrival time of the last message sent to each end, which keeps messages in order
	held        [2][]func() // messages to each end that are held back by cuts
	cuts        [2]int      // number of faults that hold back messages to each end
	latency     int64       // minimum one-way delay, in nanoseconds
	extraDelay  int64       // maximum additional delay, in nanoseconds
}

// link returns the link between two machines, and the index of a's end.
func (sim *simulation) link(a, b *machine) (l *link, end int) {
	if a.id < b.id {
		return sim.links[[2]int{a.id, b.id}], 0
	}
	return sim.links[[2]int{b.id, a.id}], 1
}

// deliver calls do at the receiver of a message after the delay of the link, in the order of sending. The message is lost if the link
// breaks first.
func (sim *simulation) deliver(from, to *machine, do func()) {
	l, end := sim.link(from, to)
	if !l.connected[end] {
		return
	}
	incarnation, receiverIncarnation, other := l.incarnation, to.incarnation, 1-end
	arrive := func() {
		at := max(sim.now+l.latency+sim.between(0, l.latency/4+1+l.extraDelay), l.lastArrival[other]+1)
		l.lastArrival[other] = at
		sim.after(at-sim.now, func() {
			if l.incarnation == incarnation && l.connected[other] {
				sim.runOn(to, receiverIncarnation, do)
			}
		})
	}
	if l.cuts[other] > 0 {
		l.held[other] = append(l.held[other], func() {
			if l.incarnation == incarnation {
				arrive()
			}
		})
		return
	}
	arrive()
}

// connect tries to connect two machines until it succeeds or one of the processes has ended.
func (sim *simulation) connect(a, b *machine) {
	incarnationA, incarnationB := a.incarnation, b.incarnation
	l, end := sim.link(a, b)
	sim.after(sim.between(5*ms, 300*ms), func() {
		switch {
		case !a.up || !b.up || a.incarnation != incarnationA || b.incarnation != incarnationB || l.connected == [2]bool{true, true}:
		case l.connected != [2]bool{} || l.cuts != [2]int{} || a.frozen || b.frozen:
			sim.connect(a, b)
		default:
			l.incarnation++
			l.connected, l.lastArrival, l.held = [2]bool{true, true}, [2]int64{}, [2][]func(){}
			if end == 1 {
				a, b = b, a
			}
			sim.sendStatus(a, b)
			sim.sendStatus(b, a)
		}
	})
}

// breakLink notifies a machine that its end of a link is broken. Once both ends are broken, it starts to reconnect
// the machines.
func (sim *simulation) breakLink(m, other *machine) {
	l, end := sim.link(m, other)
	if !l.connected[end] {
		return
	}
	l.connected[end] = false
	sim.runOn(m, m.incarnation, func() { sim.step(m, Event{From: other.ip, PeerLost: true}) })
	if l.connected == [2]bool{} && m.up && other.up {
		sim.connect(m, other)
	}
}

// breakLinkLater breaks a machine's end of a link after a delay, unless it was reconnected or condition is false by then.
func (sim *simulation) breakLinkLater(m, other *machine, delay int64, condition func() bool) {
	l, _ := sim.link(m, other)
	incarnation := l.incarnation
	sim.after(delay, func() {
		if l.incarnation == incarnation && condition() {
			sim.breakLink(m, other)
		}
	})
}

// cutLink holds back the messages from one machine to another. The receiver closes the link after a timeout. The sender notices
// that shortly after, or after a timeout of its own if the other direction is cut as well.
func (sim *simulation) cutLink(from, to *machine) {
	l, end := sim.link(to, from)
	l.cuts[end]++
	incarnation := l.incarnation
	sim.after(sim.between(800*ms, 2000*ms), func() {
		if l.incarnation != incarnation || l.cuts[end] == 0 {
			return
		}
		sim.breakLink(to, from)
		if l.cuts[1-end] == 0 {
			sim.breakLinkLater(from, to, sim.between(ms, 100*ms), func() bool { return true })
		} else {
			sim.breakLinkLater(from, to, sim.between(0, 1200*ms), func() bool { return true })
		}
	})
}

// healLink ends a cut. After the last one it delivers the messages held back.
func (sim *simulation) healLink(from, to *machine) {
	l, end := sim.link(to, from)
	if l.cuts[end]--; l.cuts[end] == 0 {
		held := l.held[end]
		l.held[end] = nil
		for _, arrive := range held {
			arrive()
		}
	}
}
