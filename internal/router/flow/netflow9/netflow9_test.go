package netflow9

import (
	"net/netip"
	"testing"

	"portflow/internal/router/flow"
	"portflow/internal/router/flow/ipfix"
)

const now = int64(1_790_000_000e9)

func encoder() *Encoder {
	return &Encoder{Source: 5, Boot: now - 3600e9, Names: ipfix.Names{Carriers: []string{"rila", "dunav"}, Bands: []string{"display"}}}
}

func records() []flow.Record {
	ipv4 := flow.Record{Label: flow.Label{Side: flow.Hosts, Carrier: 2, Band: 1, Host: "h7", Build: 42, Drained: true},
		Counts: flow.Counts{Forward: 1 << 40, Reverse: 7, Commands: 3}, Source: netip.MustParseAddrPort("10.0.0.1:7"),
		Destination: netip.MustParseAddrPort("10.0.0.2:8081"), Start: now - 9e9, End: now - 1e9, Reason: flow.Active, Count: 1, Connections: 1}
	ipv6, folded := ipv4, ipv4
	ipv6.Source, ipv6.Destination = netip.MustParseAddrPort("[2001:db8::1]:9"), netip.MustParseAddrPort("[2001:db8::2]:9")
	folded.Source, folded.Destination, folded.Count = netip.AddrPort{}, netip.AddrPort{}, 99
	return []flow.Record{ipv4, ipv4, ipv6, folded, ipv4}
}

// Decoded records must equal the encoded ones, packets must not exceed the maximum length, and sequence numbers must reveal
// missing packets.
func TestRoundTrip(t *testing.T) {
	e, d, got := encoder(), NewDecoder(), 0
	if err := d.Message(e.Templates(nil, now), nil); err != nil || len(d.templates) != 3 {
		t.Fatal(err, d.templates)
	}
	all := records()
	for remaining := all; len(remaining) > 0; {
		m, n := e.Data(nil, now, remaining, 400)
		if len(m) > 400 || len(m)%4 != 0 {
			t.Error("packet length is", len(m))
		}
		if err := d.Message(m, func(r ipfix.Read) {
			want := all[got]
			got++
			if want.Carrier, want.Band = 0, 0; r.Record != want || r.CarrierName != "dunav" || r.BandName != "display" {
				t.Errorf("%+v, want %+v", r, want)
			}
		}); err != nil {
			t.Fatal(err)
		}
		remaining = remaining[n:]
	}
	if got != len(all) || d.Missed != 0 {
		t.Error(got, d.Missed)
	}
	e.Sequence += 3
	m, _ := e.Data(nil, now, all[:1], 400)
	if d.Message(m, func(ipfix.Read) {}); d.Missed != 3 {
		t.Error("missed", d.Missed)
	}
	if NewDecoder().Message(m, func(ipfix.Read) { t.Error("got a record without a template") }); t.Failed() {
		return
	}
}

// FuzzDecoder checks that no input crashes the decoder, makes it exceed its template limit or yields more records than octets.
func FuzzDecoder(f *testing.F) {
	f.Add(encoder().Templates(nil, now))
	m, _ := encoder().Data(nil, now, records(), 1<<16)
	f.Add(m)
	f.Add([]byte("\x00\x09\x00\x01\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x05\x00\x00\x00\x0c\x01\x00\x00\x01\x00\x01\x00\x00"))
	f.Add([]byte("\x00\x09\x00\x01\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x05\x01\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, n := NewDecoder(), 0
		d.Message(encoder().Templates(nil, now), nil)
		d.Message(b, func(ipfix.Read) { n++ })
		if n > len(b) || len(d.templates) > maxTemplates {
			t.Error(n, len(d.templates))
		}
	})
}
