// Package simwire implements iris-438d, the binary protocol of the simulator. The simulator sends batches of events, and each is
// answered by a reply with actions. The package decodes events to the types of the decision engine, and Effects encodes the
// engine's effects as actions. All numbers are big-endian.
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

// Event codes.
const (
	eventAnswerFlagged   = 16
	eventHostsChanged    = 17
	eventTimerFired      = 18
	eventStreamStarted   = 19
	eventRequestReceived = 20
	eventRolloutChanged  = 21
	eventMetrics         = 22
	eventGossipReceived  = 23
	eventExit            = 24
	eventProbeDone       = 25
	eventAttemptEnded    = 26
	eventClientGone      = 27
	eventHostList        = 28
	eventProvision       = 29
)

// Event bodies. Each belongs to one instance, except HostList. Times and durations are in nanoseconds.
type (
	// Provision starts an instance.
	Provision struct {
		Seed     uint64
		Settings decision.Settings
	}
	// HostList sets the host list of the given number, which HostsChanged events of all instances refer to.
	HostList struct {
		Number int
		Hosts  []decision.Host
	}
	// HostsChanged delivers host list Number to an instance. Number is ignored if Kind is decision.FetchFailed.
	HostsChanged struct {
		Kind   decision.ListKind
		Number int
	}
	RequestReceived struct{ Request decision.Request }
	Metrics         struct {
		Build, Class, Count, Failed int
		Mean, Age                   int64
	}
	AnswerFlagged struct {
		Host  uint32
		Class int
		Age   int64
	}
	StreamStarted struct {
		RequestID uint32
		Number    int
	}
	ClientGone     struct{ RequestID uint32 }
	RolloutChanged struct{ Rollout decision.Rollout }
	GossipReceived struct {
		From    int
		Message []byte
	}
	// Exit ends an instance.
	Exit       struct{}
	TimerFired struct{ ID uint64 }
	ProbeDone  struct {
		Host   uint32
		Result decision.Result
		Took   int64
		Report []float64
	}
	AttemptEnded struct {
		RequestID uint32
		Number    int
		Result    decision.Result
		Done      bool
		Took      int64
		Report    []float64
	}
)

// Event is one record of a batch. Body is one of the event bodies above; Instance is 0 for a HostList.
type Event struct {
	Instance uint32
	Body     any
}

// Batch holds the events of one point in time. Clock is in nanoseconds.
type Batch struct {
	Clock  int64
	Events []Event
}

const (
	headerBytes    = 16
	hostEntryBytes = 26
	maxBatchBytes  = 1 << 30 // well-formed batches have a few megabytes
)

// ReadBatch reads the next batch. It returns io.EOF if the input ends before the first byte of a batch.
func ReadBatch(r io.Reader) (Batch, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err == io.EOF {
		return Batch{}, io.EOF
	} else if err != nil {
		return Batch{}, fmt.Errorf("batch header: cut short")
	}
	count, size := binary.BigEndian.Uint32(head[:]), binary.BigEndian.Uint32(head[4:])
	if size > maxBatchBytes {
		return Batch{}, fmt.Errorf("batch header: %d bytes are too many", size)
	}
	body := make([]byte, size)
	if n, err := io.ReadFull(r, body); err != nil {
		return Batch{}, fmt.Errorf("batch body: got %d bytes of %d", n, size)
	}
	b := Batch{Clock: int64(binary.BigEndian.Uint64(head[8:]))}
	offset := 0
	for i := uint32(0); i < count; i++ {
		if len(body)-offset < 5 {
			return Batch{}, fmt.Errorf("record %d at byte %d: header cut short", i, offset)
		}
		code, length := body[offset], binary.BigEndian.Uint32(body[offset+1:])
		if uint64(length) > uint64(len(body)-offset-5) {
			return Batch{}, fmt.Errorf("record %d at byte %d: code %d requires %d bytes, %d are left", i, offset, code,
				length, len(body)-offset-5)
		}
		decoded, err := decodeEvent(code, body[offset+5:offset+5+int(length)])
		if err != nil {
			return Batch{}, fmt.Errorf("record %d at byte %d: %w", i, offset, err)
		}
		b.Events = append(b.Events, decoded)
		offset += 5 + int(length)
	}
	if offset != len(body) {
		return Batch{}, fmt.Errorf("batch body: %d bytes after the last record", len(body)-offset)
	}
	return b, nil
}

