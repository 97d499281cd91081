package golden

import (
	"encoding/json"
	"reflect"
	"testing"

	"portflow/internal/balancer/flow/ipfix"
	"portflow/internal/balancer/site"
	"portflow/internal/harbour/berths"
	"portflow/internal/harbour/convoy"
	"portflow/internal/harbour/harbourmaster"
	"portflow/internal/harbour/lookout"
	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/pilot"
	"portflow/internal/harbour/pilotage"
	"portflow/internal/harbour/quorum"
	"portflow/internal/harbour/signals"
	"portflow/internal/harbour/soundings"
	"portflow/internal/harbour/tonnage"
)

// root is a type that is stored or sent as JSON. Its name is that of its golden files, and stays.
type root struct {
	name  string
	value any // a pointer to it
}

func roots() []root {
	return []root{
		// on held connections between processes
		{"line-message", new(signals.Word)},
		{"line-hello", new(signals.Hello)},
		{"line-status", new(signals.Status)},
		{"line-update", new(signals.News)},
		{"line-change", new(signals.Note)},
		{"line-router", new(signals.Front)},
		{"line-vote", new(signals.Poll)},
		{"line-rollout-age", new(signals.Since)},
		{"line-quotas", new(signals.Tons)},
		{"line-snapshot-head", new(signals.Head)},
		{"line-snapshot-chunk", new(signals.Chunk)},
		{"line-snapshot-part", new(signals.Part)},
		{"consensus-message", new(quorum.Message)},
		{"consensus-result", new(quorum.Result)},
		{"operation", new(orders.Order)},
		{"host", new(berths.Host)},
		{"host-outcomes", new(lookout.Count)},
		{"host-ejection", new(lookout.Judgement)},
		{"quota-report", new(tonnage.Report)},
		{"quota-load", new(tonnage.Load)},
		{"quota-count", new(tonnage.Count)},
		{"quota-sum", new(tonnage.Sum)},
		{"quota-allotment", new(tonnage.Allotment)},
		// in datagrams; the envelope is not exported, its test lies beside it
		{"gossip-member", new(convoy.Member)},
		// on disk
		{"stored-item", new(manifest.Item)},
		{"stored-consensus", new(quorum.Disk)},
		{"stored-members", new(muster.List)},
		{"stored-rollout", new(pilotage.Rollout)},
		// bodies and answers of calls
		{"call-snapshot", new(soundings.Ask)},
		{"answer-snapshot", new(soundings.Part)},
		{"call-restore", new(soundings.Piece)},
		{"answer-restore", new(soundings.Landed)},
		{"call-core-change", new(harbourmaster.CoreChange)},
		{"answer-core-change", new(harbourmaster.CoreOutcome)},
		{"answer-core-recover", new(harbourmaster.CoreRecovery)},
		{"answer-core-read", new(harbourmaster.CoreSurvey)},
		{"answer-harbour-read", new(harbourmaster.Survey)},
		{"answer-refused", new(pilot.Refused)},
		// what operators read
		{"output-quota-trial", new(pilot.Held)},
		{"output-flow-record", new(ipfix.Read)},
		{"operator-file", new(site.Site)},
	}
}

// A field that is stored or sent without a tag is so under its Go name, and a rename would change the format.
func TestEveryFieldHasTag(t *testing.T) {
	for _, r := range roots() {
		for _, field := range Untagged(reflect.TypeOf(r.value)) {
			t.Errorf("%s: %s has no json tag", r.name, field)
		}
	}
}

// untagged is for the check itself.
type untagged struct {
	Tagged string                       `json:"t"`
	Not    map[string][]struct{ X int } `json:",omitempty"`
	hidden int
}

func TestUntaggedFindsFields(t *testing.T) {
	got := Untagged(reflect.TypeOf([]*untagged{{hidden: 1}}))
	if len(got) != 2 {
		t.Errorf("two fields have no tag: %q", got)
	}
}

// Each message with a value in every field, and with none, is encoded as the golden file has it, and the file's bytes are
// read as that message. So what one release sends another reads, in both directions.
func TestMessages(t *testing.T) {
	for _, r := range roots() {
		t.Run(r.name, func(t *testing.T) {
			kind := reflect.TypeOf(r.value).Elem()
			full := reflect.New(kind).Interface()
			Fill(full)
			for name, message := range map[string]any{r.name + ".json": full, r.name + "-empty.json": reflect.New(kind).Interface()} {
				raw, err := json.Marshal(message)
				if err != nil {
					t.Fatal(err)
				}
				want := Equal(t, "messages/"+name, raw)
				read := reflect.New(kind).Interface()
				if err := json.Unmarshal(want, read); err != nil {
					t.Fatal(err)
				}
				again, err := json.Marshal(read)
				if err != nil {
					t.Fatal(err)
				}
				if string(again) != string(want) {
					t.Errorf("%s: read and written again:\n got %s\nwant %s", name, again, want)
				}
				if message == full && !reflect.DeepEqual(read, full) {
					t.Errorf("%s: read as %+v, not %+v", name, read, full)
				}
			}
		})
	}
}
