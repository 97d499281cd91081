package config

import (
	"strings"
	"testing"
)

const validConfig = `{"name":"n3","listen":"127.0.0.4:8081","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946"],"peers_all":"127.3.255.1:7946",
 "rollouts":{"address":"127.2.0.2:6400","news":{"release":42,"tranche":1,"mode":"canary","exposure":0.28,"old_ms":310}},
 "known":{"revision":41,"complete":true,"members":[{"id":"s","host_port":"127.1.0.1:1","phase":"Ready"}]},
 "settings":{"classes":[{"name":"display","aimNs":1,"effect":"repeatable"}],"familyInfo":{"gateMode":"majority"},"rank":0,
  "replicasOfMe":1,"tickNs":5,"limits":{"maxAttempts":3,"connIdleNs":5,"connectTimeoutNs":5,"peerMessages":true}}}`

func TestRead(t *testing.T) {
	c, err := Read([]byte(validConfig), func(name string) string {
		return map[string]string{"ROUTER_LISTEN": "127.0.0.5:1"}[name]
	})
	if err != nil || c.Listen != "127.0.0.5:1" || c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.Memory != 192<<20 ||
		len(c.KnownHosts.Hosts) != 1 || c.Rollout.Build != 42 || c.Settings.ClassNames[0] != "display" || len(c.Peers) != 1 {
		t.Fatal(c, err)
	}
}

func TestErrorsNameTheField(t *testing.T) {
	for from, x := range map[string][2]string{
		`"name":"n3"`:                  {`"name":""`, "name"},
		`"listen":"127.0.0.4:8081"`:    {`"listen":"here"`, "listen"},
		`"127.2.0.1:8500"`:             {`""`, "discovery"},
		`"8c1f30d27a5be964"`:           {`"x"`, "seed"},
		`"sockets":1024`:               {`"sockets":3`, "limits"},
		`"127.0.0.4:7946"`:             {`""`, "peer_listen"},
		`["127.3.0.1:7946"]`:           {`[]`, "peers"},
		`"127.2.0.2:6400"`:             {`""`, "rollouts.address"},
		`"mode":"canary"`:              {`"mode":"?"`, "rollouts.news"},
		`"complete":true,"members":[{`: {`"complete":true,"members":[{"x":1},{`, "known"},
		`"gateMode":"majority"`:        {``, "gateMode"},
		`"connIdleNs":5`:               {`"connIdleNs":0`, "connIdleNs"},
		`"settings":{`:                 {`"settings":"","x":{`, "settings"},
	} {
		text := strings.Replace(validConfig, from, x[0], 1)
		if _, err := Read([]byte(text), func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), x[1]) {
			t.Errorf("%s: %v", x[0], err)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Error(err)
	}
}

func TestDiffers(t *testing.T) {
	none := func(string) string { return "" }
	current, _ := Read([]byte(validConfig), none)
	for from, x := range map[string][2]string{`"127.2.0.1:8500"`: {`"127.2.0.9:8500"`, ""}, `"127.2.0.2:6400"`: {`"127.2.0.9:6400"`, ""},
		`"sockets":1024`: {`"sockets":256`, "limits"}, `"aimNs":1`: {`"aimNs":2`, "settings"}, `"127.3.0.1:7946"]`: {`"127.3.0.2:7946"]`, "peers"}} {
		next, err := Read([]byte(strings.Replace(validConfig, from, x[0], 1)), none)
		if got := strings.Join(current.Differs(next), ","); err != nil || got != x[1] {
			t.Errorf("%s: %q, %v", x[0], got, err)
		}
	}
}
