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

// frame encodes values as the simulator does: numbers big-endian in the width of their type, strings without a length.
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

// batch returns a batch with a record of each event code. Numeric fields have distinct values, to detect swapped fields.
func batch(settingsText string) []byte {
	records := [][]byte{
		record(29, u32(1), u64(2), u32(len(settingsText)), settingsText),
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

// Guards against changes of the decoding of events.
func TestGoldenBatch(t *testing.T) {
	settingsText, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	all, err := settings.Read(settingsText)
	if err != nil {
		t.Fatal(err)
	}
	raw := golden.Equal(t, "batch.bin", batch(string(settingsText)))
	r := bytes.NewReader(raw)
	got, err := ReadBatch(r)
	if err != nil {
		t.Fatal(err)
	}
	want := Batch{Clock: 62, Events: []Event{
		{1, Provision{Seed: 2, Settings: all.Settings}},
		{0, HostList{Number: 3, Hosts: []decision.Host{
			{ID: 4, Zone: 5, Kind: 6, Cell: 7, Health: decision.Ready, Build: 8, Capacity: 1.5, StartedAt: 9},
			{ID: 10, Zone: 11, Kind: 12, Cell: 13, Health: decision.Draining, Build: 14, Capacity: 2.5, StartedAt: 15}}}},
		{16, HostsChanged{Kind: decision.CachedSnapshot, Number: 4}},
		{18, StreamStarted{RequestID: 19, Number: 20}},
		{23, RequestReceived{decision.Request{ID: 24, Class: 25, Customer: 26, Key: 27, Remaining: 28, Cost: 29}}},
		{30, Metrics{Build: 31, Class: 32, Count: 33, Mean: 34, Failed: 35, Age: 36}},
		{37, AnswerFlagged{Host: 38, Class: 39, Age: 40}},
		{41, ClientGone{RequestID: 42}},
		{43, RolloutChanged{decision.Rollout{Build: 44, Stage: 45, State: decision.RolledBack, VoteReply: true, VoteResult: decision.VoteFailed, ExposureCap: 0.25, Age: 46}}},
		{47, GossipReceived{From: 48, Message: []byte("abc")}},
		{49, Exit{}},
		{50, TimerFired{ID: 51}},
		{52, ProbeDone{Host: 53, Result: decision.ConnectionReset, Took: 54, Report: []float64{55, 0.5}}},
		{56, AttemptEnded{RequestID: 57, Done: true, Took: 59, Number: 60, Result: decision.ConnectFailed, Report: []float64{61}}},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got events\n%+v\nwant\n%+v", got, want)
	}
	if _, err := ReadBatch(r); err != io.EOF {
		t.Error(err)
	}
}

// Guards against changes of the encoding of actions.
func TestGoldenReply(t *testing.T) {
	var r Reply
	effects := Effects{0x01020304, &r}
	effects.StartAttempt(1, 2, math.MaxInt64)
	effects.Reject(3, 4)
	effects.Fail(5)
	effects.CancelAttempt(6, 7)
	for _, v := range []decision.Verdict{decision.NoVote, decision.Advance, decision.Hold, decision.RollBack} {
		effects.Vote(v, 8, 9)
	}
	effects.SendGossip(10, []byte("abc"))
	effects.SetTimer(11, 12)
	effects.CloseIdle(13)
	effects.WatchHosts(true)
	effects.WatchHosts(false)
	effects.Log("a note")
	var raw bytes.Buffer
	if _, err := r.WriteTo(&raw); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "reply.bin", raw.Bytes())
}

// Guards against changes of the codes of enumerated fields.
func TestGoldenNumbers(t *testing.T) {
	for name, ok := range map[string]bool{
		"forms":     reflect.DeepEqual(listKinds, map[uint8]decision.ListKind{0: decision.Delta, 1: decision.Snapshot, 2: decision.CachedSnapshot, 3: decision.FetchFailed}),
		"healths":   reflect.DeepEqual(healthStates, map[uint8]decision.Health{0: decision.Draining, 1: decision.Gone, 2: decision.Ready}),
		"standings": reflect.DeepEqual(rolloutStates, map[uint8]decision.RolloutState{0: decision.OnTrial, 1: decision.RollingBack, 2: decision.Released, 3: decision.RolledBack}),
		"calls":     reflect.DeepEqual(voteResults, map[uint8]decision.VoteResult{0: decision.VoteCounted, 4: decision.VoteUnanswered, 8: decision.VoteThrottled, 9: decision.VoteConflict, 13: decision.VoteFailed}),
		"endings": reflect.DeepEqual(results, map[uint8]decision.Result{0: decision.Succeeded, 1: decision.Canceled, 4: decision.TimedOut, 8: decision.Rejected, 9: decision.Unsent, 10: decision.ConnectionReset,
			13: decision.Failed, 14: decision.ConnectFailed}),
	} {
		if !ok {
			t.Errorf("%s: codes differ from those of the protocol", name)
		}
	}
}
