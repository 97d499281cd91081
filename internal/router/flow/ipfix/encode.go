package ipfix

import (
	"encoding/binary"

	"portflow/internal/router/flow"
)

const (
	version          = 10
	headerOctets     = 16    // octets of a message's
	protocolTCP      = 6     // the protocol of all our flows
	maxMessageOctets = 65535 // octets of a message, as its length has 16 bits
	maxNameOctets    = 128   // octets of a name at most
)

// Names tells carriers' and bands' names, by their numbers from 1.
type Names struct{ Carriers, Bands []string }

func (n Names) lookUp(all []string, i int) string {
	if i < 1 || i > len(all) {
		return ""
	}
	return all[i-1][:min(len(all[i-1]), maxNameOctets)]
}

// Encoder writes messages of one exporting process to one collector.
type Encoder struct {
	Domain     uint32 // the observation domain
	Enterprise uint32
	Names      Names
	Boot       int64 // when the exporter began, Unix nanoseconds
	Sequence   uint32
}

// Templates appends a message with all templates; a collector that gets one over TCP or TLS needs no further ones on
// that connection, over UDP they are to be sent again and again (RFC 7011, sections 8 and 10.3.6).
func (e *Encoder) Templates(to []byte, now int64) []byte {
	begin := len(to)
	to = e.begin(to, now)
	set := len(to)
	to = append(to, 0, 2, 0, 0)
	for _, t := range []uint16{template4, template6, templateFolded} {
		to = e.appendTemplate(to, t, 0)
	}
	to = endSet(to, set)
	set = len(to)
	to = append(to, 0, 3, 0, 0)
	to = e.appendTemplate(to, templateTotals, totalsScopeFields)
	to = endSet(to, set)
	return endMessage(to, begin)
}

func (e *Encoder) appendTemplate(to []byte, t uint16, scope uint16) []byte {
	all := elements(t, e.Enterprise)
	to = binary.BigEndian.AppendUint16(to, t)
	to = binary.BigEndian.AppendUint16(to, uint16(len(all)))
	if scope > 0 {
		to = binary.BigEndian.AppendUint16(to, scope)
	}
	for _, x := range all {
		id := x.ID
		if x.Enterprise != 0 {
			id |= 0x8000
		}
		to = binary.BigEndian.AppendUint16(to, id)
		to = binary.BigEndian.AppendUint16(to, x.Length)
		if x.Enterprise != 0 {
			to = binary.BigEndian.AppendUint32(to, x.Enterprise)
		}
	}
	return to
}

func (e *Encoder) begin(to []byte, now int64) []byte {
	to = append(to, 0, version, 0, 0)
	to = binary.BigEndian.AppendUint32(to, uint32(now/1e9))
	to = binary.BigEndian.AppendUint32(to, e.Sequence)
	return binary.BigEndian.AppendUint32(to, e.Domain)
}

// end states a set's length, end2 a message's.
func endSet(to []byte, set int) []byte {
	binary.BigEndian.PutUint16(to[set+2:], uint16(len(to)-set))
	return to
}

func endMessage(to []byte, begin int) []byte {
	binary.BigEndian.PutUint16(to[begin+2:], uint16(len(to)-begin))
	return to
}

// Data appends one message of as many records as fit into so many octets, at least one, and tells how many.
func (e *Encoder) Data(to []byte, now int64, records []flow.Record, maxOctets int) ([]byte, int) {
	maxOctets = min(maxOctets, maxMessageOctets)
	begin := len(to)
	to = e.begin(to, now)
	set, setTemplate, n := 0, uint16(0), 0
	for i := range records {
		r := &records[i]
		t := templateOf(r)
		before := len(to)
		if t != setTemplate {
			set, setTemplate = len(to), t
			to = binary.BigEndian.AppendUint16(to, t)
			to = append(to, 0, 0)
		}
		to = e.appendRecord(to, t, r)
		if len(to)-begin > maxOctets && n > 0 {
			to = to[:before]
			break
		}
		to = endSet(to, set)
		n++
	}
	e.Sequence += uint32(n) // of data records, not of messages (RFC 7011, section 3.1)
	return endMessage(to, begin), n
}

// Unsent takes back the sequence of a message of so many records that never went.
func (e *Encoder) Unsent(records int) { e.Sequence -= uint32(records) }

func templateOf(r *flow.Record) uint16 {
	switch r.Family() {
	case 4:
		return template4
	case 6:
		return template6
	}
	return templateFolded
}

func (e *Encoder) appendRecord(to []byte, t uint16, r *flow.Record) []byte {
	u32, u64 := binary.BigEndian.AppendUint32, binary.BigEndian.AppendUint64
	if t != templateFolded {
		to = append(r.AppendEndpoints(to), protocolTCP)
	}
	to = u64(u64(to, uint64(r.Start/1e6)), uint64(r.End/1e6))
	to = u64(u64(to, r.Forward), r.Reverse)
	to = append(to, byte(r.Reason), 1) // biflowDirection: the source began it
	to = u64(to, r.Commands)
	to = append(to, byte(r.Side))
	for _, text := range []string{e.Names.lookUp(e.Names.Carriers, int(r.Carrier)), e.Names.lookUp(e.Names.Bands, int(r.Band)),
		r.Host[:min(len(r.Host), maxNameOctets)]} {
		to = append(to, byte(len(text)))
		to = append(to, text...)
	}
	to = u32(to, r.Build)
	drained := byte(2) // a boolean: 1 for true, 2 for false (RFC 7011, section 6.1.5)
	if r.Drained {
		drained = 1
	}
	to = append(to, drained)
	return u32(u32(to, r.Count), r.Connections)
}

// Totals appends a message that tells what became of all records so far.
func (e *Encoder) Totals(to []byte, now int64, a flow.Ledger) []byte {
	begin := len(to)
	to = e.begin(to, now)
	set := len(to)
	to = binary.BigEndian.AppendUint16(to, templateTotals)
	to = append(to, 0, 0)
	u64 := binary.BigEndian.AppendUint64
	to = binary.BigEndian.AppendUint32(to, e.Domain)
	to = u64(u64(u64(to, uint64(e.Boot/1e6)), a.Exported.Records), a.Exported.Forward+a.Exported.Reverse)
	to = u64(u64(to, a.Lost.Records), a.Lost.Forward+a.Lost.Reverse)
	e.Sequence++
	return endMessage(endSet(to, set), begin)
}
