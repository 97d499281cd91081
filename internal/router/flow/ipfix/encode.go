package ipfix

import (
	"encoding/binary"

	"portflow/internal/router/flow"
)

const (
	version          = 10
	headerOctets     = 16    // octets of the message header
	protocolTCP      = 6     // protocolIdentifier of all flows
	maxMessageOctets = 65535 // the length field has 16 bits
	maxNameOctets    = 128   // longer names are truncated; must be less than 255
)

// Names lists the names of the carriers and bands. Label.Carrier and Label.Band are positions in these lists, from 1.
type Names struct{ Carriers, Bands []string }

func (n Names) lookUp(all []string, i int) string {
	if i < 1 || i > len(all) {
		return ""
	}
	return all[i-1][:min(len(all[i-1]), maxNameOctets)]
}

// Encoder encodes the messages of an exporting process to one collector.
type Encoder struct {
	Domain     uint32 // observation domain ID
	Enterprise uint32 // private enterprise number of the enterprise-specific elements
	Names      Names
	Boot       int64  // start of the exporter, Unix nanoseconds
	Sequence   uint32 // sequence number of the next message: data records so far, modulo 2^32
}

// Templates appends a message with all templates. They are needed once per TCP or TLS connection, and must be sent again
// periodically over UDP (RFC 7011, sections 8 and 10.3.6).
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

// endSet writes the length of the set that starts at offset set.
func endSet(to []byte, set int) []byte {
	binary.BigEndian.PutUint16(to[set+2:], uint16(len(to)-set))
	return to
}

// endMessage writes the length of the message that starts at offset begin.
func endMessage(to []byte, begin int) []byte {
	binary.BigEndian.PutUint16(to[begin+2:], uint16(len(to)-begin))
	return to
}

// Data appends one message with as many of the records as fit in maxOctets, but at least one, and returns their number.
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
	e.Sequence += uint32(n) // counts data records, not messages (RFC 7011, section 3.1)
	return endMessage(to, begin), n
}

// Unsent undoes the change of Sequence by a message that had this number of records and was not sent.
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
	to = append(to, byte(r.Reason), 1) // biflowDirection initiator: the source opened the connection
	to = u64(to, r.Commands)
	to = append(to, byte(r.Side))
	for _, text := range []string{e.Names.lookUp(e.Names.Carriers, int(r.Carrier)), e.Names.lookUp(e.Names.Bands, int(r.Band)),
		r.Host[:min(len(r.Host), maxNameOctets)]} {
		to = append(to, byte(len(text)))
		to = append(to, text...)
	}
	to = u32(to, r.Build)
	drained := byte(2) // boolean encoding: 1 for true, 2 for false (RFC 7011, section 6.1.5)
	if r.Drained {
		drained = 1
	}
	to = append(to, drained)
	return u32(u32(to, r.Count), r.Connections)
}

// Totals appends an options data record with the numbers of records and octets exported and dropped so far.
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
