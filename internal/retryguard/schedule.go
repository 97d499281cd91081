package retryguard

// slot is how long one slot of the wheel is: a few answers' time at a busy router, and short beside an advice.
const slot = 20 * second / 1000

// Schedule is the book of appointments: a timing wheel whose slots hold the work promised for them, in seconds of a
// host's time, up to what the forecast has room for. It holds no appointments: those stand in the prints, 8 bytes
// each, and a slot is found by its time. The first slot with room is found by a forest of jumps over full ones, so
// that a promise costs next to nothing however full the book is. A heap with a map takes three times the bytes and twice
// the time at a million appointments.
type Schedule struct {
	capacity  []float64 // by slot, round and round
	promised  []float64
	skip      []int32 // how many slots on to look, 0 where there is room
	firstSlot int64   // the slot that the book begins with, counted from time 0
}

// NewSchedule makes an empty book that reaches so far ahead.
func NewSchedule(horizon int64) *Schedule {
	n := int(horizon/slot) + 2
	return &Schedule{capacity: make([]float64, n), promised: make([]float64, n), skip: make([]int32, n)}
}

func (s *Schedule) index(at int64) int { return int(at % int64(len(s.capacity))) }

// Forecast turns the book on to now and sets what each slot has room for, in seconds of work.
func (s *Schedule) Forecast(now int64, room func(at int64) float64) {
	first, n := now/slot, int64(len(s.capacity))
	if first < s.firstSlot || first-s.firstSlot >= n { // the clock jumped, or nothing was booked for long
		clear(s.promised)
		s.firstSlot = first
	}
	for ; s.firstSlot < first; s.firstSlot++ {
		s.promised[s.index(s.firstSlot)] = 0
	}
	for at := first; at < first+n; at++ {
		i := s.index(at)
		if s.capacity[i], s.skip[i] = room(at*slot), 0; s.promised[i] >= s.capacity[i] {
			s.skip[i] = 1
		}
	}
}

// Reserve books work in the first slot with room from a time on and tells the slot's beginning; false if none has.
func (s *Schedule) Reserve(earliest int64, work float64) (due int64, ok bool) {
	at, end := max(earliest/slot, s.firstSlot), s.firstSlot+int64(len(s.capacity))
	begin := at
	for at < end && s.skip[s.index(at)] > 0 {
		at += int64(s.skip[s.index(at)])
	}
	for begin < at { // the way that was found is the next one's
		i := s.index(begin)
		step := int64(s.skip[i])
		s.skip[i] = int32(min(at, end) - begin)
		begin += step
	}
	if at >= end {
		return 0, false
	}
	i := s.index(at)
	if s.promised[i] += work; s.promised[i] >= s.capacity[i] {
		s.skip[i] = 1
	}
	return at * slot, true
}

// Release takes back what was promised for a time. Slots that filled up meanwhile stay passed over until the forecast.
func (s *Schedule) Release(due int64, work float64) {
	if at := due / slot; at >= s.firstSlot && at < s.firstSlot+int64(len(s.capacity)) {
		i := s.index(at)
		s.promised[i] = max(0, s.promised[i]-work)
	}
}
