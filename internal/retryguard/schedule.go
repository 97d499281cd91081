package retryguard

// slot is how long one slot of the schedule is: a few answers' time at a busy router, and short beside a wait.
const slot = 20 * second / 1000

// Schedule is the work for which appointments were made: a timing wheel whose slots hold the work reserved in them, in seconds of a
// host's time, up to the capacity that was forecast. It holds no appointments: those are in the fingerprints, 8 bytes each, and a
// slot is found by its time. The first slot with room is found by skips over full ones that are shortened as they are followed,
// so that an appointment costs next to nothing however full the schedule is. A heap with a map takes three times the memory and
// twice the time at a million appointments.
type Schedule struct {
	capacity  []float64 // by slot, a ring
	reserved  []float64
	skip      []int32 // how many slots on to look, 0 where there is room
	firstSlot int64   // the first slot of the ring, counted from time 0
}

// slotBytes is the memory of a slot.
const slotBytes = 8 + 8 + 4

// NewSchedule makes an empty schedule that reaches so many nanoseconds ahead.
func NewSchedule(horizon int64) *Schedule {
	n := int(horizon/slot) + 2
	return &Schedule{
		capacity: make([]float64, n),
		reserved: make([]float64, n),
		skip:     make([]int32, n),
	}
}

// Bytes is the memory of the schedule.
func (s *Schedule) Bytes() int { return slotBytes * len(s.capacity) }

func (s *Schedule) index(at int64) int { return int(at % int64(len(s.capacity))) }

// Forecast moves the schedule on to now and sets the capacity of each slot, in seconds of work.
func (s *Schedule) Forecast(now int64, capacity func(at int64) float64) {
	first := now / slot
	n := int64(len(s.capacity))
	if first < s.firstSlot || first-s.firstSlot >= n { // the clock jumped, or there was no appointment for long
		clear(s.reserved)
		s.firstSlot = first
	}
	for ; s.firstSlot < first; s.firstSlot++ {
		s.reserved[s.index(s.firstSlot)] = 0
	}
	for at := first; at < first+n; at++ {
		i := s.index(at)
		s.capacity[i] = capacity(at * slot)
		s.skip[i] = 0
		s.markIfFull(i)
	}
}

// markIfFull makes Reserve skip a slot without room.
func (s *Schedule) markIfFull(i int) {
	if s.reserved[i] >= s.capacity[i] {
		s.skip[i] = 1
	}
}

// Reserve reserves work in the first slot with room from a time on, and returns when the slot begins; ok is false if none has.
func (s *Schedule) Reserve(earliest int64, work float64) (due int64, ok bool) {
	begin := max(earliest/slot, s.firstSlot)
	end := s.firstSlot + int64(len(s.capacity))
	at := begin
	for at < end && s.skip[s.index(at)] > 0 {
		at += int64(s.skip[s.index(at)])
	}
	s.shortenSkips(begin, at, end)
	if at >= end {
		return 0, false
	}
	i := s.index(at)
	s.reserved[i] += work
	s.markIfFull(i)
	return at * slot, true
}

// shortenSkips makes the slots that were followed from begin skip to the one that was found.
func (s *Schedule) shortenSkips(begin, found, end int64) {
	for begin < found {
		i := s.index(begin)
		step := int64(s.skip[i])
		s.skip[i] = int32(min(found, end) - begin)
		begin += step
	}
}

// Release takes back work that was reserved. A slot that was full stays skipped until the next forecast.
func (s *Schedule) Release(due int64, work float64) {
	at := due / slot
	if at < s.firstSlot || at >= s.firstSlot+int64(len(s.capacity)) {
		return
	}
	i := s.index(at)
	s.reserved[i] = max(0, s.reserved[i]-work)
}
