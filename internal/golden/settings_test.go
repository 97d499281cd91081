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

// Guards the names in the router's configuration file: each must set the same field as before.
func TestRouterConfiguration(t *testing.T) {
	got, err := config.Read(input(t, "config.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	want := config.Config{Name: "n0", Listen: "127.0.0.1:8081", Discovery: "127.0.0.1:8500", Seed: 0x8c1f30d27a5be964, Cores: 1.5, Memory: 192 << 20, Sockets: 1024,
		PeerListen: netip.MustParseAddrPort("127.0.0.1:7001"), Peers: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7001"), netip.MustParseAddrPort("127.0.0.1:7002")},
		Platform: "127.0.0.1:6400", KnownHosts: discovery.Update{Revision: 9, HostsChanged: dispatch.HostsChanged{Kind: decision.Snapshot, Hosts: []dispatch.Host{
			{Name: "h1", Address: "127.0.0.1:9001", Zone: 0, Kind: 0, Cell: 4, Health: decision.Ready, Build: 3, Capacity: 1.5, StartedAt: 12e6},
			{Name: "h2", Address: "127.0.0.1:9002", Zone: 1, Kind: 0, Cell: 5, Health: decision.Draining, Build: 2, Capacity: 2, StartedAt: 13e6}}}},
		Rollout: dispatch.RolloutChanged{Rollout: decision.Rollout{Build: 3, Stage: 2, State: decision.OnTrial, ExposureCap: 0.25, Age: 17e6}},
		Settings: routersettings.Settings{ClassNames: []string{"display", "accept"}, CustomerNames: []string{"acme"}, Zones: []string{"hall", "yard"}, Kinds: []string{"toy"},
			AnswerReportFields: []string{"concurrent", "load_share"}, ConnectTimeout: 250e6, IdleTimeout: 31e9, Settings: decision.Settings{
				Rank: 1, Routers: 2, Classes: []decision.RequestClass{
					{LatencyTarget: 1500e6, Timeout: 5e9, Idempotency: decision.Idempotent, DedupScope: decision.AllHosts, DedupWindow: 6e9, Value: 1.5, LateValue: 0.2},
					{LatencyTarget: 750e6, Timeout: 3e9, Idempotency: decision.IdempotentByKey, DedupScope: decision.SameZone, DedupWindow: 2e9, Value: 5, LateValue: 0.1}},
				Customers: []decision.Customer{{PerSecond: 100.5}}, OverQuotaValue: 0.75, TimerResolution: 5e6, Subscribe: true, FetchInterval: 7e6, MaxOpen: 77, MaxAttempts: 3, Hedging: true, Cancellation: true,
				Gossip: true, MaxRetryAfter: 1100e6, Gate: decision.MajorityVote, AdvanceVotes: 5, RollBackVotes: 7, HoldVotes: 6, VoteLifetime: 4100e6, VoteTimeout: 810e6, TrialBurst: 2.5, FirstStageCap: 0.15,
				CapPerClass: true, SideBySide: true, GuardedStages: 8, KeyAffinity: true, ReportedShare: 0.45, ColdCapacity: 0.33, WarmUpTime: 4e9, CollapseFactor: 4.5,
				LoadFields: []decision.LoadField{decision.InFlight, decision.Utilization}}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("configuration read as\n%+v\nwant\n%+v", got, want)
	}
}

// Guards the names in the settings file of the cluster's processes.
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
		t.Errorf("settings read as\n%+v\nwant\n%+v", got, want)
	}
}

// Guards the names in the operator's site file, and the schema that validates it.
func TestSiteFile(t *testing.T) {
	got, err := site.Parse("site.star", input(t, "site.star"))
	if err != nil {
		t.Fatal(err)
	}
	want := site.Config{Storm: &retryguard.Tuning{On: true, Ceiling: 1.2, FirstShare: 0.4, Budget: 0.3, Threshold: 0.6, MemoryBytes: 512 << 10, Horizon: 7e9},
		Flows: &site.Flows{Collectors: []string{"udp://10.0.0.9:4739", "udp://10.0.0.8:4739"}, Protocol: "netflow9", Domain: 7, Enterprise: 9, Active: 50e9, Idle: 12e9,
			Memory: 2 << 20, Refresh: 500e9, MTU: 1300}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("site file read as %s, want %s", mustJSON(t, got), mustJSON(t, want))
	}
	Equal(t, "operators-schema.json", site.Schema())
}

// Guards the names in the heartbeats that hosts send.
func TestHeartbeat(t *testing.T) {
	tree, err := rpc.ParseObject([]byte(`{"address":"10.0.1.1:80","information":{"service":"desk","version":"v1","zone-name":"z1","slot-count":8},
		"current-status":{"sequence":5,"server-state":"draining","cold-remaining-s":1.5}}`))
	if err != nil {
		t.Fatal(err)
	}
	got, err := instance.ParseHeartbeat("h1", tree, 1000)
	want := instance.Instance{ID: "h1", Service: "desk", Address: "10.0.1.1:80", Zone: "z1", Version: "v1", Slots: 8, State: instance.Draining, WarmUpUntil: 1500001000, Sequence: 5}
	if err != nil || got != want {
		t.Errorf("heartbeat read as %+v, %v", got, err)
	}
}

// Guards that the deployment and example files in the repository can be read.
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