// fieldReader decodes the fields of a record in order. err is the first error; after it, all methods return zero values.
type fieldReader struct {
	raw []byte
	err error
}

func (f *fieldReader) bytes(n int, name string) []byte {
	if f.err == nil && (n < 0 || len(f.raw) < n) {
		f.err = fmt.Errorf("field %s: requires %d bytes, %d are left", name, n, len(f.raw))
	}
	if f.err != nil {
		return make([]byte, min(max(n, 0), 8))
	}
	x := f.raw[:n]
	f.raw = f.raw[n:]
	return x
}
func (f *fieldReader) u8(name string) uint8   { return f.bytes(1, name)[0] }
func (f *fieldReader) u16(name string) uint16 { return binary.BigEndian.Uint16(f.bytes(2, name)) }
func (f *fieldReader) u32(name string) uint32 { return binary.BigEndian.Uint32(f.bytes(4, name)) }
func (f *fieldReader) u64(name string) uint64 { return binary.BigEndian.Uint64(f.bytes(8, name)) }
func (f *fieldReader) time(name string) int64 {
	x := f.u64(name)
	if f.err == nil && x > math.MaxInt64/4 {
		f.err = fmt.Errorf("field %s: time %d is out of range", name, x)
	}
	return int64(x)
}
func (f *fieldReader) f32(name string) float64 {
	return float64(math.Float32frombits(f.u32(name)))
}
func (f *fieldReader) report(name string) []float64 {
	n := int(f.u8(name))
	var values []float64
	for i := 0; i < n && f.err == nil; i++ {
		values = append(values, f.f32(name))
	}
	return values
}

// lookUp reads a code of one byte and returns its value in the table.
func lookUp[T any](f *fieldReader, table map[uint8]T, name string) T {
	n := f.u8(name)
	v, ok := table[n]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("field %s: code %d is unknown", name, n)
	}
	return v
}

var (
	listKinds     = map[uint8]decision.ListKind{0: decision.Delta, 1: decision.Snapshot, 2: decision.CachedSnapshot, 3: decision.FetchFailed}
	healthStates  = map[uint8]decision.Health{2: decision.Ready, 0: decision.Draining, 1: decision.Gone}
	rolloutStates = map[uint8]decision.RolloutState{0: decision.OnTrial, 1: decision.RollingBack, 2: decision.Released, 3: decision.RolledBack}
	voteResults   = map[uint8]decision.VoteResult{0: decision.VoteCounted, 9: decision.VoteConflict, 8: decision.VoteThrottled, 13: decision.VoteFailed,
		4: decision.VoteUnanswered}
	results = map[uint8]decision.Result{0: decision.Succeeded, 13: decision.Failed, 8: decision.Rejected, 4: decision.TimedOut,
		14: decision.ConnectFailed, 10: decision.ConnectionReset, 1: decision.Canceled, 9: decision.Unsent}
	booleans = map[uint8]bool{0: false, 1: true}
)

