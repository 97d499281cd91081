package golden

import (
	"net/netip"
	"os"
	"reflect"
	"testing"

	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/settings"
	"portflow/internal/control/rpc"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/retryguard"
	"portflow/internal/router/config"
	"portflow/internal/router/discovery"
	routersettings "portflow/internal/router/settings"
	"portflow/internal/router/site"
)

func input(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/input/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// The router's configuration: every name in the file sets what it set before.
func TestRouterConfiguration(t *testing.T) {
	got, err := config.Read(input(t, "config.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	want := config.Config{Name: "n0", Listen: "127.0.0.1:8081", Discovery: "127.0.0.1:8500", Seed: 0x8c1f30d27a5be964, Cores: 1.5, Memory: 192 << 20, Sockets: 1024,
		PeerListen: netip.MustParseAddrPort("127.0.0.1:7001"), Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7001"), netip.MustParseAddrPort("127.0.0.1:7002")},
		Platform: "127.0.0.1:6400", Known: discovery.Message{Revision: 9, List: dispatch.List{Form: decision.Whole, Hosts: []dispatch.Host{
			{Name: "h1", Address: "127.0.0.1:9001", Zone: 0, Kind: 0, Cell: 4, Health: decision.Ready, Build: 3, Size: 1.5, Started: 12e6},
			{Name: "h2", Address: "127.0.0.1:9002", Zone: 1, Kind: 0, Cell: 5, Health: decision.Draining, Build: 2, Size: 2, Started: 13e6}}}},
		News: dispatch.News{News: decision.News{Build: 3, Stage: 2, Standing: decision.OnTrial, Cap: 0.25, Age: 17e6}},
		Settings: routersettings.Settings{Bands: []string{"display", "accept"}, Carriers: []string{"acme"}, Zones: []string{"hall", "yard"}, Kinds: []string{"toy"},
			ReportFields: []string{"concurrent", "load_share"}, ConnectIn: 250e6, IdleIn: 31e9, Settings: decision.Settings{
				Rank: 1, Routers: 2, Bands: []decision.Band{
					{Contract: 1500e6, CutOff: 5e9, Repeat: decision.Replayable, Group: decision.AllHosts, Memory: 6e9, Importance: 1.5, LateOf: 0.2},
					{Contract: 750e6, CutOff: 3e9, Repeat: decision.Referenced, Group: decision.SameZone, Memory: 2e9, Importance: 5, LateOf: 0.1}},
				Carriers: []decision.Carrier{{PerSecond: 100.5}}, OverShare: 0.75, Tick: 5e6, Subscribe: true, AskEvery: 7e6, Most: 77, MaxHandOffs: 3, Copies: true, Recalls: true,
				Peers: true, MaxAdvice: 1100e6, Gate: decision.Share, OnVotes: 5, BackVotes: 7, HoldVotes: 6, VoteLife: 4100e6, VoteWait: 810e6, Free: 2.5, FirstCap: 0.15,
				CapByBand: true, Beside: true, Guarded: 8, KeysStay: true, FlagShare: 0.45, ColdFrom: 0.33, ColdFor: 4e9, FallMultiple: 4.5,
				Reports: []decision.Report{decision.Holding, decision.Busy}}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v\nnot\n%+v", got, want)
	}
}

// The settings file of the system's processes.
func TestProcessSettings(t *testing.T) {
	got, err := settings.Parse(string(input(t, "boot.conf")))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Settings{Name: "front-z1-1", Role: "fairway", MachineClass: "front", IP: "10.1.0.35", Zone: "z1", Region: "r1", Serves: []string{"front", "control"},
		Counted: true, FirstStart: true, DataDirectory: "/data", MemoryMB: 284, Descriptors: 4100, DiskMB: 64, ProcessorShare: 0.56,
		ListenAddresses: map[string]string{"front": "10.1.0.35:8144", "control": "10.1.0.35:8146"}, InternalPorts: [2]int{7660, 7675},
		SeedNodes: []string{"10.1.0.35:8146", "10.2.0.28:8146"}, ZoneRegions: map[string]string{"z1": "r1", "z2": "r2"}, HeartbeatInterval: 1300e6,
		Terms: settings.Terms{SeedLag: 1e9, Reuse: 2e9, Contact: 3e9, Acknowledge: 4e9, CatchUp: 5e9, DrainLimit: 6e9, Grace: 7e9, LossSlack: 8e9, Configuration: 9e9,
			RollbackSlack: 10e9, OuterStretch: 11e9, BudgetWindow: 12e9, Rollback: 13e9, Evacuation: 14e9, Recovery: 15e9, Lifetime: 16e9,
			BudgetRatio: 0.17, BudgetSlack: 0.18, ExposureShare: 0.19, ExposureSlack: 0.2, ColdOverrun: 0.21, ColdSlack: 0.22}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%+v\nnot\n%+v", got, want)
	}
}

// The operator's file, and the schema that it is checked by.
func TestOperatorsFile(t *testing.T) {
	got, err := site.Parse("site.star", input(t, "site.star"))
	if err != nil {
		t.Fatal(err)
	}
	want := site.Site{Storm: &retryguard.Tuning{On: true, Ceiling: 1.2, FirstShare: 0.4, Budget: 0.3, Threshold: 0.6, Memory: 512 << 10, Horizon: 7e9},
		Flows: &site.Flows{Collectors: []string{"udp://10.0.0.9:4739", "udp://10.0.0.8:4739"}, Protocol: "netflow9", Domain: 7, Enterprise: 9, Active: 50e9, Idle: 12e9,
			Memory: 2 << 20, Refresh: 500e9, MTU: 1300}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as %s, not %s", mustJSON(t, got), mustJSON(t, want))
	}
	Equal(t, "operators-schema.json", site.Schema())
}

// What hosts send with each heartbeat.
func TestHeartbeat(t *testing.T) {
	tree, err := rpc.ParseObject([]byte(`{"address":"10.0.1.1:80","information":{"service":"desk","version":"v1","zone-name":"z1","slot-count":8},
		"current-status":{"sequence":5,"server-state":"draining","cold-remaining-s":1.5}}`))
	if err != nil {
		t.Fatal(err)
	}
	got, err := instance.ParseHeartbeat("h1", tree, 1000)
	want := instance.Instance{ID: "h1", Service: "desk", Address: "10.0.1.1:80", Zone: "z1", Version: "v1", Slots: 8, State: instance.Draining, WarmUpUntil: 1500001000, Sequence: 5}
	if err != nil || got != want {
		t.Errorf("read as %+v, %v", got, err)
	}
}

// The files that operators deploy with, as they stand in the repository, are read.
func TestDeployedFiles(t *testing.T) {
	if _, err := site.Read("../../deploy/service.star"); err != nil {
		t.Error(err)
	}
	raw, err := os.ReadFile("../../examples/config.json")
	if err == nil {
		_, err = config.Read(raw, func(string) string { return "" })
	}
	if err != nil {
		t.Error(err)
	}
}
