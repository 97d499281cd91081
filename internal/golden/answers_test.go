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

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
	"portflow/internal/control/registry"
	"portflow/internal/control/rpc"
	"portflow/internal/control/snapshot"
	"portflow/internal/decision"
)

// Guards the status, headers and body of responses to control calls: with a body, without one, and for each kind of error.
func TestResponses(t *testing.T) {
	answers := map[string]rpc.Call{
		"body":  {Name: "body", Handle: func(context.Context, string, []byte) (any, error) { return map[string]string{"a": "<b>"}, nil }},
		"empty": {Name: "empty", Handle: func(context.Context, string, []byte) (any, error) { return nil, nil }},
		"small": {Name: "small", MaxBody: 1},
		"plain": {Name: "plain", Handle: func(context.Context, string, []byte) (any, error) { return nil, fmt.Errorf("no kind") }},
	}
	names := []string{"body", "empty", "small", "plain", "unknown"}
	for _, kind := range apierror.All() {
		if kind != apierror.None {
			name := "error-" + kind.String()
			names = append(names, name)
			answers[name] = rpc.Call{Name: name, Handle: func(context.Context, string, []byte) (any, error) {
				return nil, apierror.New(kind, "why %d", int(kind))
			}}
		}
	}
	var calls []rpc.Call
	for _, name := range names {
		if c, ok := answers[name]; ok {
			if c.MaxBody == 0 {
				c.MaxBody = 100
			}
			calls = append(calls, c)
		}
	}
	mux := chi.NewRouter()
	rpc.New(calls...).Mount(mux)
	var all bytes.Buffer
	request := func(method, path string) {
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
		request(http.MethodPost, "/-/rpc?call="+name)
	}
	request(http.MethodGet, "/-/rpc?call=body")
	request(http.MethodPost, "/elsewhere")
	Equal(t, "answers.txt", all.Bytes())
}

// Guards names and numbers of constants that are stored, sent or shown to operators.
func TestNamesAndNumbers(t *testing.T) {
	var all bytes.Buffer
	record := func(what string, values ...any) { fmt.Fprintf(&all, "%s %q\n", what, values) }
	record("kinds of items", config.KindRoutes, config.KindServices, config.KindQuotas, config.KindLimits, config.KindEvacuations, config.KindRollouts, config.KindStableVersions, config.KindCore)
	record("keys", membership.Key.Kind, membership.Key.Name, operation.ReplaceAllKey.Kind, operation.ReplaceAllKey.Name, config.OtherCallers)
	record("consensus", consensus.Prepare, consensus.Promise, consensus.Accept, consensus.Accepted, consensus.Rejected, consensus.Commit, consensus.Behind, consensus.Ahead, consensus.ReadIndex, consensus.ReadIndexReply,
		consensus.VotePersisted, consensus.FetchChanges, consensus.Changes, consensus.SnapshotChunk, consensus.Forward, consensus.ForwardResult)
	record("operations", operation.ModifyConfig, operation.Evacuate, operation.BeginRollout, operation.EndRollout, operation.CompleteSwitch, operation.SetInitialVersion, operation.ChangeMembers, operation.RestoreSnapshot)
	record("calls", snapshot.SnapshotCall, snapshot.RestoreCall)
	for kind := range apierror.All() {
		record("error", fmt.Sprint(kind), apierror.Kind(kind).String())
	}
	for _, s := range []rollout.State{rollout.None, rollout.Running, rollout.Completed, rollout.RolledBack} {
		record("rollout", fmt.Sprint(uint8(s)), s.String())
	}
	for _, s := range []instance.State{instance.Ready, instance.Draining, instance.Gone} {
		record("host", fmt.Sprint(uint8(s)), s.String())
	}
	for _, v := range []decision.Verdict{decision.NoVote, decision.Advance, decision.Hold, decision.RollBack} {
		record("vote", fmt.Sprint(uint8(v)), v.String())
	}
	for n := range 3 {
		record("standing", fmt.Sprint(n), registry.Status(n).String())
	}
	record("members of the view", fmt.Sprint(uint8(gossip.Control)), fmt.Sprint(uint8(gossip.Proxy)))
	record("rollout's name", rollout.Rollout{Service: "desk", Number: 3}.ID(), fmt.Sprint(rollout.Digest("v2", 60e9)))
	record("snapshot's name", snapshot.Header{Epoch: 2, Index: 13, Items: 4}.String())
	record("version", config.FormatVersion(0xab))
	set, _ := everything(t)
	record("sums", fmt.Sprint(set.Checksum()), fmt.Sprint(set.QuotaChecksum()), fmt.Sprint(set.PartitionSums()))
	Equal(t, "words.txt", all.Bytes())
}