func decodeEvent(code uint8, raw []byte) (e Event, err error) {
	fields := &fieldReader{raw: raw}
	name := ""
	if code != eventHostList {
		e.Instance = fields.u32("i")
	}
	switch code {
	case eventProvision:
		name = "Provision"
		p := Provision{Seed: fields.u64("randomSeed")}
		text := fields.bytes(int(fields.u32("env")), "env")
		if fields.err == nil {
			var all settings.Settings
			all, fields.err = settings.Read(text)
			p.Settings = all.Settings
		}
		e.Body = p
	case eventHostList:
		name = "Ledger"
		list := HostList{Number: int(fields.u16("setId"))}
		rollout := int(fields.u32("members"))
		if fields.err == nil && (list.Number > 15 || rollout > len(fields.raw)/hostEntryBytes) {
			fields.err = fmt.Errorf("list %d: number too large, or %d entries do not fit in %d bytes", list.Number, rollout, len(fields.raw))
		}
		for i := 0; i < rollout && fields.err == nil; i++ {
			list.Hosts = append(list.Hosts, readHost(fields))
		}
		e.Body = list
	case eventHostsChanged:
		name = "PeersKnown"
		e.Body = HostsChanged{lookUp(fields, listKinds, "form"), int(fields.u16("setId"))}
		fields.u64("epoch")
	case eventRequestReceived:
		name = "Incoming"
		request := decision.Request{ID: fields.u32("corr"), Class: int(fields.u8("kind")), Customer: int(fields.u16("billing")),
			Key: fields.u64("partitionKey"), Remaining: fields.time("remainingNs"), Cost: fields.time("costNs")}
		flags := fields.u8("flags")
		if flags&1 == 0 {
			request.Cost = 0
		}
		e.Body = RequestReceived{request}
	case eventMetrics:
		name = "Metrics"
		metrics := Metrics{Build: int(fields.u16("image")), Class: int(fields.u8("kind")), Count: int(fields.u32("many"))}
		metrics.Mean, metrics.Failed, metrics.Age = fields.time("rttNs"), int(fields.u32("errors")), fields.time("latenessNs")
		e.Body = metrics
	case eventAnswerFlagged:
		name = "ReportedWrong"
		e.Body = AnswerFlagged{fields.u32("host"), int(fields.u8("kind")), fields.time("latenessNs")}
	case eventStreamStarted:
		name = "First"
		e.Body = StreamStarted{fields.u32("corr"), int(fields.u8("copy"))}
		fields.u32("host")
		fields.time("rttNs")
	case eventClientGone:
		name = "Dropped"
		e.Body = ClientGone{fields.u32("corr")}
	case eventRolloutChanged:
		name = "TrialNews"
		rollout := decision.Rollout{Build: int(fields.u16("image")), Stage: int(fields.u8("step"))}
		rollout.State, rollout.VoteReply = lookUp(fields, rolloutStates, "standing"), lookUp(fields, booleans, "code")
		rollout.VoteResult, rollout.ExposureCap, rollout.Age = lookUp(fields, voteResults, "ending"), fields.f32("mostShare"), fields.time("latenessNs")
		if fields.err == nil && !(rollout.ExposureCap >= 0 && rollout.ExposureCap <= 1) {
			fields.err = fmt.Errorf("field mostShare: %v is not between 0 and 1", rollout.ExposureCap)
		}
		e.Body = RolloutChanged{rollout}
	case eventGossipReceived:
		name = "FromPeer"
		p := GossipReceived{From: int(fields.u16("from"))}
		p.Message = fields.bytes(int(fields.u16("raw")), "raw")
		e.Body = p
	case eventExit:
		name, e.Body = "Exit", Exit{}
	case eventTimerFired:
		name, e.Body = "Reminder", TimerFired{fields.u64("ctx")}
	case eventProbeDone:
		name = "ProbeDone"
		e.Body = ProbeDone{fields.u32("host"), lookUp(fields, results, "ending"), fields.time("rttNs"), fields.report("pressure")}
	case eventAttemptEnded:
		name = "Finished"
		ended := AttemptEnded{RequestID: fields.u32("corr")}
		fields.u32("host")
		ended.Done, ended.Took, ended.Number = lookUp(fields, booleans, "ended"), fields.time("rttNs"), int(fields.u8("copy"))
		ended.Result, ended.Report = lookUp(fields, results, "ending"), fields.report("pressure")
		e.Body = ended
	default:
		return e, fmt.Errorf("code %d is unknown", code)
	}
	if fields.err == nil && len(fields.raw) > 0 {
		fields.err = errors.New("unexpected bytes after the last field")
	}
	if fields.err != nil {
		return e, fmt.Errorf("%s: %w", name, fields.err)
	}
	return e, nil
}

func readHost(f *fieldReader) decision.Host {
	host := decision.Host{ID: f.u32("host"), Zone: int(f.u16("site")), Kind: int(f.u8("hw")), Cell: int(f.u16("bay")),
		Health: lookUp(f, healthStates, "state")}
	runs := f.f32("runs")
	if f.err == nil && !(runs >= 0 && runs < 65536) {
		f.err = fmt.Errorf("field runs: build %v is out of range", runs)
	}
	host.Build, host.Capacity, host.StartedAt = int(runs), f.f32("share"), f.time("lastStartNs")
	return host
}

