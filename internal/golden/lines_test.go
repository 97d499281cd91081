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

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/lines"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/quorum"
	"portflow/internal/harbour/signals"
	"portflow/internal/harbour/tonnage"
	"portflow/rules"
)

var (
	goldenItem   = manifest.Item{Kind: manifest.Services, Name: "desk", Version: 12, Body: json.RawMessage(`{"health-path":"/up","name":"desk"}`)}
	goldenHost   = berths.Host{ID: "h1", Service: "desk", Address: "10.0.1.1:80", Zone: "z1", Version: "v1", Slots: 8, State: berths.Ready, Sequence: 5, Owner: "control-1"}
	goldenRouter = signals.Front{Name: "router-1", Zone: "z1", IP: "10.0.2.1", Address: "10.0.2.1:8144", Ready: true, Short: true, Since: 1700000000000000001, Change: 2, Owner: "control-1"}
	goldenVote   = signals.Poll{Front: "router-1", Service: "desk", Order: 3, Verdict: uint8(rules.Back), Figures: &signals.Figures{
		Outcomes: [2]float64{20, 21}, Excess: [2]float64{0.5, 0.25}, Error: [2]float64{0.125, 0.0625}, Threshold: [2]float64{0.015, 0.12}, Left: 7}}
)

// session is what each side of a held connection says, in order.
type session struct {
	name string
	said []signals.Word
}

func sessions(t testing.TB) []session {
	t.Helper()
	many := make([]signals.Note, 20)
	for n := range many {
		host := goldenHost
		host.Sequence += uint64(n)
		many[n] = signals.Note{Host: &host}
	}
	return []session{
		{"router-to-control", []signals.Word{
			{Hello: &signals.Hello{Name: "router-1", IP: "10.0.2.1", Zone: "z1", Life: "life-1", Have: 4}, Part: &signals.Part{Name: "life-1.1", Have: 2}, Trial: true},
			{Part: &signals.Part{Name: "life-1.1", Have: 3}},
			{Ack: 7},
			{Front: &goldenRouter},
			{Polls: []signals.Poll{goldenVote, {Front: "router-1", Service: "bags", Order: 1, Shown: true}}},
			{Seen: map[string][]lookout.Count{"desk": {{N: 100, Bad: 2}, {ID: "h1", N: 10.5, Bad: 1.25}}}},
			{Tons: &signals.Tons{Reports: []tonnage.Report{{Share: "tenant", Want: 2.25, Took: 9, Late: 4, Away: 1, Over: 2, Short: true}},
				Loads:  []tonnage.Load{{Service: "desk", Answers: 12.5, Work: 0.5}},
				Census: map[string][]tonnage.Count{"desk": {{Caller: "a", N: 3}, {N: 4}}}}},
		}},
		{"control-to-router", []signals.Word{
			{Hello: &signals.Hello{Name: "control-1", IP: "10.0.0.1", Zone: "z1", Control: true, Life: "life-1", ID: "disk-1", Now: 1700000000000000000}},
			{Status: &signals.Status{Whole: true, Member: true, Majority: true, Sum: 1 << 63, Epoch: 2, Number: 13}, Now: 1700000000000000005},
			{News: &signals.News{Life: "life-1", From: 4, To: 9, Epoch: 2, Number: 13, Notes: []signals.Note{{Item: &goldenItem}, {Host: &goldenHost}, {Front: &goldenRouter},
				{Poll: &goldenVote}, {Aside: &lookout.Judgement{ID: "h1", Service: "desk", Aside: 11, Back: 12, Times: 2}}}}, Now: 1700000000000000006},
			{News: &signals.News{Life: "life-1", To: 9, Snapshot: true, Notes: many}}, // long enough to be deflated
			{Tons: &signals.Tons{Allotments: []tonnage.Allotment{{Share: "tenant", Rate: 1.5, Used: 3, Calm: true}}, Carries: map[string]float64{"desk": 80.5}}},
			{Status: &signals.Status{Leaving: true, Epoch: 2, Number: 13}},
		}},
		{"control-to-control", []signals.Word{
			{Hello: &signals.Hello{Name: "control-2", IP: "10.0.0.2", Zone: "z2", Control: true, ID: "disk-2", Now: 1700000000000000000}},
			{Status: &signals.Status{Whole: true, Member: true, Epoch: 2, Number: 13}, Ages: []signals.Since{{Service: "desk", Order: 2, Began: 1700000000000000001}}, Now: 1700000000000000005},
			{Agreed: mustJSON(t, consensusMessages()[0])},
			{News: &signals.News{Life: "life-2", To: 1, Notes: []signals.Note{{Item: &goldenItem, Began: 1700000000000000002}}}},
			{Tons: &signals.Tons{Sums: []tonnage.Sum{{Share: "tenant", Want: 2, Took: 3, Dealt: 1.5, Away: 1, Over: 4, Short: true}}, Loads: []tonnage.Load{{Service: "desk", Answers: 1, Work: 2}}}},
		}},
	}
}

