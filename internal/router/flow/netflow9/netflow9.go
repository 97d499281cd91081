// Package netflow9 encodes and decodes NetFlow version 9 export packets (RFC 3954) with a router's flow records. Version 9 has no
// enterprise-specific, variable-length or reverse fields, so portflow's own fields have types from 40001 on, names have 24 octets,
// and OUT_BYTES has the reverse octets. Times are in milliseconds since the start of the exporter.
package netflow9

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"portflow/internal/router/flow"
	"portflow/internal/router/flow/ipfix"
)

const (
	version      = 9
	headerOctets = 20
	nameOctets   = 24
	protocolTCP  = 6
	maxTemplates = 1024 // limit on the templates, and on the sources, that a decoder keeps
)

// Field types (RFC 3954, section 8).
const (
	inBytes            = 1
	protocolIdentifier = 4
	sourcePort         = 7
	sourceIPv4         = 8
	destPort           = 11
	destIPv4           = 12
	lastSwitched       = 21
	firstSwitched      = 22
	outBytes           = 23
	sourceIPv6         = 27
	destIPv6           = 28
)

// Field types of portflow's own fields.
const (
	ownCommands = 40001 + iota
	ownSide
	ownCarrier
	ownBand
	ownHost
	ownBuild
	ownDrained
	ownRecords
	ownConnections
	ownReason
)

type field struct{ kind, length uint16 }

// Template IDs.
const (
	template4 = 256 + iota
	template6
	templateFolded
)

func fields(template uint16) []field {
	common := []field{{firstSwitched, 4}, {lastSwitched, 4}, {inBytes, 8}, {outBytes, 8}, {ownReason, 1}, {ownCommands, 8}, {ownSide, 1},
		{ownCarrier, nameOctets}, {ownBand, nameOctets}, {ownHost, nameOctets}, {ownBuild, 4}, {ownDrained, 1}, {ownRecords, 4}, {ownConnections, 4}}
	switch template {
	case template4:
		return append([]field{{sourceIPv4, 4}, {destIPv4, 4}, {sourcePort, 2}, {destPort, 2}, {protocolIdentifier, 1}}, common...)
	case template6:
		return append([]field{{sourceIPv6, 16}, {destIPv6, 16}, {sourcePort, 2}, {destPort, 2}, {protocolIdentifier, 1}}, common...)
	}
	return common
}

// Encoder encodes the export packets of one exporter.
type Encoder struct {
	Source   uint32 // source ID
	Names    ipfix.Names
	Boot     int64  // start of the exporter, Unix nanoseconds
	Sequence uint32 // sequence number of the next packet
}

// uptime converts Unix nanoseconds to milliseconds since the start of the exporter. It wraps around after 49 days (RFC 3954,
// section 5.1).
func (e *Encoder) uptime(at int64) uint32 { return uint32(max(0, at-e.Boot) / 1e6) }

func (e *Encoder) begin(to []byte, now int64) []byte {
	u32 := binary.BigEndian.AppendUint32
	to = append(to, 0, version, 0, 0)
	to = u32(u32(to, e.uptime(now)), uint32(now/1e9))
	e.Sequence++ // counts packets, not records (section 5.1)
	return u32(u32(to, e.Sequence-1), e.Source)
}

// endFlowSet pads the FlowSet that starts at offset set to a multiple of 4 octets and writes its length (section 5.2).
func endFlowSet(to []byte, set int) []byte {
	for (len(to)-set)%4 != 0 {
		to = append(to, 0)
	}
	binary.BigEndian.PutUint16(to[set+2:], uint16(len(to)-set))
	return to
}