// Action codes.
const (
	actionStartAttempt  = 16
	actionReject        = 17
	actionFail          = 18
	actionCancelAttempt = 19
	actionSetTimer      = 20
	actionCloseIdle     = 22
	actionSendGossip    = 23
	actionLog           = 24
	actionWatchHosts    = 26
	actionVote          = 28
)

// Reply collects the actions that answer a batch. The zero value is an empty reply.
type Reply struct {
	count uint32
	raw   []byte
}

func (r *Reply) record(code uint8, instance uint32, length int) {
	r.count++
	r.raw = append(r.raw, code)
	r.u32(uint32(length + 4))
	r.u32(instance)
}
func (r *Reply) u8(x uint8)   { r.raw = append(r.raw, x) }
func (r *Reply) u16(x uint16) { r.raw = binary.BigEndian.AppendUint16(r.raw, x) }
func (r *Reply) u32(x uint32) { r.raw = binary.BigEndian.AppendUint32(r.raw, x) }
func (r *Reply) u64(x uint64) { r.raw = binary.BigEndian.AppendUint64(r.raw, x) }

// WriteTo writes the reply with a single call of w.Write and resets it, even after an error.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 8+len(r.raw)), r.count)
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(r.raw)))
	n, err := w.Write(append(frame, r.raw...))
	r.count, r.raw = 0, r.raw[:0]
	return int64(n), err
}

// Effects implements decision.Effects for one instance: each effect is appended to Reply as an action.
type Effects struct {
	Instance uint32
	Reply    *Reply
}

var verdictCodes = map[decision.Verdict]uint8{decision.NoVote: 0, decision.Advance: 1, decision.Hold: 2, decision.RollBack: 3}

func (e Effects) StartAttempt(request, host uint32, deadline int64) {
	e.Reply.record(actionStartAttempt, e.Instance, 16)
	e.Reply.u32(request)
	e.Reply.u64(uint64(deadline))
	e.Reply.u32(host)
}
func (e Effects) Reject(request uint32, retryAfter int64) {
	e.Reply.record(actionReject, e.Instance, 12)
	e.Reply.u32(request)
	e.Reply.u64(uint64(retryAfter))
}
func (e Effects) Fail(request uint32) {
	e.Reply.record(actionFail, e.Instance, 4)
	e.Reply.u32(request)
}
func (e Effects) CancelAttempt(request uint32, number int) {
	e.Reply.record(actionCancelAttempt, e.Instance, 5)
	e.Reply.u32(request)
	e.Reply.u8(uint8(number))
}
func (e Effects) Vote(v decision.Verdict, build, stage int) {
	e.Reply.record(actionVote, e.Instance, 4)
	e.Reply.u8(verdictCodes[v])
	e.Reply.u16(uint16(build))
	e.Reply.u8(uint8(stage))
}
func (e Effects) SendGossip(peer int, message []byte) {
	e.Reply.record(actionSendGossip, e.Instance, 6+len(message))
	e.Reply.u32(uint32(peer))
	e.Reply.u16(uint16(len(message)))
	e.Reply.raw = append(e.Reply.raw, message...)
}
func (e Effects) SetTimer(after int64, id uint64) {
	e.Reply.record(actionSetTimer, e.Instance, 16)
	e.Reply.u64(uint64(after))
	e.Reply.u64(id)
}
func (e Effects) CloseIdle(host uint32) {
	e.Reply.record(actionCloseIdle, e.Instance, 4)
	e.Reply.u32(host)
}
func (e Effects) WatchHosts(on bool) {
	e.Reply.record(actionWatchHosts, e.Instance, 1)
	if on {
		e.Reply.u8(1)
	} else {
		e.Reply.u8(0)
	}
}
func (e Effects) Log(text string) {
	text = text[:min(len(text), 200)]
	e.Reply.record(actionLog, e.Instance, 2+len(text))
	e.Reply.u16(uint16(len(text)))
	e.Reply.raw = append(e.Reply.raw, text...)
}
