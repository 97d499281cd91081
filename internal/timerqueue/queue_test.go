package timerqueue

import "testing"

// Values must be returned in the order of their times, then of their addition, and never early. Removing an item twice, or after it
// was popped, must have no effect.
func TestOrder(t *testing.T) {
	var q Queue[string]
	late, early := q.Add(9, "late"), q.Add(3, "early")
	q.Add(3, "second")
	q.Remove(late)
	q.Remove(late)
	if _, ok := q.PopDue(2); ok {
		t.Fatal("value was popped before its time")
	}
	for _, want := range []string{"early", "second"} {
		if got, ok := q.PopDue(5); !ok || got != want {
			t.Fatal(got, ok)
		}
	}
	q.Remove(early)
}