// Templates appends an export packet with all templates.
func (e *Encoder) Templates(to []byte, now int64) []byte {
	begin := len(to)
	to = e.begin(to, now)
	set := len(to)
	to = append(to, 0, 0, 0, 0)
	for _, t := range []uint16{template4, template6, templateFolded} {
		all := fields(t)
		to = binary.BigEndian.AppendUint16(to, t)
		to = binary.BigEndian.AppendUint16(to, uint16(len(all)))
		for _, f := range all {
			to = binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(to, f.kind), f.length)
		}
	}
	to = endFlowSet(to, set)
	binary.BigEndian.PutUint16(to[begin+2:], 3)
	return to
}

// Data appends one export packet with as many of the records as fit in maxOctets, but at least one, and returns their number.
func (e *Encoder) Data(to []byte, now int64, records []flow.Record, maxOctets int) ([]byte, int) {
	begin := len(to)
	to = e.begin(to, now)
	set, setTemplate, n := 0, uint16(0), 0
	for i := range records {
		r := &records[i]
		t := templateOf(r)
		before, previousSet, previousTemplate := len(to), set, setTemplate
		if t != setTemplate {
			if setTemplate != 0 {
				to = endFlowSet(to, set)
			}
			set, setTemplate = len(to), t
			to = append(binary.BigEndian.AppendUint16(to, t), 0, 0)
		}
		to = e.appendRecord(to, t, r)
		if len(to)-begin+3 > maxOctets && n > 0 {
			to, set, setTemplate = to[:before], previousSet, previousTemplate
			break
		}
		n++
	}
	if setTemplate != 0 {
		to = endFlowSet(to, set)
	}
	binary.BigEndian.PutUint16(to[begin+2:], uint16(n))
	return to, n
}

// Unsent undoes the change of Sequence by a packet that was not sent.
func (e *Encoder) Unsent(int) { e.Sequence-- }

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
	to = u32(u32(to, e.uptime(r.Start)), e.uptime(r.End))
	to = append(u64(u64(to, r.Forward), r.Reverse), byte(r.Reason))
	to = append(u64(to, r.Commands), byte(r.Side))
	for _, text := range []string{lookUpName(e.Names.Carriers, int(r.Carrier)), lookUpName(e.Names.Bands, int(r.Band)), r.Host} {
		var fixed [nameOctets]byte
		copy(fixed[:], text)
		to = append(to, fixed[:]...)
	}
	drained := byte(0)
	if r.Drained {
		drained = 1
	}
	return u32(u32(append(u32(to, r.Build), drained), r.Count), r.Connections)
}

func lookUpName(all []string, i int) string {
	if i < 1 || i > len(all) {
		return ""
	}
	return all[i-1]
}

// Decoder decodes export packets. It keeps templates per source ID.
type Decoder struct {
	templates map[[2]uint32][]field // by source ID and template ID
	sequence  map[uint32]uint32     // expected sequence number by source ID
	Unknown   int                   // data FlowSets without a known template
	Missed    uint32                // missing packets, according to the sequence numbers
}

// NewDecoder returns a decoder without templates.
func NewDecoder() *Decoder {
	return &Decoder{templates: map[[2]uint32][]field{}, sequence: map[uint32]uint32{}}
}

// Message decodes one export packet and calls each for every flow record. An error names the offset of the malformed FlowSet;
// records before it have been passed to each.
func (d *Decoder) Message(b []byte, each func(ipfix.Read)) error {
	if len(b) < headerOctets {
		return errors.New("netflow9: packet header is cut short")
	}
	if v := binary.BigEndian.Uint16(b); v != version {
		return fmt.Errorf("netflow9: unsupported version %d", v)
	}
	boot := int64(binary.BigEndian.Uint32(b[8:]))*1e9 - int64(binary.BigEndian.Uint32(b[4:]))*1e6
	sequence, source := binary.BigEndian.Uint32(b[12:]), binary.BigEndian.Uint32(b[16:])
	if next, known := d.sequence[source]; known && sequence-next < 1<<31 {
		d.Missed += sequence - next
	}
	if _, known := d.sequence[source]; known || len(d.sequence) < maxTemplates {
		d.sequence[source] = sequence + 1
	}
	for offset := headerOctets; len(b)-offset >= 4; {
		id, length := binary.BigEndian.Uint16(b[offset:]), int(binary.BigEndian.Uint16(b[offset+2:]))
		if length < 4 || offset+length > len(b) {
			return fmt.Errorf("netflow9: octet %d: FlowSet %d has invalid length %d", offset, id, length)
		}
		var err error
		switch set := b[offset+4 : offset+length]; {
		case id == 0:
			err = d.readTemplates(source, set)
		case id < 256: // ignores options templates and reserved IDs
		default:
			d.readRecords(source, id, set, boot, each)
		}
		if err != nil {
			return fmt.Errorf("netflow9: octet %d: %w", offset, err)
		}
		offset += length
	}
	return nil
}

