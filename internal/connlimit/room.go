// Package connlimit keeps a number of connections within a bound. Where it is reached, a connection that is of no use
// at the moment is closed for one that is wanted.
package connlimit

import (
	"container/list"
	"sync"
	"time"
)

// Use is what a connection is doing.
type Use uint8

const (
	Silent Use = iota // new, and nothing has come on it
	Begun             // something has come that is not whole yet
	Idle              // between two uses
	Busy              // in use: it is never closed to make room
)

// rest is how long a connection must have been so before it may be closed to make room. What is new is about to
// speak, and an idle one about to be used again: a turn of a full core. Who writes slowly gets a little longer.
var rest = [Busy]time.Duration{Silent: 20 * time.Millisecond, Begun: 250 * time.Millisecond, Idle: 10 * time.Millisecond}

const again = 5 * time.Millisecond // between looks for a connection that may be closed; short beside any rest

// Room is the bound.
type Room struct {
	slots chan struct{} // holds one for each connection
	idle  int           // so many may stand idle
	mu    sync.Mutex
	uses  [Busy]list.List // of *Place, the longest so first
}

// New makes room for so many connections, of which some may stand idle.
func New(most, idle int) *Room { return &Room{slots: make(chan struct{}, most), idle: idle} }

// Held is how many connections there are.
func (r *Room) Held() int { return len(r.slots) }

// Place is one connection's.
type Place struct {
	room  *Room
	close func() // the connection, which leaves then
	use   Use
	since time.Time
	at    *list.Element
	left  bool
}

// Try takes a place if one is free; the caller must Fill or Leave it.
func (r *Room) Try() *Place {
	select {
	case r.slots <- struct{}{}:
		return &Place{room: r, use: Busy}
	default:
		return nil
	}
}

// Enter waits for a place, and closes a connection for it if it must; nil if done comes first.
func (r *Room) Enter(done <-chan struct{}) *Place {
	if p := r.Try(); p != nil {
		return p
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case r.slots <- struct{}{}:
			return &Place{room: r, use: Busy}
		case <-done:
			return nil
		case <-timer.C:
			r.makeRoom()
			timer.Reset(again)
		}
	}
}

// makeRoom closes the connection that has been of no use for longest. An idle one costs its client least, another
// connection; but what has not asked yet gets no more than half of the room, so that it can't push out those that ask.
func (r *Room) makeRoom() {
	r.mu.Lock()
	order := [...]Use{Idle, Silent, Begun}
	if r.uses[Silent].Len()+r.uses[Begun].Len() > cap(r.slots)/2 {
		order = [...]Use{Silent, Begun, Idle}
	}
	var spare *Place
	for i := 0; i < len(order) && spare == nil; i++ {
		spare = r.spare(order[i])
	}
	r.mu.Unlock()
	if spare != nil {
		spare.close()
	}
}

// spare takes the connection that has been so for longest out of the choice, to be closed, if it has had its rest; the
// room is locked.
func (r *Room) spare(use Use) *Place {
	first := r.uses[use].Front()
	if first == nil || time.Since(first.Value.(*Place).since) < rest[use] {
		return nil
	}
	p := first.Value.(*Place)
	p.take(Busy)
	return p
}

// Fill names the connection's end and use.
func (p *Place) Fill(use Use, close func()) {
	p.close = close
	p.Set(use)
}

// Set tells what the connection is doing from now on.
func (p *Place) Set(use Use) {
	r := p.room
	r.mu.Lock()
	if !p.left {
		p.take(use)
	}
	var spare *Place
	if r.uses[Idle].Len() > r.idle {
		spare = r.spare(Idle)
	}
	r.mu.Unlock()
	if spare != nil {
		spare.close()
	}
}

// take moves the place; the room is locked.
func (p *Place) take(use Use) {
	if p.at != nil {
		p.room.uses[p.use].Remove(p.at)
		p.at = nil
	}
	if p.use, p.since = use, time.Now(); use != Busy {
		p.at = p.room.uses[use].PushBack(p)
	}
}

// Leave gives the place up, once however often it is called.
func (p *Place) Leave() {
	p.room.mu.Lock()
	defer p.room.mu.Unlock()
	if !p.left {
		p.take(Busy)
		p.left = true
		<-p.room.slots
	}
}
