// Package simwire reads and writes the iris-438d wire: frames and records.
// It turns the wire's words into those of the rules.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"portflow/internal/decision"
	"portflow/internal/router/settings"
)

// Codes of the events.
const (
	codeReportedWrong = 16
	codePeersKnown    = 17
	codeReminder      = 18
	codeFirst         = 19
	codeIncoming      = 20
	codeTrialNews     = 21
	codeMetrics       = 22
	codeFromPeer      = 23
	codeExit          = 24
	codeProbeDone     = 25
	codeFinished      = 26
	codeDropped       = 27
	codeLedger        = 28
	codeProvision     = 29
)

// Events, each of one instance but for Ledger.
type (
	Provision struct {
		Seed     uint64
		Settings decision.Settings
	}
	Ledger struct {
		Number int
		Hosts  []decision.Listed
	}
	PeersKnown struct {
		Form   decision.Form
		Number int
	}
	Incoming struct{ Command decision.Command }
	Metrics  struct {
		Build, Band, Many, Failed int
		Mean, Age                 int64
	}
	ReportedWrong struct {
		Host uint32
		Band int
		Age  int64
	}
	First struct {
		Command uint32
		Number  int
	}
	Dropped   struct{ Command uint32 }
	TrialNews struct{ News decision.News }
	FromPeer  struct {
		From int
		Raw  []byte
	}
	Exit      struct{}
	Reminder  struct{ Mark uint64 }
	ProbeDone struct {
		Host   uint32
		Ending decision.Ending
		Took   int64
		Report []float64
	}
	Finished struct {
		Command uint32
		Number  int
		Ending  decision.Ending
		Over    bool
		Took    int64
		Report  []float64
	}
)

// Event is one record of a batch.
type Event struct {
	Instance uint32
	Body     any
}

// Batch is what happens at one time.
type Batch struct {
	Clock  int64
	Events []Event
}

const (
	headerLen = 16
	entryLen  = 26
	mostBytes = 1 << 30 // far beyond the megabytes that a batch can run to
)

// ReadBatch reads the next batch; io.EOF says that the input has ended between two.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [headerLen]byte
	if _, err := io.ReadFull(r, head[:]); err == io.EOF {
		return Batch{}, io.EOF
	} else if err != nil {
		return Batch{}, fmt.Errorf("batch header: cut short")
	}
	many, size := binary.BigEndian.Uint32(head[:]), binary.BigEndian.Uint32(head[4:])
	if size > mostBytes {
		return Batch{}, fmt.Errorf("batch header: %d bytes are too many", size)
	}
	body := make([]byte, size)
	if n, err := io.ReadFull(r, body); err != nil {
		return Batch{}, fmt.Errorf("batch body: %d bytes of %d", n, size)
	}
	b := Batch{Clock: int64(binary.BigEndian.Uint64(head[8:]))}
	at := 0
	for i := uint32(0); i < many; i++ {
		if len(body)-at < 5 {
			return Batch{}, fmt.Errorf("record %d at byte %d: header cut short", i, at)
		}
		code, length := body[at], binary.BigEndian.Uint32(body[at+1:])
		if uint64(length) > uint64(len(body)-at-5) {
			return Batch{}, fmt.Errorf("record %d at byte %d: code %d wants %d bytes, %d are left", i, at, code,
				length, len(body)-at-5)
		}
		e, err := event(code, body[at+5:at+5+int(length)])
		if err != nil {
			return Batch{}, fmt.Errorf("record %d at byte %d: %w", i, at, err)
		}
		b.Events = append(b.Events, e)
		at += 5 + int(length)
	}
	if at != len(body) {
		return Batch{}, fmt.Errorf("batch body: %d bytes after the last record", len(body)-at)
	}
	return b, nil
}

// fields takes one field after another; the first that is missing or wrong stays as the error.
type fields struct {
	raw []byte
	err error
}

func (f *fields) bytes(n int, name string) []byte {
	if f.err == nil && (n < 0 || len(f.raw) < n) {
		f.err = fmt.Errorf("field %s: %d bytes wanted, %d are left", name, n, len(f.raw))
	}
	if f.err != nil {
		return make([]byte, min(max(n, 0), 8))
	}
	x := f.raw[:n]
	f.raw = f.raw[n:]
	return x
}
func (f *fields) u8(name string) uint8   { return f.bytes(1, name)[0] }
func (f *fields) u16(name string) uint16 { return binary.BigEndian.Uint16(f.bytes(2, name)) }
func (f *fields) u32(name string) uint32 { return binary.BigEndian.Uint32(f.bytes(4, name)) }
func (f *fields) u64(name string) uint64 { return binary.BigEndian.Uint64(f.bytes(8, name)) }
func (f *fields) time(name string) int64 {
	x := f.u64(name)
	if f.err == nil && x > math.MaxInt64/4 {
		f.err = fmt.Errorf("field %s: %d is no time", name, x)
	}
	return int64(x)
}
func (f *fields) f32(name string) float64 {
	return float64(math.Float32frombits(f.u32(name)))
}
func (f *fields) report(name string) []float64 {
	n := int(f.u8(name))
	var values []float64
	for i := 0; i < n && f.err == nil; i++ {
		values = append(values, f.f32(name))
	}
	return values
}

