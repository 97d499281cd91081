package golden

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
	"portflow/internal/decision"
	"portflow/internal/quota"
)

var (
	goldenItem  = config.Item{Kind: config.KindServices, Name: "desk", Version: 12, Body: json.RawMessage(`{"health-path":"/up","name":"desk"}`)}
	goldenHost  = instance.Instance{ID: "h1", Service: "desk", Address: "10.0.1.1:80", Zone: "z1", Version: "v1", Slots: 8, State: instance.Ready, Sequence: 5, Owner: "control-1"}
	goldenProxy = update.Proxy{Name: "router-1", Zone: "z1", IP: "10.0.2.1", Address: "10.0.2.1:8144", Ready: true, LacksCapacity: true, RegisteredAt: 1700000000000000001, Revision: 2, Owner: "control-1"}
	goldenVote  = update.Vote{Proxy: "router-1", Service: "desk", Number: 3, Verdict: uint8(decision.RollBack), Evidence: &update.Evidence{
		Outcomes: [2]float64{20, 21}, Excess: [2]float64{0.5, 0.25}, Error: [2]float64{0.125, 0.0625}, Threshold: [2]float64{0.015, 0.12}, Allowance: 7}}
)

// session has the messages that one side sends over a stream, in order.
type session struct {
	name     string
	messages []update.Message
}

func sessions(t testing.TB) []session {
	t.Helper()
	many := make([]update.Change, 20)
	for n := range many {
		host := goldenHost
		host.Sequence += uint64(n)
		many[n] = update.Change{Instance: &host}
	}
	return []session{
		{"router-to-control", []update.Message{
			{Hello: &update.Hello{Name: "router-1", IP: "10.0.2.1", Zone: "z1", Incarnation: "life-1", Offset: 4}, Progress: &update.Progress{Name: "life-1.1", Received: 2}, StatusOnly: true},
			{Progress: &update.Progress{Name: "life-1.1", Received: 3}},
			{Ack: 7},
			{Proxy: &goldenProxy},
			{Votes: []update.Vote{goldenVote, {Proxy: "router-1", Service: "bags", Number: 1, ReportOnly: true}}},
			{Outliers: map[string][]outlier.Stats{"desk": {{Outcomes: 100, Failures: 2}, {ID: "h1", Outcomes: 10.5, Failures: 1.25}}}},
			{Quota: &update.QuotaUpdate{Reports: []quota.Report{{Quota: "tenant", Demand: 2.25, Admitted: 9, Recent: 4, Rejected: 1, OverQuota: 2, Short: true}},
				Loads:   []quota.Load{{Service: "desk", Completed: 12.5, Work: 0.5}},
				Callers: map[string][]quota.CallerCount{"desk": {{Caller: "a", Requests: 3}, {Requests: 4}}}}},
		}},
		{"control-to-router", []update.Message{
			{Hello: &update.Hello{Name: "control-1", IP: "10.0.0.1", Zone: "z1", Control: true, Incarnation: "life-1", ID: "disk-1", Now: 1700000000000000000}},
			{Status: &update.Status{Complete: true, Member: true, HasQuorum: true, ConfigChecksum: 1 << 63, Epoch: 2, Number: 13}, Now: 1700000000000000005},
			{Batch: &update.Batch{Incarnation: "life-1", From: 4, To: 9, Epoch: 2, Number: 13, Changes: []update.Change{{Item: &goldenItem}, {Instance: &goldenHost}, {Proxy: &goldenProxy},
				{Vote: &goldenVote}, {Ejection: &outlier.Ejection{ID: "h1", Service: "desk", EjectedUntil: 11, ProbationUntil: 12, Count: 2}}}}, Now: 1700000000000000006},
			{Batch: &update.Batch{Incarnation: "life-1", To: 9, Snapshot: true, Changes: many}}, // long enough to be compressed
			{Quota: &update.QuotaUpdate{Allocations: []quota.Allocation{{Quota: "tenant", Rate: 1.5, Used: 3, Calm: true}}, Capacity: map[string]float64{"desk": 80.5}}},
			{Status: &update.Status{Leaving: true, Epoch: 2, Number: 13}},
		}},
		{"control-to-control", []update.Message{
			{Hello: &update.Hello{Name: "control-2", IP: "10.0.0.2", Zone: "z2", Control: true, ID: "disk-2", Now: 1700000000000000000}},
			{Status: &update.Status{Complete: true, Member: true, Epoch: 2, Number: 13}, RolloutStarts: []update.RolloutStart{{Service: "desk", Number: 2, StartedAt: 1700000000000000001}}, Now: 1700000000000000005},
			{Consensus: mustJSON(t, consensusMessages()[0])},
			{Batch: &update.Batch{Incarnation: "life-2", To: 1, Changes: []update.Change{{Item: &goldenItem, RolloutStartedAt: 1700000000000000002}}}},
			{Quota: &update.QuotaUpdate{ZoneUsage: []quota.ZoneUsage{{Quota: "tenant", Demand: 2, Admitted: 3, Allocated: 1.5, Rejected: 1, OverQuota: 4, Short: true}}, Loads: []quota.Load{{Service: "desk", Completed: 1, Work: 2}}}},
		}},
	}
}

