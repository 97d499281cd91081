package retryguard

// slot is how long one slot of the wheel is: a few answers' time at a busy router, and short beside an advice.
const slot = 20 * second / 1000

// Wheel is the book of appointments: a timing wheel whose slots hold the work promised for them, in seconds of a
// host's time, up to what the forecast has room for. It holds no appointments: those stand in the prints, 8 bytes
// each, and a slot is found by its time. The first slot with room is found by a forest of jumps over full ones, so
// that a promise costs next to nothing however full the book is. A heap with a map takes three times the bytes and twice
// the time at a million appointments.
type Wheel struct {
	room     []float64 // by slot, round and round
	promised []float64
	jump     []int32 // how many slots on to look, 0 where there is room
	from     int64   // the slot that the book begins with, counted from time 0
}

// NewWheel makes an empty book that reaches so far ahead.
func NewWheel(horizon int64) *Wheel {
	n := int(horizon/slot) + 2
	return &Wheel{room: make([]float64, n), promised: make([]float64, n), jump: make([]int32, n)}
}

func (w *Wheel) index(at int64) int { return int(at % int64(len(w.room))) }

// Forecast turns the book on to now and sets what each slot has room for, in seconds of work.
func (w *Wheel) Forecast(now int64, room func(at int64) float64) {
	first, n := now/slot, int64(len(w.room))
	if first < w.from || first-w.from >= n { // the clock jumped, or nothing was booked for long
		clear(w.promised)
		w.from = first
	}
	for ; w.from < first; w.from++ {
		w.promised[w.index(w.from)] = 0
	}
	for at := first; at < first+n; at++ {
		i := w.index(at)
		if w.room[i], w.jump[i] = room(at*slot), 0; w.promised[i] >= w.room[i] {
			w.jump[i] = 1
		}
	}
}

// Promise books work in the first slot with room from a time on and tells the slot's beginning; false if none has.
func (w *Wheel) Promise(earliest int64, work float64) (due int64, ok bool) {
	at, end := max(earliest/slot, w.from), w.from+int64(len(w.room))
	begin := at
	for at < end && w.jump[w.index(at)] > 0 {
		at += int64(w.jump[w.index(at)])
	}
	for begin < at { // the way that was found is the next one's
		i := w.index(begin)
		step := int64(w.jump[i])
		w.jump[i] = int32(min(at, end) - begin)
		begin += step
	}
	if at >= end {
		return 0, false
	}
	i := w.index(at)
	if w.promised[i] += work; w.promised[i] >= w.room[i] {
		w.jump[i] = 1
	}
	return at * slot, true
}

// Free takes back what was promised for a time. Slots that filled up meanwhile stay passed over until the forecast.
func (w *Wheel) Free(due int64, work float64) {
	if at := due / slot; at >= w.from && at < w.from+int64(len(w.room)) {
		i := w.index(at)
		w.promised[i] = max(0, w.promised[i]-work)
	}
}