// word looks up what a number of the wire means.
func word[T any](f *fields, table map[uint8]T, name string) T {
	n := f.u8(name)
	v, ok := table[n]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("field %s: %d is unknown", name, n)
	}
	return v
}

var (
	forms     = map[uint8]decision.Form{0: decision.Changes, 1: decision.Whole, 2: decision.Cached, 3: decision.CallFailed}
	healths   = map[uint8]decision.Health{2: decision.Ready, 0: decision.Draining, 1: decision.Gone}
	standings = map[uint8]decision.Standing{0: decision.OnTrial, 1: decision.GoingBack, 2: decision.Released, 3: decision.Withdrawn}
	calls     = map[uint8]decision.CallEnding{0: decision.Counts, 9: decision.Moot, 8: decision.CallsFull, 13: decision.CallError,
		4: decision.CallSilent}
	endings = map[uint8]decision.Ending{0: decision.Fulfilled, 13: decision.Failed, 8: decision.TurnedAway, 4: decision.TimedOut,
		14: decision.NoConnect, 10: decision.Reset, 1: decision.Recalled, 9: decision.Unsent}
	truths = map[uint8]bool{0: false, 1: true}
)

func event(code uint8, raw []byte) (e Event, err error) {
	f := &fields{raw: raw}
	name := ""
	if code != codeLedger {
		e.Instance = f.u32("i")
	}
	switch code {
	case codeProvision:
		name = "Provision"
		p := Provision{Seed: f.u64("randomSeed")}
		text := f.bytes(int(f.u32("env")), "env")
		if f.err == nil {
			var all settings.Settings
			all, f.err = settings.Read(text)
			p.Settings = all.Settings
		}
		e.Body = p
	case codeLedger:
		name = "Ledger"
		l := Ledger{Number: int(f.u16("setId"))}
		n := int(f.u32("members"))
		if f.err == nil && (l.Number > 15 || n > len(f.raw)/entryLen) {
			f.err = fmt.Errorf("list %d: %d entries in %d bytes", l.Number, n, len(f.raw))
		}
		for i := 0; i < n && f.err == nil; i++ {
			l.Hosts = append(l.Hosts, entry(f))
		}
		e.Body = l
	case codePeersKnown:
		name = "PeersKnown"
		e.Body = PeersKnown{word(f, forms, "form"), int(f.u16("setId"))}
		f.u64("epoch")
	case codeIncoming:
		name = "Incoming"
		c := decision.Command{ID: f.u32("corr"), Band: int(f.u8("kind")), Carrier: int(f.u16("billing")),
			Key: f.u64("partitionKey"), Left: f.time("remainingNs"), Hint: f.time("costNs")}
		flags := f.u8("flags")
		if flags&1 == 0 {
			c.Hint = 0
		}
		e.Body = Incoming{c}
	case codeMetrics:
		name = "Metrics"
		m := Metrics{Build: int(f.u16("image")), Band: int(f.u8("kind")), Many: int(f.u32("many"))}
		m.Mean, m.Failed, m.Age = f.time("rttNs"), int(f.u32("errors")), f.time("latenessNs")
		e.Body = m
	case codeReportedWrong:
		name = "ReportedWrong"
		e.Body = ReportedWrong{f.u32("host"), int(f.u8("kind")), f.time("latenessNs")}
	case codeFirst:
		name = "First"
		e.Body = First{f.u32("corr"), int(f.u8("copy"))}
		f.u32("host")
		f.time("rttNs")
	case codeDropped:
		name = "Dropped"
		e.Body = Dropped{f.u32("corr")}
	case codeTrialNews:
		name = "TrialNews"
		n := decision.News{Build: int(f.u16("image")), Stage: int(f.u8("step"))}
		n.Standing, n.Reply = word(f, standings, "standing"), word(f, truths, "code")
		n.Ending, n.Cap, n.Age = word(f, calls, "ending"), f.f32("mostShare"), f.time("latenessNs")
		if f.err == nil && !(n.Cap >= 0 && n.Cap <= 1) {
			f.err = fmt.Errorf("field mostShare: %v is no share", n.Cap)
		}
		e.Body = TrialNews{n}
	case codeFromPeer:
		name = "FromPeer"
		p := FromPeer{From: int(f.u16("from"))}
		p.Raw = f.bytes(int(f.u16("raw")), "raw")
		e.Body = p
	case codeExit:
		name, e.Body = "Exit", Exit{}
	case codeReminder:
		name, e.Body = "Reminder", Reminder{f.u64("ctx")}
	case codeProbeDone:
		name = "ProbeDone"
		e.Body = ProbeDone{f.u32("host"), word(f, endings, "ending"), f.time("rttNs"), f.report("pressure")}
	case codeFinished:
		name = "Finished"
		o := Finished{Command: f.u32("corr")}
		f.u32("host")
		o.Over, o.Took, o.Number = word(f, truths, "ended"), f.time("rttNs"), int(f.u8("copy"))
		o.Ending, o.Report = word(f, endings, "ending"), f.report("pressure")
		e.Body = o
	default:
		return e, fmt.Errorf("code %d is unknown", code)
	}
	if f.err == nil && len(f.raw) > 0 {
		f.err = errors.New("bytes after the last field")
	}
	if f.err != nil {
		return e, fmt.Errorf("%s: %w", name, f.err)
	}
	return e, nil
}

