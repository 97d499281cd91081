// Package flow accounts for every connection of a router: it keeps what is open, makes a record of each active period,
// holds records for collectors under a bound of bytes, and finds who crowds. It has no clock and no I/O; every call
// brings the time, in Unix nanoseconds. docs/flows.md has the elements and the ways weighed.
package flow

import (
	"encoding/binary"
	"net/netip"
)

// Reason is why a record ends, numbered as IANA registers flowEndReason (element 136).
type Reason uint8

const (
	Idle      Reason = 1 // nothing passed for the idle time-out
	Active    Reason = 2 // the active time-out: the connection goes on
	Ended     Reason = 3 // its end was seen
	Forced    Reason = 4 // the router leaves
	Resources Reason = 5 // there was no room for it
)

// Side tells which of a router's peers is at the other end.
type Side uint8

const (
	Clients Side = iota // the client is the source, the router the destination
	Hosts               // the router is the source, the host the destination
)

// Label is what a connection's bytes and commands belong to.
type Label struct {
	Side    Side   `json:"Side"`
	Carrier uint16 `json:"Carrier"` // by position, from 1; 0 for none or several
	Band    uint8  `json:"Band"`    // the same
	Host    string `json:"Host"`    // its name on the list, of the hosts' side
	Build   uint32 `json:"Build"`
	Drained bool   `json:"Drained"` // the host was draining, or the router leaving, when it ended
}

// Counts are what passed.
type Counts struct {
	Forward  uint64 `json:"Forward"` // octets from the source to the destination
	Reverse  uint64 `json:"Reverse"` // octets the other way
	Commands uint64 `json:"Commands"`
}

// Add adds counts.
func (c *Counts) Add(x Counts) {
	c.Forward += x.Forward
	c.Reverse += x.Reverse
	c.Commands += x.Commands
}

// Zero tells that nothing passed.
func (c Counts) Zero() bool { return c == Counts{} }

// Record is one active period of a connection, as a biflow (RFC 5103), or several that were folded into one.
type Record struct {
	Label
	Counts
	Source      netip.AddrPort `json:"Source"`      // none of a folded record
	Destination netip.AddrPort `json:"Destination"` // none of a folded record
	Start       int64          `json:"Start"`       // Unix nanoseconds
	End         int64          `json:"End"`         // Unix nanoseconds
	Reason      Reason         `json:"Reason"`
	Count       uint32         `json:"Many"`        // records that it stands for, 1 for itself
	Connections uint32         `json:"Connections"` // connections that ended with it
}

// Family is 4 or 6, by the addresses that a record has, and 0 where it has none.
func (r *Record) Family() int {
	switch {
	case !r.Source.IsValid() || !r.Destination.IsValid():
		return 0
	case r.Source.Addr().Unmap().Is4() && r.Destination.Addr().Unmap().Is4():
		return 4
	}
	return 6
}

// AppendEndpoints appends both addresses and then both ports, in the order of the network, as all our templates have them.
func (r *Record) AppendEndpoints(dst []byte) []byte {
	isIPv4 := r.Family() == 4
	for _, a := range [...]netip.Addr{r.Source.Addr(), r.Destination.Addr()} {
		if isIPv4 {
			x := a.Unmap().As4()
			dst = append(dst, x[:]...)
		} else {
			x := a.As16()
			dst = append(dst, x[:]...)
		}
	}
	return binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(dst, r.Source.Port()), r.Destination.Port())
}

// recordBytes is about what a record takes while it waits, with its place in the queue; names are shared.
const recordBytes = 144
