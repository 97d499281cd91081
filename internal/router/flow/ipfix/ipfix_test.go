package ipfix

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"portflow/internal/router/flow"
)

func records() []flow.Record {
	ipv4 := flow.Record{Label: flow.Label{Side: flow.Hosts, Carrier: 2, Band: 1, Host: "h7", Build: 42, Drained: true},
		Counts: flow.Counts{Forward: 1 << 40, Reverse: 7, Commands: 3}, Source: netip.MustParseAddrPort("10.0.0.1:7"),
		Destination: netip.MustParseAddrPort("10.0.0.2:8081"), Start: 1e18, End: 1e18 + 5e9, Reason: flow.Active, Count: 1, Connections: 1}
	ipv6, folded := ipv4, ipv4
	ipv6.Source = netip.MustParseAddrPort("[2001:db8::1]:9")
	ipv6.Drained = false
	folded.Source, folded.Destination, folded.Count = netip.AddrPort{}, netip.AddrPort{}, 99
	return []flow.Record{ipv4, ipv6, folded, ipv4, ipv4}
}

func encoder() *Encoder {
	return &Encoder{Domain: 5, Enterprise: Documentation, Names: Names{[]string{"rila", "dunav"}, []string{"display"}}, Sequence: 1<<32 - 2}
}

// Decoded records must equal the encoded ones. Sequence numbers must count records, wrap around, and reveal missing records.
func TestRoundTrip(t *testing.T) {
	e, d := encoder(), NewDecoder(Documentation)
	if err := d.Message(e.Templates(nil, 1e18), nil); err != nil || d.Stats.Templates != 4 {
		t.Fatal(err, d.Stats)
	}
	all := records()
	got := 0
	for remaining := all; len(remaining) > 0; {
		m, n := e.Data(nil, 1e18, remaining, 300)
		if len(m) > 300 {
			t.Error("message length is", len(m))
		}
		err := d.Message(m, func(x Data) {
			r, ok := d.Flow(x)
			want := all[got]
			if got++; !ok || r.CarrierName != "dunav" || r.BandName != "display" {
				t.Error(r, ok)
			}
			want.Carrier, want.Band = 0, 0
			if want.Source.IsValid() && want.Source != r.Source && want.Source.Addr().Unmap() != r.Source.Addr().Unmap() {
				t.Error(r.Source, want.Source)
			}
			r.Source, r.Destination, want.Source, want.Destination = netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}, netip.AddrPort{}
			if r.Record != want {
				t.Errorf("%+v, want %+v", r.Record, want)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		remaining = remaining[n:]
	}
	if got != len(all) || d.Stats.Missed != 0 || e.Sequence != 3 {
		t.Error(got, d.Stats, e.Sequence)
	}
	e.Sequence += 4 // four missing records
	m, _ := e.Data(nil, 1e18, all[:1], 1<<16)
	if d.Message(m, func(Data) {}); d.Stats.Missed != 4 {
		t.Error("missed", d.Stats.Missed)
	}
	a := flow.Ledger{Lost: flow.Totals{Records: 9, Counts: flow.Counts{Forward: 2, Reverse: 3}}}
	if err := d.Message(e.Totals(nil, 1e18, a), func(x Data) {
		if !x.Options || x.Values[4].Number() != 9 || x.Values[5].Number() != 5 {
			t.Error(x)
		}
	}); err != nil {
		t.Error(err)
	}
}

// After the withdrawal of one template, and of all templates, their data sets must be counted as unknown without an error.
func TestWithdrawal(t *testing.T) {
	e, d := encoder(), NewDecoder(Documentation)
	d.Message(e.Templates(nil, 0), nil)
	withdraw := func(set, id uint16) {
		m := binary.BigEndian.AppendUint16([]byte{0, version, 0, 24, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5}, set)
		m = binary.BigEndian.AppendUint16(append(m, 0, 8), id)
		if err := d.Message(append(m, 0, 0), nil); err != nil {
			t.Fatal(err)
		}
	}
	withdraw(2, template4)
	if _, known := d.templates[[2]uint32{5, template4}]; known || len(d.templates) != 3 {
		t.Error(d.templates)
	}
	m, _ := e.Data(nil, 0, records()[:1], 1<<16)
	if err := d.Message(m, func(Data) { t.Error("read") }); err != nil || d.Stats.Unknown != 1 {
		t.Error(err, d.Stats)
	}
	if withdraw(2, 2); len(d.templates) != 1 {
		t.Error(d.templates)
	}
}

// FuzzDecoder checks that no input crashes the decoder, makes it exceed its template limit or yields more records than octets.
func FuzzDecoder(f *testing.F) {
	e := encoder()
	f.Add(e.Templates(nil, 1e18))
	m, _ := e.Data(nil, 1e18, records(), 1<<16)
	f.Add(m)
	f.Add([]byte{0, 10, 0, 28, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0, 12, 1, 0, 0, 1, 0, 1, 0, 0}) // template of an element without octets
	f.Add([]byte{0, 10, 0, 24, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0, 8, 1, 0, 0xff, 0xff})        // template of 65535 elements
	f.Add([]byte{0, 10, 0, 20, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0})                          // set of length 0
	f.Fuzz(func(t *testing.T, b []byte) {
		d := NewDecoder(Documentation)
		d.Message(encoder().Templates(nil, 0), nil)
		records := 0
		err := d.Message(b, func(x Data) {
			records++
			d.Flow(x)
		})
		if records > len(b) || len(d.templates) > maxTemplates || err != nil && d.Stats.Bad != 1 {
			t.Error(records, len(d.templates), err, d.Stats)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	e, all := encoder(), records()
	buffer := make([]byte, 0, 1<<16)
	for b.Loop() {
		e.Data(buffer, 1e18, all, 1<<16)
	}
}

func BenchmarkDecode(b *testing.B) {
	e, d := encoder(), NewDecoder(Documentation)
	d.Message(e.Templates(nil, 0), nil)
	m, _ := e.Data(nil, 1e18, records(), 1<<16)
	for b.Loop() {
		d.Message(m, func(x Data) { d.Flow(x) })
	}
}