func (d *Decoder) readTemplates(source uint32, b []byte) error {
	for len(b) >= 4 {
		id, count := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		if id < 256 {
			return nil // padding
		}
		if b = b[4:]; count == 0 || count > 256 || len(b) < 4*count {
			return fmt.Errorf("template %d: invalid field count %d for %d octets", id, count, len(b))
		}
		all, size := make([]field, 0, count), 0
		for range count {
			f := field{binary.BigEndian.Uint16(b), binary.BigEndian.Uint16(b[2:])}
			all, size, b = append(all, f), size+int(f.length), b[4:]
		}
		if size == 0 {
			return fmt.Errorf("template %d: records would be empty", id)
		}
		k := [2]uint32{source, uint32(id)}
		if _, known := d.templates[k]; !known && len(d.templates) >= maxTemplates {
			return fmt.Errorf("template %d: more than %d templates", id, maxTemplates)
		}
		d.templates[k] = all
	}
	return nil
}

func (d *Decoder) readRecords(source uint32, id uint16, b []byte, boot int64, each func(ipfix.Read)) {
	all, known := d.templates[[2]uint32{source, uint32(id)}]
	if !known {
		d.Unknown++
		return
	}
	size := 0
	for _, f := range all {
		size += int(f.length)
	}
	for ; len(b) >= size; b = b[size:] {
		each(readRecord(all, b[:size], boot))
	}
}

func readRecord(all []field, b []byte, boot int64) (r ipfix.Read) {
	var source, destination netip.Addr
	var srcPort, dstPort uint16
	for _, f := range all {
		raw := b[:f.length]
		b = b[f.length:]
		v := ipfix.Value{Raw: raw}.Number()
		text := func() string { return string(bytes.TrimRight(raw, "\x00")) }
		switch f.kind {
		case sourceIPv4, sourceIPv6:
			source, _ = netip.AddrFromSlice(raw)
		case destIPv4, destIPv6:
			destination, _ = netip.AddrFromSlice(raw)
		case sourcePort:
			srcPort = uint16(v)
		case destPort:
			dstPort = uint16(v)
		case firstSwitched:
			r.Start = boot + int64(uint32(v))*1e6
		case lastSwitched:
			r.End = boot + int64(uint32(v))*1e6
		case inBytes:
			r.Forward = v
		case outBytes:
			r.Reverse = v
		case ownReason:
			r.Reason = flow.Reason(v)
		case ownCommands:
			r.Commands = v
		case ownSide:
			r.Side = flow.Side(v)
		case ownCarrier:
			r.CarrierName = text()
		case ownBand:
			r.BandName = text()
		case ownHost:
			r.Host = text()
		case ownBuild:
			r.Build = uint32(v)
		case ownDrained:
			r.Drained = v == 1
		case ownRecords:
			r.Count = uint32(v)
		case ownConnections:
			r.Connections = uint32(v)
		}
	}
	if source.IsValid() && destination.IsValid() {
		r.Source, r.Destination = netip.AddrPortFrom(source, srcPort), netip.AddrPortFrom(destination, dstPort)
	}
	return r
}
