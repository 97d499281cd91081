package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
)

// Operators and their scripts read these texts, so they must not change.
func TestInstanceState(t *testing.T) {
	ejection := outlier.Ejection{EjectedUntil: 10, ProbationUntil: 20}
	for _, test := range []struct {
		now          int64
		unresponsive bool
		want         string
	}{
		{now: 9, want: "ready, set aside"},
		{now: 10, want: "ready, on its way back"},
		{now: 20, want: "ready"},
		{now: 9, unresponsive: true, want: "ready, silent, set aside"},
	} {
		host := instance.Instance{State: instance.Ready, Unresponsive: test.unresponsive}
		qt.Check(t, instanceState(test.now, host, ejection), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