func entry(f *fields) decision.Listed {
	l := decision.Listed{ID: f.u32("host"), Zone: int(f.u16("site")), Kind: int(f.u8("hw")), Cell: int(f.u16("bay")),
		Health: word(f, healths, "state")}
	runs := f.f32("runs")
	if f.err == nil && !(runs >= 0 && runs < 65536) {
		f.err = fmt.Errorf("field runs: %v is no build", runs)
	}
	l.Build, l.Size, l.Started = int(runs), f.f32("share"), f.time("lastStartNs")
	return l
}

// Codes of the actions.
const (
	codeRoute     = 16
	codeSayNo     = 17
	codeSurrender = 18
	codeRecall    = 19
	codeRemind    = 20
	codeRelease   = 22
	codeSay       = 23
	codeDebug     = 24
	codeListen    = 26
	codeVote      = 28
)

// Reply gathers the actions of a batch.
type Reply struct {
	many uint32
	raw  []byte
}

func (r *Reply) record(code uint8, instance uint32, length int) {
	r.many++
	r.raw = append(r.raw, code)
	r.u32(uint32(length + 4))
	r.u32(instance)
}
func (r *Reply) u8(x uint8)   { r.raw = append(r.raw, x) }
func (r *Reply) u16(x uint16) { r.raw = binary.BigEndian.AppendUint16(r.raw, x) }
func (r *Reply) u32(x uint32) { r.raw = binary.BigEndian.AppendUint32(r.raw, x) }
func (r *Reply) u64(x uint64) { r.raw = binary.BigEndian.AppendUint64(r.raw, x) }

// WriteTo writes the reply whole, in one write, and empties it.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 8+len(r.raw)), r.many)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(r.raw)))
	n, err := w.Write(append(frame, r.raw...))
	r.many, r.raw = 0, r.raw[:0]
	return int64(n), err
}

// Out writes one instance's effects into a reply.
type Out struct {
	Instance uint32
	Reply    *Reply
}

var verdicts = map[decision.Verdict]uint8{decision.NoVote: 0, decision.On: 1, decision.Hold: 2, decision.Back: 3}

func (o Out) HandOff(command, host uint32, until int64) {
	o.Reply.record(codeRoute, o.Instance, 16)
	o.Reply.u32(command)
	o.Reply.u64(uint64(until))
	o.Reply.u32(host)
}
func (o Out) Dismiss(command uint32, wait int64) {
	o.Reply.record(codeSayNo, o.Instance, 12)
	o.Reply.u32(command)
	o.Reply.u64(uint64(wait))
}
func (o Out) Scrap(command uint32) {
	o.Reply.record(codeSurrender, o.Instance, 4)
	o.Reply.u32(command)
}
func (o Out) Recall(command uint32, number int) {
	o.Reply.record(codeRecall, o.Instance, 5)
	o.Reply.u32(command)
	o.Reply.u8(uint8(number))
}
func (o Out) Vote(v decision.Verdict, build, stage int) {
	o.Reply.record(codeVote, o.Instance, 4)
	o.Reply.u8(verdicts[v])
	o.Reply.u16(uint16(build))
	o.Reply.u8(uint8(stage))
}
func (o Out) Tell(peer int, message []byte) {
	o.Reply.record(codeSay, o.Instance, 6+len(message))
	o.Reply.u32(uint32(peer))
	o.Reply.u16(uint16(len(message)))
	o.Reply.raw = append(o.Reply.raw, message...)
}
func (o Out) Wake(after int64, mark uint64) {
	o.Reply.record(codeRemind, o.Instance, 16)
	o.Reply.u64(uint64(after))
	o.Reply.u64(mark)
}
func (o Out) Close(host uint32) {
	o.Reply.record(codeRelease, o.Instance, 4)
	o.Reply.u32(host)
}
func (o Out) Watch(on bool) {
	o.Reply.record(codeListen, o.Instance, 1)
	if on {
		o.Reply.u8(1)
	} else {
		o.Reply.u8(0)
	}
}
func (o Out) Note(text string) {
	text = text[:min(len(text), 200)]
	o.Reply.record(codeDebug, o.Instance, 2+len(text))
	o.Reply.u16(uint16(len(text)))
	o.Reply.raw = append(o.Reply.raw, text...)
}
