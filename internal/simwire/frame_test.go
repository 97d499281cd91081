package simwire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"portflow/internal/decision"
)

func parseHex(t *testing.T, text string) []byte {
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestFrames(t *testing.T) {
	list := "1c 0000003a 0000 00000002 03124a07 0000 00 0000 02 42240000 3f800000 0000000000000000" +
		"2c9011f2 0000 00 0000 02 42280000 3fc00000 000000016b969d00 11 0000000f 00000003 02 0000 0000000000000029"
	b, err := ReadBatch(bytes.NewReader(parseHex(t, "00000004 00000089 00000001f568bf90"+list+
		"14 00000024 00000003 5d3a91c4 00 0000 91f03b7c55d20a64 000000000e4e1c00 0000000000b71b00 01"+
		"1b 00000008 00000005 0e6f2b19")))
	if err != nil || b.Clock != 0x1f568bf90 || len(b.Events) != 4 {
		t.Fatal(err, b)
	}
	hosts := b.Events[0].Body.(HostList).Hosts
	if want := (decision.Host{ID: 0x2c9011f2, Build: 42, Capacity: 1.5, StartedAt: 0x16b969d00}); hosts[1] != want {
		t.Fatal(hosts[1])
	}
	if b.Events[1].Body != (HostsChanged{decision.CachedSnapshot, 0}) {
		t.Fatal(b.Events[1])
	}
	if want := (RequestReceived{decision.Request{ID: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, Remaining: 240000000, Cost: 12000000}}); b.Events[2] != (Event{3, want}) {
		t.Fatal(b.Events[2])
	}
	var out bytes.Buffer
	var r Reply
	Effects{3, &r}.StartAttempt(0x5d3a91c4, 0x03124a07, 0x1fa2d7390)
	Effects{3, &r}.SetTimer(500000000, 77)
	r.WriteTo(&out)
	if want := parseHex(t, "00000002 00000032 10 00000014 00000003 5d3a91c4 00000001fa2d7390 03124a07"+
		"14 00000014 00000003 000000001dcd6500 000000000000004d"); !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("%x", out.Bytes())
	}
}

func TestMalformed(t *testing.T) {
	for text, want := range map[string]string{
		"000000":                                                                                 "header: cut short",
		"00000000 00000004 0000000000000001 00":                                                  "1 bytes of 4",
		"00000001 00000003 0000000000000001 1b0000":                                              "record 0 at byte 0",
		"00000001 00000009 0000000000000001 63 00000004 00000001":                                "code 99 is unknown",
		"00000001 00000009 0000000000000001 1b 00000004 00000001":                                "Dropped: field corr",
		"00000001 0000000b 0000000000000001 1c 00000006 0000 00000009":                           "9 entries",
		"00000001 0000000d 0000000000000001 17 00000008 00000001 0002 0004":                      "field raw",
		"00000001 00000017 0000000000000001 1d 00000012 00000001 0000000000000007 00000002 7b7b": "Provision: settings",
		"00000000 ffffffff 0000000000000001":                                                     "too many",
	} {
		if _, err := ReadBatch(bytes.NewReader(parseHex(t, text))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", text, err, want)
		}
	}
	if _, err := ReadBatch(strings.NewReader("")); err != io.EOF {
		t.Error(err)
	}
}
