package golden

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"

	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/bridge"
	"portflow/internal/harbour/convoy"
	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/quorum"
	"portflow/internal/harbour/rpc"
	"portflow/internal/harbour/soundings"
	"portflow/rules"
)

// What a call answers: with a body, without one, and with each kind of error; status, headers and body.
func TestAnswers(t *testing.T) {
	answers := map[string]rpc.Call{
		"body":  {Name: "body", Do: func(context.Context, string, []byte) (any, error) { return map[string]string{"a": "<b>"}, nil }},
		"empty": {Name: "empty", Do: func(context.Context, string, []byte) (any, error) { return nil, nil }},
		"small": {Name: "small", Most: 1},
		"plain": {Name: "plain", Do: func(context.Context, string, []byte) (any, error) { return nil, fmt.Errorf("no kind") }},
	}
	names := []string{"body", "empty", "small", "plain", "unknown"}
	for _, kind := range faults.All() {
		if kind != faults.None {
			name := "error-" + kind.String()
			names = append(names, name)
			answers[name] = rpc.Call{Name: name, Do: func(context.Context, string, []byte) (any, error) { return nil, faults.New(kind, "why %d", int(kind)) }}
		}
	}
	var calls []rpc.Call
	for _, name := range names {
		if c, ok := answers[name]; ok {
			if c.Most == 0 {
				c.Most = 100
			}
			calls = append(calls, c)
		}
	}
	mux := chi.NewRouter()
	rpc.New(calls...).Mount(mux)
	var all bytes.Buffer
	ask := func(method, path string) {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader("{}")))
		fmt.Fprintf(&all, "%s %s: %d", method, path, w.Code)
		headers := []string{}
		for name, value := range w.Header() {
			headers = append(headers, fmt.Sprintf("%s: %q", name, value))
		}
		slices.Sort(headers)
		fmt.Fprintf(&all, " %s\n%s\n", strings.Join(headers, ", "), w.Body)
	}
	for _, name := range names {
		ask(http.MethodPost, "/-/rpc?call="+name)
	}
	ask(http.MethodGet, "/-/rpc?call=body")
	ask(http.MethodPost, "/elsewhere")
	Equal(t, "answers.txt", all.Bytes())
}

// Words and numbers that are stored, sent, or read by operators.
func TestWords(t *testing.T) {
	var all bytes.Buffer
	say := func(what string, values ...any) { fmt.Fprintf(&all, "%s %q\n", what, values) }
	say("kinds of items", manifest.Routes, manifest.Services, manifest.Shares, manifest.Limits, manifest.Evacuations, manifest.Rollouts, manifest.Settled, manifest.Core)
	say("keys", muster.Key.Kind, muster.Key.Name, orders.Whole.Kind, orders.Whole.Name, manifest.Others)
	say("consensus", quorum.Prepare, quorum.Promise, quorum.Accept, quorum.Voted, quorum.Beaten, quorum.Commit, quorum.Behind, quorum.Ahead, quorum.Confirm, quorum.Confirmed,
		quorum.Kept, quorum.Fetch, quorum.Changes, quorum.Parts, quorum.Hand, quorum.Handed)
	say("operations", orders.Modify, orders.Evacuate, orders.Begin, orders.End, orders.Tell, orders.Settle, orders.Join, orders.Restore)
	say("calls", soundings.SnapshotCall, soundings.RestoreCall)
	for kind := range faults.All() {
		say("error", fmt.Sprint(kind), faults.Kind(kind).String())
	}
	for _, s := range []pilotage.State{pilotage.None, pilotage.Running, pilotage.Completed, pilotage.RolledBack} {
		say("rollout", fmt.Sprint(uint8(s)), s.String())
	}
	for _, s := range []berths.State{berths.Ready, berths.Draining, berths.Gone} {
		say("host", fmt.Sprint(uint8(s)), s.String())
	}
	for _, v := range []rules.Verdict{rules.NoVote, rules.On, rules.Hold, rules.Back} {
		say("vote", fmt.Sprint(uint8(v)), v.String())
	}
	for n := range 3 {
		say("standing", fmt.Sprint(n), bridge.Standing(n).String())
	}
	say("members of the view", fmt.Sprint(uint8(convoy.Control)), fmt.Sprint(uint8(convoy.Traffic)))
	say("rollout's name", pilotage.Rollout{Service: "desk", Order: 3}.ID(), fmt.Sprint(pilotage.Asked("v2", 60e9)))
	say("snapshot's name", soundings.Head{Epoch: 2, Number: 13, Items: 4}.String())
	say("version", manifest.Digits(0xab))
	set, _ := everything(t)
	say("sums", fmt.Sprint(set.Sum()), fmt.Sprint(set.CallersSum()), fmt.Sprint(set.Sums()))
	Equal(t, "words.txt", all.Bytes())
}
