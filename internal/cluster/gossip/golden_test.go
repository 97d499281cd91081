package gossip

import (
	"encoding/json"
	"net"
	"reflect"
	"testing"

	"portflow/internal/golden"
)

// Datagrams of each sort, and one with all fields, have the same bytes and are read as the same.
func TestGoldenDatagrams(t *testing.T) {
	a, b := Member{IP: "10.0.2.1", Kind: Proxy, Zone: "z1"}, Member{IP: "10.0.0.1", Zone: "z1", Age: 3}
	var full datagram
	golden.Fill(&full)
	for name, want := range map[string]datagram{
		"shuffle.json": {From: a, Sample: []Member{a, b}},
		"answer.json":  {From: b, Sample: []Member{b}, Reply: true},
		"gossip.json":  {From: a, Topic: "desk", Payload: []byte{0, 1, 0xfe, 0xff}},
		"full.json":    full,
	} {
		raw, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var read datagram
		if err := json.Unmarshal(golden.Equal(t, name, raw), &read); err != nil || !reflect.DeepEqual(read, want) {
			t.Errorf("%s: read as %+v, %v", name, read, err)
		}
	}
	if fields := golden.Untagged(reflect.TypeFor[datagram]()); len(fields) > 0 {
		t.Errorf("without a json tag: %q", fields)
	}
}

// A process takes the golden datagrams up: a shuffle's members come into its view, gossip is heard by its topic; and what it
// answers and gossips itself are such datagrams.
func TestGoldenDatagramsAreHeard(t *testing.T) {
	m := &fakePacketConn{in: [][]byte{golden.Read(t, "shuffle.json"), golden.Read(t, "gossip.json")}, from: &net.UDPAddr{IP: net.IPv4(10, 0, 2, 1), Port: 7601}}
	var topic string
	var gossip []byte
	c := Start(Member{IP: "10.0.0.1", Zone: "z1", Age: 3}, m, [2]int{7600, 7601}, 1, func(t string, raw []byte) { topic, gossip = t, raw })
	c.listen()
	if topic != "desk" || string(gossip) != "\x00\x01\xfe\xff" || c.Rejected.Load() > 0 {
		t.Errorf("heard %q %x, %d foreign", topic, gossip, c.Rejected.Load())
	}
	if all := c.Members(); len(all) != 1 || all[0] != (Member{IP: "10.0.2.1", Kind: Proxy, Zone: "z1"}) {
		t.Errorf("the view is %+v", all)
	}
	c = Start(Member{IP: "10.0.2.1", Kind: Proxy, Zone: "z1"}, m, [2]int{7600, 7601}, 1, nil)
	c.Add(Member{IP: "10.0.2.9", Kind: Proxy})
	m.out = nil
	c.Send("desk", []byte{0, 1, 0xfe, 0xff})
	golden.Equal(t, "gossip.json", m.out[0])
}
