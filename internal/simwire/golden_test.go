package simwire

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"os"
	"reflect"
	"testing"

	"portflow/internal/decision"
	"portflow/internal/golden"
	"portflow/internal/router/settings"
)

// frame lays the simulator's side out: each value big-endian in its own width, texts as they are.
func frame(values ...any) (raw []byte) {
	for _, v := range values {
		switch v := v.(type) {
		case string:
			raw = append(raw, v...)
		default:
			var err error
			if raw, err = binary.Append(raw, binary.BigEndian, v); err != nil {
				panic(err)
			}
		}
	}
	return raw
}

func record(code uint8, values ...any) []byte {
	raw := frame(values...)
	return append(frame(code, uint32(len(raw))), raw...)
}

type (
	u8  = uint8
	u16 = uint16
	u32 = uint32
	u64 = uint64
	f32 = float32
)

// batch has a record of each code, with a value of its own in each field.
func batch(environment string) []byte {
	records := [][]byte{
		record(29, u32(1), u64(2), u32(len(environment)), environment),
		record(28, u16(3), u32(2), u32(4), u16(5), u8(6), u16(7), u8(2), f32(8), f32(1.5), u64(9), u32(10), u16(11), u8(12), u16(13), u8(0), f32(14), f32(2.5), u64(15)),
		record(17, u32(16), u8(2), u16(4), u64(17)),
		record(19, u32(18), u32(19), u8(20), u32(21), u64(22)),
		record(20, u32(23), u32(24), u8(25), u16(26), u64(27), u64(28), u64(29), u8(1)),
		record(22, u32(30), u16(31), u8(32), u32(33), u64(34), u32(35), u64(36)),
		record(16, u32(37), u32(38), u8(39), u64(40)),
		record(27, u32(41), u32(42)),
		record(21, u32(43), u16(44), u8(45), u8(3), u8(1), u8(13), f32(0.25), u64(46)),
		record(23, u32(47), u16(48), u16(3), "abc"),
		record(24, u32(49)),
		record(18, u32(50), u64(51)),
		record(25, u32(52), u32(53), u8(10), u64(54), u8(2), f32(55), f32(0.5)),
		record(26, u32(56), u32(57), u32(58), u8(1), u64(59), u8(60), u8(14), u8(1), f32(61)),
	}
	body := bytes.Join(records, nil)
	return append(frame(u32(len(records)), u32(len(body)), u64(62)), body...)
}

// All that the simulator says is read as the same events.
func TestGoldenBatch(t *testing.T) {
	environment, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	all, err := settings.Read(environment)
	if err != nil {
		t.Fatal(err)
	}
	raw := golden.Equal(t, "batch.bin", batch(string(environment)))
	r := bytes.NewReader(raw)
	got, err := ReadBatch(r)
	if err != nil {
		t.Fatal(err)
	}
	want := Batch{Clock: 62, Events: []Event{
		{1, Provision{Seed: 2, Settings: all.Settings}},
		{0, Ledger{Number: 3, Hosts: []decision.Listed{
			{ID: 4, Zone: 5, Kind: 6, Cell: 7, Health: decision.Ready, Build: 8, Size: 1.5, Started: 9},
			{ID: 10, Zone: 11, Kind: 12, Cell: 13, Health: decision.Draining, Build: 14, Size: 2.5, Started: 15}}}},
		{16, PeersKnown{Form: decision.Cached, Number: 4}},
		{18, First{Command: 19, Number: 20}},
		{23, Incoming{decision.Command{ID: 24, Band: 25, Carrier: 26, Key: 27, Left: 28, Hint: 29}}},
		{30, Metrics{Build: 31, Band: 32, Many: 33, Mean: 34, Failed: 35, Age: 36}},
		{37, ReportedWrong{Host: 38, Band: 39, Age: 40}},
		{41, Dropped{Command: 42}},
		{43, TrialNews{decision.News{Build: 44, Stage: 45, Standing: decision.Withdrawn, Reply: true, Ending: decision.CallError, Cap: 0.25, Age: 46}}},
		{47, FromPeer{From: 48, Raw: []byte("abc")}},
		{49, Exit{}},
		{50, Reminder{Mark: 51}},
		{52, ProbeDone{Host: 53, Ending: decision.Reset, Took: 54, Report: []float64{55, 0.5}}},
		{56, Finished{Command: 57, Over: true, Took: 59, Number: 60, Ending: decision.NoConnect, Report: []float64{61}}},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v\nnot\n%+v", got, want)
	}
	if _, err := ReadBatch(r); err != io.EOF {
		t.Error(err)
	}
}

// All that a router does is written in the same bytes.
func TestGoldenReply(t *testing.T) {
	var r Reply
	o := Out{0x01020304, &r}
	o.HandOff(1, 2, math.MaxInt64)
	o.Dismiss(3, 4)
	o.Scrap(5)
	o.Recall(6, 7)
	for _, v := range []decision.Verdict{decision.NoVote, decision.On, decision.Hold, decision.Back} {
		o.Vote(v, 8, 9)
	}
	o.Tell(10, []byte("abc"))
	o.Wake(11, 12)
	o.Close(13)
	o.Watch(true)
	o.Watch(false)
	o.Note("a note")
	var raw bytes.Buffer
	if _, err := r.WriteTo(&raw); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "reply.bin", raw.Bytes())
}

// Each word of the wire has its number.
func TestGoldenNumbers(t *testing.T) {
	for name, ok := range map[string]bool{
		"forms":     reflect.DeepEqual(forms, map[uint8]decision.Form{0: decision.Changes, 1: decision.Whole, 2: decision.Cached, 3: decision.CallFailed}),
		"healths":   reflect.DeepEqual(healths, map[uint8]decision.Health{0: decision.Draining, 1: decision.Gone, 2: decision.Ready}),
		"standings": reflect.DeepEqual(standings, map[uint8]decision.Standing{0: decision.OnTrial, 1: decision.GoingBack, 2: decision.Released, 3: decision.Withdrawn}),
		"calls":     reflect.DeepEqual(calls, map[uint8]decision.CallEnding{0: decision.Counts, 4: decision.CallSilent, 8: decision.CallsFull, 9: decision.Moot, 13: decision.CallError}),
		"endings": reflect.DeepEqual(endings, map[uint8]decision.Ending{0: decision.Fulfilled, 1: decision.Recalled, 4: decision.TimedOut, 8: decision.TurnedAway, 9: decision.Unsent, 10: decision.Reset,
			13: decision.Failed, 14: decision.NoConnect}),
	} {
		if !ok {
			t.Errorf("%s: other numbers", name)
		}
	}
}