// recordedConn is a connection that reads from in and writes to out.
type recordedConn struct {
	net.Conn
	in  io.Reader
	out *bytes.Buffer
}

func (c recordedConn) Read(b []byte) (int, error)  { return c.in.Read(b) }
func (c recordedConn) Write(b []byte) (int, error) { return c.out.Write(b) }
func (c recordedConn) Close() error                { return nil }

// Guards the bytes that each side sends over a stream, including the preamble, and that they decode to the same messages, so
// that processes of different releases understand each other.
func TestStreams(t *testing.T) {
	for _, s := range sessions(t) {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				conn := noDeadlineConn{}
				l := stream.Open[update.Message](recordedConn{Conn: conn, out: &out}, stream.ControlKeepalive)
				for _, w := range s.messages {
					l.Send(w)
				}
				synctest.Wait()
				l.Close(nil)
				raw := Equal(t, "lines/"+s.name+".bin", out.Bytes())

				var received []update.Message
				l = stream.Open[update.Message](recordedConn{Conn: conn, in: bytes.NewReader(raw), out: new(bytes.Buffer)}, stream.ControlKeepalive)
				if err := l.Run(func(w update.Message) { received = append(received, w) }); !errors.Is(err, io.EOF) {
					t.Errorf("stream ended with %v, want EOF", err)
				}
				if !reflect.DeepEqual(received, s.messages) {
					t.Errorf("heard\n%s\nnot\n%s", jsonLines(t, received), jsonLines(t, s.messages))
				}
			})
		})
	}
}

// Guards that frames of 511 bytes are sent uncompressed, and longer ones compressed if that makes them shorter. The compressed
// bytes depend on the toolchain's compress/flate: if a new toolchain changes them, rewrite only the second file.
func TestFrames(t *testing.T) {
	short, long := []byte(strings.Repeat("s", 511)), []byte(strings.Repeat("long ", 200))
	Equal(t, "lines/frame-plain.bin", stream.EncodeFrame(short))
	Equal(t, "lines/frame-deflated.bin", stream.EncodeFrame(long))
}

