// Package flow accounts for the traffic of a router's connections. Cache tracks open connections and emits a flow record for
// each active period, Backlog queues the records for a collector within a memory limit, and HeavyHitters finds the IDs with
// the most traffic. The package has no clock and does no I/O: callers pass the time, in Unix nanoseconds. docs/flows.md
// describes the exported elements and the alternatives considered.
package flow

import (
	"encoding/binary"
	"net/netip"
)

// Reason is the reason why a record was emitted, with the values that IANA registers for flowEndReason (element 136).
type Reason uint8

const (
	Idle      Reason = 1 // no traffic for the idle timeout
	Active    Reason = 2 // the active timeout expired; the connection continues
	Ended     Reason = 3 // the connection was closed
	Forced    Reason = 4 // the router shuts down
	Resources Reason = 5 // lack of resources
)

// Side is the kind of peer that a router's connection leads to.
type Side uint8

const (
	Clients Side = iota // the client is the source, the router the destination
	Hosts               // the router is the source, the host the destination
)

// Label is what the octets and commands of a connection are attributed to.
type Label struct {
	Side    Side   `json:"Side"`
	Carrier uint16 `json:"Carrier"` // position in the list of carriers, from 1; 0 for none or several
	Band    uint8  `json:"Band"`    // position in the list of bands, from 1; 0 for none or several
	Host    string `json:"Host"`    // address of the host; empty if Side is Clients
	Build   uint32 `json:"Build"`
	Drained bool   `json:"Drained"` // at the end, the peer was draining or the router was shutting down
}

// Counts is an amount of traffic.
type Counts struct {
	Forward  uint64 `json:"Forward"` // octets from the source to the destination
	Reverse  uint64 `json:"Reverse"` // octets from the destination to the source
	Commands uint64 `json:"Commands"`
}

// Add adds x to c.
func (c *Counts) Add(x Counts) {
	c.Forward += x.Forward
	c.Reverse += x.Reverse
	c.Commands += x.Commands
}

// Zero reports whether there was no traffic.
func (c Counts) Zero() bool { return c == Counts{} }

// Record is a biflow (RFC 5103): one active period of a connection, or an aggregate of several such records (a folded record).
type Record struct {
	Label
	Counts
	Source      netip.AddrPort `json:"Source"`      // zero in a folded record
	Destination netip.AddrPort `json:"Destination"` // zero in a folded record
	Start       int64          `json:"Start"`       // Unix nanoseconds
	End         int64          `json:"End"`         // Unix nanoseconds
	Reason      Reason         `json:"Reason"`
	Count       uint32         `json:"Many"`        // number of records folded into this one; 1 if not folded
	Connections uint32         `json:"Connections"` // number of connections that this record closes
}

// Family returns the IP version of the addresses, 4 or 6, or 0 if one of them is missing. Mixed addresses count as IPv6.
func (r *Record) Family() int {
	switch {
	case !r.Source.IsValid() || !r.Destination.IsValid():
		return 0
	case r.Source.Addr().Unmap().Is4() && r.Destination.Addr().Unmap().Is4():
		return 4
	}
	return 6
}

// AppendEndpoints appends the source and destination addresses and then the ports in network byte order, the layout of all
// templates that are not for folded records. Both addresses must be valid.
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

// recordBytes is the approximate memory of a queued record, including its queue entry. Strings are shared and not counted.
const recordBytes = 144
