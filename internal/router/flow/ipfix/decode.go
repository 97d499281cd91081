package ipfix

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"portflow/internal/router/flow"
)

// Bounds of what a decoder keeps for others' templates.
const (
	maxTemplates = 1024 // of all observation domains
	maxElements  = 256  // of a template
)

// Value is one element's of a record that was read.
type Value struct {
	Element Element
	Raw     []byte // in the message
}

// Data is a record that was read.
type Data struct {
	Domain   uint32
	Template uint16
	Options  bool
	Values   []Value
}

// Decoder reads messages of one transport session; templates are an observation domain's (RFC 7011, section 8).
type Decoder struct {
	Enterprise uint32
	templates  map[[2]uint32]template
	sequence   map[uint32]uint32
	Stats      Stats
}

// Stats counts what a decoder met.
type Stats struct {
	Messages, Records, Templates, Withdrawn int
	Unknown                                 int    // sets of which it knows no template
	Bad                                     int    // messages that are wrong
	Missed                                  uint32 // records that never came, by the sequence numbers
}

type template struct {
	elements        []Element
	scope           int
	minRecordOctets int // octets of a record at least
}

// NewDecoder makes one that knows no template; it takes our own elements to be under this enterprise number.
func NewDecoder(enterprise uint32) *Decoder {
	return &Decoder{Enterprise: enterprise, templates: map[[2]uint32]template{}, sequence: map[uint32]uint32{}}
}

// Length tells how long the message is that begins with these 4 octets or more.
func Length(b []byte) (int, error) {
	if len(b) < 4 {
		return 0, errors.New("ipfix: fewer than 4 octets")
	}
	if v := binary.BigEndian.Uint16(b); v != version {
		return 0, fmt.Errorf("ipfix: version %d", v)
	}
	n := int(binary.BigEndian.Uint16(b[2:]))
	if n < headerOctets {
		return 0, fmt.Errorf("ipfix: a message of %d octets", n)
	}
	return n, nil
}

// Message reads one message and hands its records to each. The values point into it. What is wrong is an error with its
// place; records before it count.
func (d *Decoder) Message(b []byte, each func(Data)) error {
	err := d.message(b, each)
	if err != nil {
		d.Stats.Bad++
	}
	return err
}

func (d *Decoder) message(b []byte, each func(Data)) error {
	n, err := Length(b)
	if err != nil {
		return err
	}
	if n != len(b) {
		return fmt.Errorf("ipfix: a length of %d, and %d octets", n, len(b))
	}
	d.Stats.Messages++
	sequence, domain := binary.BigEndian.Uint32(b[8:]), binary.BigEndian.Uint32(b[12:])
	if expected, known := d.sequence[domain]; known && sequence-expected < 1<<31 {
		d.Stats.Missed += sequence - expected
	}
	if len(d.sequence) < maxTemplates || d.sequence[domain] != 0 {
		d.sequence[domain] = sequence
	}
	for offset := headerOctets; offset < n; {
		if n-offset < 4 {
			return fmt.Errorf("ipfix: octet %d: %d octets of a set's head", offset, n-offset)
		}
		id, length := binary.BigEndian.Uint16(b[offset:]), int(binary.BigEndian.Uint16(b[offset+2:]))
		if length < 4 || offset+length > n {
			return fmt.Errorf("ipfix: octet %d: set %d of %d octets", offset, id, length)
		}
		set := b[offset+4 : offset+length]
		switch {
		case id == 2 || id == 3:
			err = d.readTemplates(domain, set, id == 3)
		case id < 256:
			err = fmt.Errorf("set %d is reserved", id)
		default:
			var records int
			records, err = d.readRecords(domain, id, set, each)
			d.sequence[domain] += uint32(records)
			d.Stats.Records += records
		}
		if err != nil {
			return fmt.Errorf("ipfix: octet %d: %w", offset, err)
		}
		offset += length
	}
	return nil
}

// define reads templates, or their withdrawal (RFC 7011, section 8.1).
func (d *Decoder) readTemplates(domain uint32, b []byte, options bool) error {
	for len(b) >= 4 { // fewer octets are padding
		id, count := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		b = b[4:]
		if count == 0 {
			if id == 2 || id == 3 { // all of the kind
				for k, t := range d.templates {
					if k[0] == domain && (t.scope > 0) == (id == 3) {
						delete(d.templates, k)
					}
				}
			} else if id < 256 {
				return fmt.Errorf("template %d", id)
			}
			delete(d.templates, [2]uint32{domain, uint32(id)})
			d.Stats.Withdrawn++
			continue
		}
		if id < 256 || count > maxElements {
			return fmt.Errorf("template %d of %d elements", id, count)
		}
		t := template{}
		if options {
			if len(b) < 2 {
				return fmt.Errorf("template %d: no scope", id)
			}
			if t.scope = int(binary.BigEndian.Uint16(b)); t.scope < 1 || t.scope > count {
				return fmt.Errorf("template %d: a scope of %d", id, t.scope)
			}
			b = b[2:]
		}
		if len(b) < 4*count {
			return fmt.Errorf("template %d: %d elements in %d octets", id, count, len(b))
		}
		t.elements = make([]Element, 0, count)
		for range count {
			if len(b) < 4 {
				return fmt.Errorf("template %d: ends in its elements", id)
			}
			x := Element{ID: binary.BigEndian.Uint16(b), Length: binary.BigEndian.Uint16(b[2:])}
			b = b[4:]
			if x.ID&0x8000 != 0 {
				if len(b) < 4 {
					return fmt.Errorf("template %d: ends in an enterprise number", id)
				}
				x.ID, x.Enterprise = x.ID&0x7fff, binary.BigEndian.Uint32(b)
				b = b[4:]
			}
			t.elements = append(t.elements, x)
			if x.Length == Variable {
				t.minRecordOctets++
			} else {
				t.minRecordOctets += int(x.Length)
			}
		}
		if t.minRecordOctets == 0 {
			return fmt.Errorf("template %d: records of no octets", id)
		}
		k := [2]uint32{domain, uint32(id)}
		if _, known := d.templates[k]; !known && len(d.templates) >= maxTemplates {
			return fmt.Errorf("template %d: more than %d", id, maxTemplates)
		}
		d.templates[k] = t
		d.Stats.Templates++
	}
	return nil
}

