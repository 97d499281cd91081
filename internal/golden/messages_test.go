package golden

import (
	"encoding/json"
	"reflect"
	"testing"

	"portflow/internal/client"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/gossip"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
	"portflow/internal/control/server"
	"portflow/internal/control/snapshot"
	"portflow/internal/quota"
	"portflow/internal/router/flow/ipfix"
	"portflow/internal/router/site"
)

// encodedType is a type that is stored or sent as JSON. Its name is also that of its golden files and must not change.
type encodedType struct {
	name  string
	value any // pointer to a zero value of the type
}

func encodedTypes() []encodedType {
	return []encodedType{
		// sent over streams between processes
		{"line-message", new(update.Message)},
		{"line-hello", new(update.Hello)},
		{"line-status", new(update.Status)},
		{"line-update", new(update.Batch)},
		{"line-change", new(update.Change)},
		{"line-router", new(update.Proxy)},
		{"line-vote", new(update.Vote)},
		{"line-rollout-age", new(update.RolloutStart)},
		{"line-quotas", new(update.QuotaUpdate)},
		{"line-snapshot-head", new(update.SnapshotHeader)},
		{"line-snapshot-chunk", new(update.Chunk)},
		{"line-snapshot-part", new(update.Progress)},
		{"consensus-message", new(consensus.Message)},
		{"consensus-result", new(consensus.Result)},
		{"operation", new(operation.Operation)},
		{"host", new(instance.Instance)},
		{"host-outcomes", new(outlier.Stats)},
		{"host-ejection", new(outlier.Ejection)},
		{"quota-report", new(quota.Report)},
		{"quota-load", new(quota.Load)},
		{"quota-count", new(quota.CallerCount)},
		{"quota-sum", new(quota.ZoneUsage)},
		{"quota-allotment", new(quota.Allocation)},
		// sent in datagrams; the envelope is unexported and tested in its own package
		{"gossip-member", new(gossip.Member)},
		// stored on disk
		{"stored-item", new(config.Item)},
		{"stored-consensus", new(consensus.HardState)},
		{"stored-members", new(membership.List)},
		{"stored-rollout", new(rollout.Rollout)},
		// request and response bodies of calls
		{"call-snapshot", new(snapshot.ReadRequest)},
		{"answer-snapshot", new(snapshot.ReadResponse)},
		{"call-restore", new(snapshot.RestoreRequest)},
		{"answer-restore", new(snapshot.RestoreResponse)},
		{"call-core-change", new(server.CoreChange)},
		{"answer-core-change", new(server.CoreChangeResult)},
		{"answer-core-recover", new(server.CoreRecovery)},
		{"answer-core-read", new(server.CoreStatus)},
		{"answer-harbour-read", new(server.ClusterStatus)},
		{"answer-refused", new(client.ResponseError)},
		// output for operators, and their configuration file
		{"output-quota-trial", new(client.ThrottledCaller)},
		{"output-flow-record", new(ipfix.Read)},
		{"operator-file", new(site.Config)},
	}
}

// Guards against encoded fields without a JSON tag: they take their Go name, so that renaming them would change the format.
func TestEveryFieldHasTag(t *testing.T) {
	for _, r := range encodedTypes() {
		for _, field := range Untagged(reflect.TypeOf(r.value)) {
			t.Errorf("%s: %s has no json tag", r.name, field)
		}
	}
}

// untagged has two exported fields without a JSON name, for the test of Untagged.
type untagged struct {
	Tagged string                       `json:"t"`
	Not    map[string][]struct{ X int } `json:",omitempty"`
	hidden int
}

func TestUntaggedFindsFields(t *testing.T) {
	got := Untagged(reflect.TypeOf([]*untagged{{hidden: 1}}))
	if len(got) != 2 {
		t.Errorf("untagged fields: %q, want 2", got)
	}
}

// Guards the encoding of each message, with all fields set and with none, and that the golden file decodes to the same
// message, so that each release can read what another sends.
func TestMessages(t *testing.T) {
	for _, r := range encodedTypes() {
		t.Run(r.name, func(t *testing.T) {
			typ := reflect.TypeOf(r.value).Elem()
			full := reflect.New(typ).Interface()
			Fill(full)
			for name, message := range map[string]any{r.name + ".json": full, r.name + "-empty.json": reflect.New(typ).Interface()} {
				raw, err := json.Marshal(message)
				if err != nil {
					t.Fatal(err)
				}
				want := Equal(t, "messages/"+name, raw)
				decoded := reflect.New(typ).Interface()
				if err := json.Unmarshal(want, decoded); err != nil {
					t.Fatal(err)
				}
				again, err := json.Marshal(decoded)
				if err != nil {
					t.Fatal(err)
				}
				if string(again) != string(want) {
					t.Errorf("%s: decoded and encoded again:\n got %s\nwant %s", name, again, want)
				}
				if message == full && !reflect.DeepEqual(decoded, full) {
					t.Errorf("%s: decoded as %+v, want %+v", name, decoded, full)
				}
			}
		})
	}
}
