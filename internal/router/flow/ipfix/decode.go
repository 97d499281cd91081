package ipfix

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"portflow/internal/router/flow"
)

// Limits on the memory that a decoder uses for templates it receives.
const (
	maxTemplates = 1024 // over all observation domains
	maxElements  = 256  // per template
)

// Value is the value of an information element in a decoded record.
type Value struct {
	Element Element
	Raw     []byte // part of the message, not a copy
}

// Data is a decoded data record. Values are valid only until the callback returns.
type Data struct {
	Domain   uint32
	Template uint16
	Options  bool // the record belongs to an options template
	Values   []Value
}

// Decoder decodes the messages of one transport session. It keeps templates per observation domain (RFC 7011, section 8).
type Decoder struct {
	Enterprise uint32
	templates  map[[2]uint32]template // by observation domain and template ID
	sequence   map[uint32]uint32      // expected sequence number by observation domain
	Stats      Stats
}

// Stats has a decoder's counters.
type Stats struct {
	Messages, Records, Templates, Withdrawn int
	Unknown                                 int    // data sets without a known template
	Bad                                     int    // malformed messages
	Missed                                  uint32 // missing records, according to the sequence numbers
}

type template struct {
	elements        []Element
	scope           int // scope field count; 0 unless it is an options template
	minRecordOctets int // minimum length of a record
}

// NewDecoder returns a decoder without templates. enterprise is the private enterprise number of the enterprise-specific elements.
func NewDecoder(enterprise uint32) *Decoder {
	return &Decoder{Enterprise: enterprise, templates: map[[2]uint32]template{}, sequence: map[uint32]uint32{}}
}

// Length returns the length of the message that starts with b. It needs the first 4 octets.
func Length(b []byte) (int, error) {
	if len(b) < 4 {
		return 0, errors.New("ipfix: message is shorter than 4 octets")
	}
	if v := binary.BigEndian.Uint16(b); v != version {
		return 0, fmt.Errorf("ipfix: unsupported version %d", v)
	}
	n := int(binary.BigEndian.Uint16(b[2:]))
	if n < headerOctets {
		return 0, fmt.Errorf("ipfix: message length %d is less than the message header", n)
	}
	return n, nil
}

// Message decodes one message and calls each for every data record. Values refer to b. An error names the offset of the
// malformed set; records before it have been passed to each.
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
		return fmt.Errorf("ipfix: message length is %d, got %d octets", n, len(b))
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
			return fmt.Errorf("ipfix: octet %d: set header is cut short at %d octets", offset, n-offset)
		}
		id, length := binary.BigEndian.Uint16(b[offset:]), int(binary.BigEndian.Uint16(b[offset+2:]))
		if length < 4 || offset+length > n {
			return fmt.Errorf("ipfix: octet %d: set %d has invalid length %d", offset, id, length)
		}
		set := b[offset+4 : offset+length]
		switch {
		case id == 2 || id == 3:
			err = d.readTemplates(domain, set, id == 3)
		case id < 256:
			err = fmt.Errorf("set ID %d is reserved", id)
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

// readTemplates reads a template set or an options template set, which may also withdraw templates (RFC 7011, section 8.1).
func (d *Decoder) readTemplates(domain uint32, b []byte, options bool) error {
	for len(b) >= 4 { // fewer than 4 octets are padding
		id, count := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		b = b[4:]
		if count == 0 {
			if id == 2 || id == 3 { // withdraws all templates or all options templates
				for k, t := range d.templates {
					if k[0] == domain && (t.scope > 0) == (id == 3) {
						delete(d.templates, k)
					}
				}
			} else if id < 256 {
				return fmt.Errorf("template %d is withdrawn: IDs below 256 are reserved", id)
			}
			delete(d.templates, [2]uint32{domain, uint32(id)})
			d.Stats.Withdrawn++
			continue
		}
		if id < 256 || count > maxElements {
			return fmt.Errorf("template %d with %d elements: reserved ID or too many elements", id, count)
		}
		t := template{}
		if options {
			if len(b) < 2 {
				return fmt.Errorf("template %d: scope field count is missing", id)
			}
			if t.scope = int(binary.BigEndian.Uint16(b)); t.scope < 1 || t.scope > count {
				return fmt.Errorf("template %d: invalid scope field count %d", id, t.scope)
			}
			b = b[2:]
		}
		if len(b) < 4*count {
			return fmt.Errorf("template %d: %d elements do not fit in %d octets", id, count, len(b))
		}
		t.elements = make([]Element, 0, count)
		for range count {
			if len(b) < 4 {
				return fmt.Errorf("template %d: field specifier is cut short", id)
			}
			x := Element{ID: binary.BigEndian.Uint16(b), Length: binary.BigEndian.Uint16(b[2:])}
			b = b[4:]
			if x.ID&0x8000 != 0 {
				if len(b) < 4 {
					return fmt.Errorf("template %d: enterprise number is cut short", id)
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
			return fmt.Errorf("template %d: records would be empty", id)
		}
		k := [2]uint32{domain, uint32(id)}
		if _, known := d.templates[k]; !known && len(d.templates) >= maxTemplates {
			return fmt.Errorf("template %d: more than %d templates", id, maxTemplates)
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
	for len(b) >= t.minRecordOctets { // the rest is padding
		values = values[:0]
		for _, x := range t.elements {
			n := int(x.Length)
			if x.Length == Variable {
				if len(b) < 1 {
					return records, fmt.Errorf("template %d, element %d: length is missing", id, x.ID)
				}
				n, b = int(b[0]), b[1:]
				if n == 255 {
					if len(b) < 2 {
						return records, fmt.Errorf("template %d, element %d: length is cut short", id, x.ID)
					}
					n, b = int(binary.BigEndian.Uint16(b)), b[2:]
				}
			}
			if len(b) < n {
				return records, fmt.Errorf("template %d, element %d: got %d of %d octets", id, x.ID, len(b), n)
			}
			values = append(values, Value{x, b[:n]})
			b = b[n:]
		}
		records++
		each(Data{domain, id, t.scope > 0, values})
	}
	return records, nil
}

// Number decodes an unsigned integer of at most 8 octets, and returns 0 for longer values. Exporters may use fewer octets than the
// element's type has (RFC 7011, section 6.2).
func (v Value) Number() (n uint64) {
	if len(v.Raw) > 8 {
		return 0
	}
	for _, b := range v.Raw {
		n = n<<8 | uint64(b)
	}
	return n
}

// Read is a decoded flow record. The names replace Label.Carrier and Label.Band, which are 0.
type Read struct {
	flow.Record
	CarrierName string `json:"CarrierName"`
	BandName    string `json:"BandName"`
}

// Flow converts a data record to a flow record. ok is false for options data records and for records without any of portflow's
// enterprise-specific elements.
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
