package simulation

import (
	"slices"
	"time"
)

// trouble does a few harms of those that the settings tolerate, one after the other or two at once, and undoes them.
func (w *watch) trouble() {
	if w.seed > hard {
		w.worst()
		return
	}
	w.rest(500, 1500)
	for range 1 + w.n(3) {
		m := w.target()
		undo := []func(){w.harm(m)}
		lasts := 2 + w.n(5)
		if w.n(5) == 0 {
			lasts = 20 + w.n(6)
		}
		if w.n(2) == 0 { // beside it what takes nobody away
			time.Sleep(time.Duration(w.n(800)) * time.Millisecond)
			undo = append(undo, w.nuisance(m))
		}
		time.Sleep(time.Duration(lasts) * time.Second)
		for _, u := range slices.Backward(undo) {
			u()
		}
		for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			if !slices.ContainsFunc(w.h.Masters, func(m *Master) bool { return m.Standing() != "in touch" }) {
				break
			}
		}
		w.rest(500, 2500) // back for good before the next
	}
}

// target is a process by chance, the one that confirmed an order last, or the one that was read last.
func (w *watch) target() int {
	at := w.n(3 * len(w.h.Masters))
	w.mu.Lock()
	defer w.mu.Unlock()
	switch at % 3 {
	case 0:
		return w.took
	case 1:
		return w.read
	}
	return at / 3
}

// nuisance does a lesser harm beside another one, at another process.
func (w *watch) nuisance(at int) (undo func()) {
	h := w.h
	other := h.Masters[(at+1+w.n(len(h.Masters)-1))%len(h.Masters)]
	operator := operatorIP(w.n(2))
	switch w.n(3) {
	case 0:
		w.harms = append(w.harms, "slow disk "+other.Boot.IP)
		other.Disk.set(125*time.Millisecond, false)
		return func() { other.Disk.set(5*time.Millisecond, false) }
	case 1: // lost answers, or late ones: the connections go on after a while
		w.harms = append(w.harms, "answers lost to "+operator)
		lasts := time.Duration(300+w.n(2500)) * time.Millisecond
		var ips []string
		for _, m := range h.Masters {
			ips = append(ips, m.Boot.IP)
		}
		for _, ip := range ips {
			h.Sea.CutWay(ip, operator, true)
		}
		time.Sleep(lasts)
		for _, ip := range ips {
			h.Sea.CutWay(ip, operator, false)
		}
		return func() {}
	}
	f := h.Fairways[w.n(len(h.Fairways))]
	w.harms = append(w.harms, "router killed "+f.Boot.IP)
	f.Kill()
	return func() {
		if err := f.Start(); err != nil {
			h.broken("a router does not start: %v", err)
		}
	}
}

// harm does one harm to a process, and gives what undoes it.
func (w *watch) harm(at int) (undo func()) {
	h := w.h
	m := h.Masters[at]
	ip, disk := m.Boot.IP, m.Disk
	did := func(what string, undo func()) func() {
		w.harms = append(w.harms, what+" "+ip)
		return undo
	}
	cut := func(way func(a, b string, cut bool), some func(i int) bool) func() {
		var others []string
		for i, x := range h.Masters {
			if x != m && some(i) {
				others = append(others, x.Boot.IP)
			}
		}
		for _, x := range others {
			way(ip, x, true)
		}
		return func() {
			for _, x := range others {
				way(ip, x, false)
			}
		}
	}
	every := func(int) bool { return true }
	switch w.n(16) {
	case 0:
		m.Kill()
		return did("killed", m.mustStart)
	case 1:
		m.Kill()
		h.Sea.Down(ip, true)
		disk.PowerLoss(w.n(2) == 0)
		return did("without power", func() { h.Sea.Down(ip, false); m.mustStart() })
	case 2:
		m.Kill()
		disk.Wipe()
		return did("wiped", m.mustStart)
	case 3, 4:
		return did("cut", cut(h.Sea.Cut, every))
	case 5, 6:
		return did("cut, what it sends", cut(h.Sea.CutWay, every))
	case 7:
		return did("cut, what it is sent", cut(func(a, b string, cut bool) { h.Sea.CutWay(b, a, cut) }, every))
	case 8:
		return did("half cut", cut(h.Sea.Cut, func(i int) bool { return i%2 == 0 }))
	case 9:
		disk.set(125*time.Millisecond, false)
		return did("slow disk", func() { disk.set(5*time.Millisecond, false) })
	case 10:
		disk.set(5*time.Millisecond, true)
		return did("refusing disk", func() { disk.set(5*time.Millisecond, false) })
	case 11:
		disk.hang(true)
		return did("hanging disk", func() { disk.hang(false) })
	case 12:
		h.Sea.Freeze(ip, true)
		disk.hang(true)
		return did("frozen", func() { disk.hang(false); h.Sea.Freeze(ip, false) })
	case 13:
		if len(h.Masters) < 6 {
			return w.harm(at)
		}
		two := []*Master{m, h.Masters[at^1]}
		for _, x := range two {
			x.Kill()
			h.Sea.Down(x.Boot.IP, true)
			x.Disk.PowerLoss(w.n(2) == 0)
		}
		return did("region without power", func() {
			for _, x := range two {
				h.Sea.Down(x.Boot.IP, false)
				x.mustStart()
			}
		})
	case 14: // its clock steps, which it sees at its next start
		m.Kill()
		m.Apart = time.Duration(w.n(7200)-3600) * time.Second
		return did("clock stepped", m.mustStart)
	}
	if w.n(2) == 0 {
		for _, x := range h.Masters {
			x.Kill()
		}
		time.Sleep(time.Second)
		for _, x := range h.Masters {
			x.mustStart()
		}
		return did("all killed", func() {})
	}
	m.Replace()
	return did("replaced", m.mustStart)
}
