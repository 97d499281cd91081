package retryguard

// slot is the length of a slot of the schedule in nanoseconds: long enough for a few responses of a busy router, and short compared
// with the waits that clients are given.
const slot = 20 * second / 1000

// Schedule reserves capacity for future retries. It is a timing wheel: each slot has a forecast capacity and the work reserved in
// it, both in seconds of host time. The appointments themselves are stored in Fingerprints, 8 bytes each; a slot is addressed by
// its time. Full slots are skipped by links with path compression, as in a union-find structure, so that a reservation is cheap
// however full the schedule is. BenchmarkAppointments compares it with a heap and a map.
type Schedule struct {
	capacity  []float64 // ring of slots, indexed by slot number modulo its length
	reserved  []float64 // likewise
	skip      []int32   // likewise; number of slots to skip ahead, 0 if the slot has capacity left
	firstSlot int64     // slot number, time divided by slot, of the first slot of the ring
}

// slotBytes is the memory of a slot in the three rings.
const slotBytes = 8 + 8 + 4

// NewSchedule returns a schedule that reaches horizon nanoseconds ahead. All its slots have no capacity until Forecast is called.
func NewSchedule(horizon int64) *Schedule {
	n := int(horizon/slot) + 2
	return &Schedule{
		capacity: make([]float64, n),
		reserved: make([]float64, n),
		skip:     make([]int32, n),
	}
}

// Bytes returns the memory of the schedule's slots, which never changes.
func (s *Schedule) Bytes() int { return slotBytes * len(s.capacity) }

func (s *Schedule) index(at int64) int { return int(at % int64(len(s.capacity))) }

// Forecast advances the schedule to now, dropping reservations in past slots, and sets the capacity of each slot. capacity
// returns the capacity, in seconds of work, of the slot that begins at the given time.
func (s *Schedule) Forecast(now int64, capacity func(at int64) float64) {
	first := now / slot
	n := int64(len(s.capacity))
	if first < s.firstSlot || first-s.firstSlot >= n { // the clock jumped, or the last forecast was long ago
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

// markIfFull makes Reserve skip a slot that has no capacity left.
func (s *Schedule) markIfFull(i int) {
	if s.reserved[i] >= s.capacity[i] {
		s.skip[i] = 1
	}
}

// Reserve reserves work in the first slot with capacity left that ends after earliest, and returns the start of that slot, which
// may be before earliest. ok is false if no slot has capacity left. The last reservation in a slot may exceed its capacity.
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

// shortenSkips compresses the path that Reserve followed: each slot on it from begin on now skips directly to found.
func (s *Schedule) shortenSkips(begin, found, end int64) {
	for begin < found {
		i := s.index(begin)
		step := int64(s.skip[i])
		s.skip[i] = int32(min(found, end) - begin)
		begin += step
	}
}

// Release cancels a reservation of work in the slot that contains due. A full slot is still skipped until the next Forecast.
func (s *Schedule) Release(due int64, work float64) {
	at := due / slot
	if at < s.firstSlot || at >= s.firstSlot+int64(len(s.capacity)) {
		return
	}
	i := s.index(at)
	s.reserved[i] = max(0, s.reserved[i]-work)
}