func (d *Decoder) readRecords(domain uint32, id uint16, b []byte, each func(Data)) (records int, err error) {
	t, known := d.templates[[2]uint32{domain, uint32(id)}]
	if !known {
		d.Stats.Unknown++
		return 0, nil
	}
	values := make([]Value, 0, len(t.elements))
	for len(b) >= t.minRecordOctets { // what is left is padding
		values = values[:0]
		for _, x := range t.elements {
			n := int(x.Length)
			if x.Length == Variable {
				if len(b) < 1 {
					return records, fmt.Errorf("template %d, element %d: no length", id, x.ID)
				}
				n, b = int(b[0]), b[1:]
				if n == 255 {
					if len(b) < 2 {
						return records, fmt.Errorf("template %d, element %d: half a length", id, x.ID)
					}
					n, b = int(binary.BigEndian.Uint16(b)), b[2:]
				}
			}
			if len(b) < n {
				return records, fmt.Errorf("template %d, element %d: %d of %d octets", id, x.ID, len(b), n)
			}
			values = append(values, Value{x, b[:n]})
			b = b[n:]
		}
		records++
		each(Data{domain, id, t.scope > 0, values})
	}
	return records, nil
}

// Number reads an unsigned number of 1 to 8 octets (RFC 7011, section 6.2 lets exporters shorten them).
func (v Value) Number() (n uint64) {
	if len(v.Raw) > 8 {
		return 0
	}
	for _, b := range v.Raw {
		n = n<<8 | uint64(b)
	}
	return n
}

// Read is a record of ours, with names in place of numbers.
type Read struct {
	flow.Record
	CarrierName string `json:"CarrierName"`
	BandName    string `json:"BandName"`
}

// Flow turns a record into one of ours; false says that it is none.
func (d *Decoder) Flow(x Data) (r Read, ok bool) {
	if x.Options {
		return r, false
	}
	var source, destination netip.Addr
	var sourcePort, destinationPort uint16
	enterpriseSpecific := 0
	for _, v := range x.Values {
		switch e := v.Element; {
		case e.Enterprise == reverseEnterprise && e.ID == octetDeltaCount.ID:
			r.Reverse = v.Number()
		case e.Enterprise == d.Enterprise:
			enterpriseSpecific++
			switch e.ID {
			case idCommands:
				r.Commands = v.Number()
			case idSide:
				r.Side = flow.Side(v.Number())
			case idCarrier:
				r.CarrierName = string(v.Raw)
			case idBand:
				r.BandName = string(v.Raw)
			case idHost:
				r.Host = string(v.Raw)
			case idBuild:
				r.Build = uint32(v.Number())
			case idDrained:
				r.Drained = v.Number() == 1
			case idRecords:
				r.Count = uint32(v.Number())
			case idConnections:
				r.Connections = uint32(v.Number())
			}
		case e.Enterprise != 0:
		default:
			switch e.ID {
			case octetDeltaCount.ID:
				r.Forward = v.Number()
			case sourceIPv4Address.ID, sourceIPv6Address.ID:
				source, _ = netip.AddrFromSlice(v.Raw)
			case destinationIPv4Address.ID, destinationIPv6Address.ID:
				destination, _ = netip.AddrFromSlice(v.Raw)
			case sourceTransportPort.ID:
				sourcePort = uint16(v.Number())
			case destinationTransportPort.ID:
				destinationPort = uint16(v.Number())
			case flowEndReason.ID:
				r.Reason = flow.Reason(v.Number())
			case flowStartMilliseconds.ID:
				r.Start = int64(v.Number()) * 1e6
			case flowEndMilliseconds.ID:
				r.End = int64(v.Number()) * 1e6
			}
		}
	}
	if source.IsValid() && destination.IsValid() {
		r.Source, r.Destination = netip.AddrPortFrom(source, sourcePort), netip.AddrPortFrom(destination, destinationPort)
	}
	return r, enterpriseSpecific > 0
}