// recorded hears bytes and keeps what is written on it.
type recorded struct {
	net.Conn
	in  io.Reader
	out *bytes.Buffer
}

func (c recorded) Read(b []byte) (int, error)  { return c.in.Read(b) }
func (c recorded) Write(b []byte) (int, error) { return c.out.Write(b) }
func (c recorded) Close() error                { return nil }

// What each side says on a held connection is laid out in the same bytes, from the opening on, and those bytes are heard as
// the same messages: so a process of one release understands one of the other, in both directions.
func TestLines(t *testing.T) {
	for _, s := range sessions(t) {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				here := quiet{}
				l := lines.Open[signals.Word](recorded{Conn: here, out: &out}, lines.Slow)
				for _, w := range s.said {
					l.Send(w)
				}
				synctest.Wait()
				l.Close(nil)
				raw := Equal(t, "lines/"+s.name+".bin", out.Bytes())

				var heard []signals.Word
				l = lines.Open[signals.Word](recorded{Conn: here, in: bytes.NewReader(raw), out: new(bytes.Buffer)}, lines.Slow)
				if err := l.Run(func(w signals.Word) { heard = append(heard, w) }); !errors.Is(err, io.EOF) {
					t.Errorf("the line ended with %v", err)
				}
				if !reflect.DeepEqual(heard, s.said) {
					t.Errorf("heard\n%s\nnot\n%s", jsonLines(t, heard), jsonLines(t, s.said))
				}
			})
		})
	}
}

// Frames of 511 bytes go as they are, longer ones are deflated where that makes them shorter. The deflated bytes are those of
// the toolchain's compress/flate: a new toolchain may lay them out otherwise, and then only the second file is written anew.
func TestFrames(t *testing.T) {
	short, long := []byte(strings.Repeat("s", 511)), []byte(strings.Repeat("long ", 200))
	Equal(t, "lines/frame-plain.bin", lines.Frame(short))
	Equal(t, "lines/frame-deflated.bin", lines.Frame(long))
}

