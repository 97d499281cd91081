package timerqueue

import "testing"

// Values come in the order of their times and of their addition, never before their time; Remove may be called again.
func TestOrder(t *testing.T) {
	var q Queue[string]
	late, early := q.Add(9, "late"), q.Add(3, "early")
	q.Add(3, "second")
	q.Remove(late)
	q.Remove(late)
	if _, ok := q.PopDue(2); ok {
		t.Fatal("popped before its time")
	}
	for _, want := range []string{"early", "second"} {
		if got, ok := q.PopDue(5); !ok || got != want {
			t.Fatal(got, ok)
		}
	}
	q.Remove(early)
}
