package consensus

import (
	"container/heap"
)

const (
	ms     = int64(1e6)
	second = int64(1e9)
)

// task is a function that runs at a simulated time, in nanoseconds. seq orders tasks of the same time.
type task struct {
	at, seq int64
	do      func()
}

// tasks is a min-heap of tasks by time.
type tasks []task

func (q tasks) Len() int { return len(q) }

func (q tasks) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q tasks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *tasks) Push(x any) { *q = append(*q, x.(task)) }

func (q *tasks) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// after schedules do in d nanoseconds, or at once if d is negative.
func (sim *simulation) after(d int64, do func()) {
	sim.seq++
	heap.Push(&sim.tasks, task{sim.now + max(d, 0), sim.seq, do})
}

// between returns a random duration in [from, to), or from if the interval is empty.
func (sim *simulation) between(from, to int64) int64 {
	return from + sim.rand.Int64N(max(1, to-from))
}

// run runs all tasks that are due until a time, and advances the clock to it.
func (sim *simulation) run(until int64) {
	for len(sim.tasks) > 0 && sim.tasks[0].at <= until {
		t := heap.Pop(&sim.tasks).(task)
		sim.now = t.at
		t.do()
		if len(sim.tasks) > 20000 {
			sim.failLiveness("too many pending messages and timers: %d, messages sent so far: %v", len(sim.tasks), sim.sent)
		}
	}
	sim.now = until
}