func consensusMessages() []quorum.Message {
	member := muster.Member{IP: "10.0.0.1", ID: "disk-1", Name: "control-1", Zone: "z1"}
	order := orders.Order{Kind: orders.Begin, Of: "desk", Target: "v2", Term: 60e9, Now: 1700000000e9, Dated: true, Again: 5e9, Known: 1, Age: 9, Bound: true, Base: 4}
	ballot := quorum.Ballot{N: 7, By: "life-1"}
	value := []manifest.Item{goldenItem}
	base := quorum.Message{Epoch: 2, ID: "disk-1", Applied: 13}
	with := func(change func(m *quorum.Message)) quorum.Message {
		m := base
		change(&m)
		return m
	}
	return []quorum.Message{
		with(func(m *quorum.Message) { m.Kind, m.Number, m.Ballot = quorum.Prepare, 14, ballot }),
		with(func(m *quorum.Message) {
			m.Kind, m.Number, m.Ballot, m.Vote, m.Value, m.Member = quorum.Promise, 1, ballot, quorum.Ballot{N: 6, By: "life-2"}, value, &member
		}),
		with(func(m *quorum.Message) { m.Kind, m.Number, m.Ballot, m.Value = quorum.Accept, 14, ballot, value }),
		with(func(m *quorum.Message) { m.Kind, m.Number, m.Ballot = quorum.Voted, 14, ballot }),
		with(func(m *quorum.Message) { m.Kind, m.Number, m.Ballot = quorum.Beaten, 14, ballot }),
		with(func(m *quorum.Message) { m.Kind, m.Number, m.Ballot = quorum.Commit, 14, ballot }),
		with(func(m *quorum.Message) { m.Kind, m.Number = quorum.Behind, 14 }),
		with(func(m *quorum.Message) { m.Kind = quorum.Ahead }),
		with(func(m *quorum.Message) { m.Kind, m.Tag, m.Life = quorum.Confirm, 21, "life-1" }),
		with(func(m *quorum.Message) { m.Kind, m.Tag, m.Life, m.Vote = quorum.Confirmed, 21, "life-1", ballot }),
		with(func(m *quorum.Message) { m.Kind, m.Number, m.Ballot = quorum.Kept, 14, ballot }),
		with(func(m *quorum.Message) { m.Kind, m.Sums = quorum.Fetch, []uint64{1, 1 << 63} }),
		with(func(m *quorum.Message) {
			m.Kind, m.Number, m.Batches = quorum.Changes, 13, [][]manifest.Item{value, value}
		}),
		with(func(m *quorum.Message) {
			m.Kind, m.Number, m.Parts, m.Value, m.Last = quorum.Parts, 13, []int{0, 63}, value, true
		}),
		with(func(m *quorum.Message) { m.Kind, m.Tag, m.Life, m.Order = quorum.Hand, 22, "life-1", &order }),
		with(func(m *quorum.Message) {
			m.Kind, m.Tag, m.Life, m.Result = quorum.Handed, 22, "life-1", &quorum.Result{Kind: faults.Conflict, Reason: "taken", Number: 14, Never: true}
		}),
	}
}

func allOrders() []orders.Order {
	member := muster.Member{IP: "10.0.0.1", ID: "disk-1", Name: "control-1", Zone: "z1"}
	return []orders.Order{
		{Kind: orders.Modify, Items: []manifest.Item{goldenItem}},
		{Kind: orders.Evacuate, Of: "z1", Begun: true, Bound: true, Base: 2},
		{Kind: orders.Begin, Of: "desk", Target: "v2", Term: 60e9, Now: 1700000000e9, Dated: true, Again: 5e9, Known: 1, Age: 9},
		{Kind: orders.End, Of: "desk", Number: 2, State: pilotage.RolledBack, Now: 1700000000e9},
		{Kind: orders.Tell, Of: "desk", Number: 2},
		{Kind: orders.Settle, Of: "desk", Version: "v1"},
		{Kind: orders.Join, In: []muster.Member{member}, Out: []string{"10.0.0.2"}, Hold: []muster.Member{member}, Number: 2},
		{Kind: orders.Restore, Items: []manifest.Item{goldenItem}, Version: "life-1-0", Number: 2},
	}
}

// same compares values with a golden file of JSON lines, and reads that file as the values.
func same[T any](t *testing.T, name string, all []T) {
	t.Helper()
	raw := Equal(t, name, jsonLines(t, all))
	var read []T
	for d := json.NewDecoder(bytes.NewReader(raw)); d.More(); {
		var v T
		if err := d.Decode(&v); err != nil {
			t.Fatal(err)
		}
		read = append(read, v)
	}
	if !reflect.DeepEqual(read, all) {
		t.Errorf("%s: read as\n%s", name, jsonLines(t, read))
	}
}

// Each kind of the consensus' messages, and each order that members hand to each other.
func TestConsensusMessages(t *testing.T) {
	same(t, "consensus/messages.jsonl", consensusMessages())
	same(t, "consensus/operations.jsonl", allOrders())
}

// quiet is a connection whose deadlines are not looked at.
type quiet struct{ net.Conn }

func (quiet) SetReadDeadline(time.Time) error  { return nil }
func (quiet) SetWriteDeadline(time.Time) error { return nil }