func consensusMessages() []consensus.Message {
	member := membership.Member{IP: "10.0.0.1", ID: "disk-1", Name: "control-1", Zone: "z1"}
	op := operation.Operation{Kind: operation.BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 60e9, SubmittedAt: 1700000000e9, ClockAgreed: true, RetryWindow: 5e9, KnownRollout: 1, KnownRolloutAge: 9, Conditional: true, BaseVersion: 4}
	ballot := consensus.Ballot{Number: 7, Proposer: "life-1"}
	value := []config.Item{goldenItem}
	base := consensus.Message{Epoch: 2, DiskID: "disk-1", Applied: 13}
	with := func(change func(m *consensus.Message)) consensus.Message {
		m := base
		change(&m)
		return m
	}
	return []consensus.Message{
		with(func(m *consensus.Message) { m.Kind, m.Index, m.Ballot = consensus.Prepare, 14, ballot }),
		with(func(m *consensus.Message) {
			m.Kind, m.Index, m.Ballot, m.Accepted, m.Value, m.Member = consensus.Promise, 1, ballot, consensus.Ballot{Number: 6, Proposer: "life-2"}, value, &member
		}),
		with(func(m *consensus.Message) { m.Kind, m.Index, m.Ballot, m.Value = consensus.Accept, 14, ballot, value }),
		with(func(m *consensus.Message) { m.Kind, m.Index, m.Ballot = consensus.Accepted, 14, ballot }),
		with(func(m *consensus.Message) { m.Kind, m.Index, m.Ballot = consensus.Rejected, 14, ballot }),
		with(func(m *consensus.Message) { m.Kind, m.Index, m.Ballot = consensus.Commit, 14, ballot }),
		with(func(m *consensus.Message) { m.Kind, m.Index = consensus.Behind, 14 }),
		with(func(m *consensus.Message) { m.Kind = consensus.Ahead }),
		with(func(m *consensus.Message) { m.Kind, m.Tag, m.Incarnation = consensus.ReadIndex, 21, "life-1" }),
		with(func(m *consensus.Message) {
			m.Kind, m.Tag, m.Incarnation, m.Accepted = consensus.ReadIndexReply, 21, "life-1", ballot
		}),
		with(func(m *consensus.Message) { m.Kind, m.Index, m.Ballot = consensus.VotePersisted, 14, ballot }),
		with(func(m *consensus.Message) { m.Kind, m.Checksums = consensus.FetchChanges, []uint64{1, 1 << 63} }),
		with(func(m *consensus.Message) {
			m.Kind, m.Index, m.Batches = consensus.Changes, 13, [][]config.Item{value, value}
		}),
		with(func(m *consensus.Message) {
			m.Kind, m.Index, m.Parts, m.Value, m.Final = consensus.SnapshotChunk, 13, []int{0, 63}, value, true
		}),
		with(func(m *consensus.Message) {
			m.Kind, m.Tag, m.Incarnation, m.Operation = consensus.Forward, 22, "life-1", &op
		}),
		with(func(m *consensus.Message) {
			m.Kind, m.Tag, m.Incarnation, m.Result = consensus.ForwardResult, 22, "life-1", &consensus.Result{Kind: apierror.Conflict, Reason: "taken", Index: 14, NotProposed: true}
		}),
	}
}

func allOperations() []operation.Operation {
	member := membership.Member{IP: "10.0.0.1", ID: "disk-1", Name: "control-1", Zone: "z1"}
	return []operation.Operation{
		{Kind: operation.ModifyConfig, Items: []config.Item{goldenItem}},
		{Kind: operation.Evacuate, Name: "z1", Active: true, Conditional: true, BaseVersion: 2},
		{Kind: operation.BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 60e9, SubmittedAt: 1700000000e9, ClockAgreed: true, RetryWindow: 5e9, KnownRollout: 1, KnownRolloutAge: 9},
		{Kind: operation.EndRollout, Name: "desk", Expected: 2, Outcome: rollout.RolledBack, SubmittedAt: 1700000000e9},
		{Kind: operation.CompleteSwitch, Name: "desk", Expected: 2},
		{Kind: operation.SetInitialVersion, Name: "desk", Version: "v1"},
		{Kind: operation.ChangeMembers, Add: []membership.Member{member}, Remove: []string{"10.0.0.2"}, Exclude: []membership.Member{member}, Expected: 2},
		{Kind: operation.RestoreSnapshot, Items: []config.Item{goldenItem}, Version: "life-1-0", Expected: 2},
	}
}

// equalLines compares values with a golden file in JSON Lines, and checks that the file decodes to the same values.
func equalLines[T any](t *testing.T, name string, all []T) {
	t.Helper()
	raw := Equal(t, name, jsonLines(t, all))
	var decoded []T
	for d := json.NewDecoder(bytes.NewReader(raw)); d.More(); {
		var v T
		if err := d.Decode(&v); err != nil {
			t.Fatal(err)
		}
		decoded = append(decoded, v)
	}
	if !reflect.DeepEqual(decoded, all) {
		t.Errorf("%s: decoded as\n%s", name, jsonLines(t, decoded))
	}
}

// Guards the encoding of each kind of consensus message and of each operation that members forward to each other.
func TestConsensusMessages(t *testing.T) {
	equalLines(t, "consensus/messages.jsonl", consensusMessages())
	equalLines(t, "consensus/operations.jsonl", allOperations())
}

// noDeadlineConn is a connection that ignores deadlines.
type noDeadlineConn struct{ net.Conn }

func (noDeadlineConn) SetReadDeadline(time.Time) error  { return nil }
func (noDeadlineConn) SetWriteDeadline(time.Time) error { return nil }
