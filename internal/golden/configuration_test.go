package golden

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/membership"
	"portflow/internal/control/operation"
)

func mustJSON(t testing.TB, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// jsonLines encodes values as JSON Lines.
func jsonLines[T any](t testing.TB, all []T) (raw []byte) {
	t.Helper()
	for _, v := range all {
		raw = append(append(raw, mustJSON(t, v)...), '\n')
	}
	return raw
}

// configuration returns a set with an item of each kind that operators can change, read from testdata/input/change.json.
func configuration(t testing.TB) *config.Set {
	t.Helper()
	raw, err := os.ReadFile("testdata/input/change.json")
	if err != nil {
		t.Fatal(err)
	}
	items, err := config.ParseChange(raw)
	if err != nil {
		t.Fatal(err)
	}
	set := config.NewSet()
	apply(t, set, operation.Operation{Kind: operation.ModifyConfig, Items: items})
	return set
}

func apply(t testing.TB, set *config.Set, o operation.Operation) []config.Item {
	t.Helper()
	items, err := operation.Apply(set, o)
	if err != nil || len(items) == 0 {
		t.Fatalf("%v: %d items, %v", o, len(items), err)
	}
	for _, i := range items {
		set.Merge(i)
	}
	return items
}

// everything returns a set with an item of each kind as control processes store them: configuration, members, a cancelled
// evacuation, the initial version of a service, an ended and a running rollout, and items with earlier versions. changes has
// the items that each operation produced.
func everything(t testing.TB) (set *config.Set, changes [][]config.Item) {
	t.Helper()
	set = configuration(t)
	member := func(n string) membership.Member {
		return membership.Member{IP: "10.0.0." + n, ID: "disk-" + n, Name: "control-" + n, Zone: "z" + n}
	}
	changed := config.Item{Kind: config.KindServices, Name: "bags", Version: 0x11, Body: json.RawMessage(`{"health-path":"/up","name":"bags"}`)}
	for _, o := range []operation.Operation{
		{Kind: operation.ChangeMembers, Add: []membership.Member{member("1"), member("2"), member("3")}},
		{Kind: operation.ChangeMembers, Add: []membership.Member{member("4")}, Remove: []string{"10.0.0.2"}, Exclude: []membership.Member{member("2")}, Expected: 1},
		{Kind: operation.SetInitialVersion, Name: "desk", Version: "v1"},
		{Kind: operation.Evacuate, Name: "z1", Active: true},
		{Kind: operation.Evacuate, Name: "z1", Active: false},
		{Kind: operation.Evacuate, Name: "z2", Active: true},
		{Kind: operation.BeginRollout, Name: "desk", TargetVersion: "v2", Duration: 60e9, SubmittedAt: 1700000000e9, ClockAgreed: true, RetryWindow: 5e9},
		{Kind: operation.EndRollout, Name: "desk", Expected: 1, Outcome: rollout.Completed, SubmittedAt: 1700000050e9},
		{Kind: operation.CompleteSwitch, Name: "desk", Expected: 1},
		{Kind: operation.BeginRollout, Name: "desk", TargetVersion: "v3", Duration: 30e9, SubmittedAt: 1700000100e9, KnownRollout: 1, KnownRolloutAge: 100e9},
		{Kind: operation.BeginRollout, Name: "bags", TargetVersion: "v9", Duration: 30e9, SubmittedAt: 1700000100e9},
		{Kind: operation.EndRollout, Name: "bags", Expected: 1, Outcome: rollout.RolledBack, SubmittedAt: 1700000110e9},
		{Kind: operation.ModifyConfig, Items: []config.Item{changed}},
	} {
		changes = append(changes, apply(t, set, o))
	}
	return set, changes
}

// Guards the items that an operator's configuration change is parsed into, and the bytes that it is read back as.
func TestConfiguration(t *testing.T) {
	set := configuration(t)
	Equal(t, "configuration/items.jsonl", jsonLines(t, set.All()))
	raw, err := set.EncodeChange()
	if err != nil {
		t.Fatal(err)
	}
	read := Equal(t, "configuration/read.json", raw)
	items, err := config.ParseChange([]byte(`{"set-items":` + string(read) + `}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range items {
		if current, _ := set.Lookup(i.Key()); !current.Equal(i) {
			t.Errorf("%s: parsed again as %s", mustJSON(t, current), mustJSON(t, i))
		}
	}
}

// Guards the items that each committed operation produces, and how members and rollouts are decoded from them. Every release
// must produce the same items for an operation.
func TestCommittedItems(t *testing.T) {
	set, changes := everything(t)
	Equal(t, "configuration/decided.jsonl", jsonLines(t, changes))
	members := membership.FromSet(set)
	if members.Epoch != 2 || len(members.Members) != 3 || len(members.Excluded) != 1 || set.Members()["10.0.0.4"] != "z4" {
		t.Errorf("the members are read as %+v, %v", members, set.Members())
	}
	if !reflect.DeepEqual(membership.FromItem(members.Item()), members) {
		t.Errorf("members encoded as %+v, not equal after decoding", members.Item())
	}
	desk, _ := set.Lookup(config.Key{Kind: config.KindRollouts, Name: "desk"})
	want := rollout.Rollout{Service: "desk", Number: 2, From: "v2", BaseNumber: 1, Target: "v3", StartedAt: 1700000100e9, Duration: 30e9,
		State: rollout.Running, PastDigests: [rollout.MaxPastDigests]uint64{rollout.Digest("v2", 60e9)}}
	if got := rollout.FromItem(desk); got != want {
		t.Errorf("rollout decoded as %+v, want %+v", got, want)
	}
	if !want.Item().Equal(desk) {
		t.Errorf("rollout encoded as %s, want %s", want.Item().Body, desk.Body)
	}
	stable, _ := set.Lookup(config.Key{Kind: config.KindStableVersions, Name: "desk"})
	if got := rollout.StableVersion(stable, rollout.Rollout{}); got != "v1" {
		t.Errorf("stable version of desk = %q, want v1", got)
	}
	Equal(t, "configuration/everything.jsonl", jsonLines(t, set.All()))
	restored, err := operation.Apply(set, operation.Operation{Kind: operation.RestoreSnapshot, Items: configuration(t).All(), Version: "snapshot-1", Expected: 2})
	if err != nil || !operation.ReplacesAll(restored) {
		t.Fatal(err, restored)
	}
	Equal(t, "configuration/restored.jsonl", jsonLines(t, restored))
}
