package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/settings"
	"portflow/internal/control/consensus"
)

// A process gets founders only on a new disk at the first start, or on a complete disk of a release without consensus. With a damaged,
// incomplete or lost disk it gets a new disk ID and no founders, so that it can't vote twice.
func TestLoadHardState(t *testing.T) {
	seeds := []string{"10.0.0.3:9", "10.0.0.2:9", "10.0.0.3:9"}
	record := encodeHardState(consensus.HardState{DiskID: "disk-1", Applied: 4})
	former := []config.Item{{Kind: config.KindCore, Name: "10.0.0.9", Version: 1}, {Kind: config.KindCore, Name: "10.0.0.8", Version: 1}}
	for name, test := range map[string]struct {
		firstStart        bool
		seeds             []string
		items             []config.Item
		records           map[string][]byte
		complete, damaged bool
		wantID            string
		wantFounders      []string
	}{
		"a record on an intact disk":           {records: record, complete: true, wantID: "disk-1"},
		"a record on a damaged disk":           {records: record, complete: true, damaged: true, wantID: "life"},
		"a record on an incomplete disk":       {records: record, wantID: "life"},
		"a record that can't be read":          {records: map[string][]byte{nodeRecord: []byte("{")}, complete: true, wantID: "life"},
		"a record without an ID":               {records: map[string][]byte{nodeRecord: []byte("{}")}, complete: true, wantID: "life"},
		"first start, with seeds":              {firstStart: true, seeds: seeds, wantID: "life", wantFounders: []string{"10.0.0.2", "10.0.0.3"}},
		"first start, without seeds":           {firstStart: true, wantID: "life", wantFounders: []string{"10.0.0.1"}},
		"first start, on a damaged disk":       {firstStart: true, seeds: seeds, damaged: true, wantID: "life"},
		"a later start on a lost disk":         {seeds: seeds, wantID: "life"},
		"a disk without consensus":             {items: former, complete: true, wantID: "life", wantFounders: []string{"10.0.0.8", "10.0.0.9"}},
		"an incomplete disk without consensus": {items: former, wantID: "life"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &Server{incarnation: "life", Options: Options{Settings: settings.Settings{IP: "10.0.0.1", FirstStart: test.firstStart, SeedNodes: test.seeds}}}
			hardState, set, removed, created := s.loadHardState(test.items, test.records, test.complete, test.damaged)
			c.Check(hardState.DiskID, qt.Equals, test.wantID)
			c.Check(created, qt.Equals, test.wantID == "life")
			c.Check(hardState.Founders, qt.DeepEquals, test.wantFounders)
			c.Check(removed, qt.HasLen, len(test.items))
			c.Check(set.Len(), qt.Equals, 0)
		})
	}
}
