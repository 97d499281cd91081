package gossip

import (
	"encoding/json"
	"net"
	"reflect"
	"testing"

	"portflow/internal/golden"
)

// Each type of datagram, and one with all fields set, must be encoded as in the golden files and decoded back to the same value.
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
		var got datagram
		if err := json.Unmarshal(golden.Equal(t, name, raw), &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoded as %+v, error %v", name, got, err)
		}
	}
	if fields := golden.Untagged(reflect.TypeFor[datagram]()); len(fields) > 0 {
		t.Errorf("fields without a json tag: %q", fields)
	}
}

// A golden shuffle must add its members to the view, a golden payload must be delivered by topic, and Send must write the golden payload.
func TestHandleGoldenDatagrams(t *testing.T) {
	conn := &fakePacketConn{in: [][]byte{golden.Read(t, "shuffle.json"), golden.Read(t, "gossip.json")}, from: &net.UDPAddr{IP: net.IPv4(10, 0, 2, 1), Port: 7601}}
	var topic string
	var gossip []byte
	gossiper := NewGossiper(Member{IP: "10.0.0.1", Zone: "z1", Age: 3}, conn, [2]int{7600, 7601}, 1, func(t string, raw []byte) { topic, gossip = t, raw })
	gossiper.listen()
	if topic != "desk" || string(gossip) != "\x00\x01\xfe\xff" || gossiper.Rejected.Load() > 0 {
		t.Errorf("delivered topic %q with payload %x, rejected %d datagrams", topic, gossip, gossiper.Rejected.Load())
	}
	if members := gossiper.Members(); len(members) != 1 || members[0] != (Member{IP: "10.0.2.1", Kind: Proxy, Zone: "z1"}) {
		t.Errorf("view contains %+v", members)
	}
	gossiper = NewGossiper(Member{IP: "10.0.2.1", Kind: Proxy, Zone: "z1"}, conn, [2]int{7600, 7601}, 1, nil)
	gossiper.Add(Member{IP: "10.0.2.9", Kind: Proxy})
	conn.out = nil
	gossiper.Send("desk", []byte{0, 1, 0xfe, 0xff})
	golden.Equal(t, "gossip.json", conn.out[0])
}
