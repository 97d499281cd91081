// Package config reads what a router is told at its start: ROUTER_* and the file that they name.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	"portflow/internal/dispatch"
	"portflow/internal/router/discovery"
	"portflow/internal/router/platform"
	"portflow/internal/router/settings"
)

// Config is a checked configuration.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       uint64
	Cores      float64
	Memory     int64 // bytes
	Sockets    int
	PeerListen netip.AddrPort
	Peers      []netip.AddrPort // by rank
	Platform   string
	KnownHosts discovery.Update
	Rollout    dispatch.RolloutChanged
	Settings   settings.Settings
}

// Differs names the fields in which next has another value that a router can only take up at its start. Discovery's
// and the platform's addresses it takes up at once; the seed, what is known and the news are for its start anyway.
func (c Config) Differs(next Config) (fields []string) {
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"limits", c.Cores == next.Cores && c.Memory == next.Memory && c.Sockets == next.Sockets},
		{"peer_listen", c.PeerListen == next.PeerListen},
		{"peers", slices.Equal(c.Peers, next.Peers)},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)},
	} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}

type configJSON struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	Rollouts   struct {
		Address string          `json:"address"`
		News    json.RawMessage `json:"news"`
	} `json:"rollouts"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the file that ROUTER_CONFIG names. The other variables go before the same fields of the file.
func Load(env func(string) string) (Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("ROUTER_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	c, err := Read(raw, env)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Reload reads the file again for a router that runs: its discovery goes before the variable, which is as old as the
// process.
func Reload(env func(string) string) (Config, error) {
	return Load(func(name string) string {
		if name == "ROUTER_DISCOVERY" {
			return ""
		}
		return env(name)
	})
}

// Read reads a configuration's text.
func Read(raw []byte, env func(string) string) (Config, error) {
	var f configJSON
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, err
	}
	for name, field := range map[string]*string{"ROUTER_NAME": &f.Name, "ROUTER_LISTEN": &f.Listen,
		"ROUTER_DISCOVERY": &f.Discovery} {
		if v := env(name); v != "" {
			*field = v
		}
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Cores: f.Limits.Cores,
		Memory: f.Limits.MemoryMB << 20, Sockets: f.Limits.Sockets, Platform: f.Rollouts.Address}
	if c.Name == "" {
		return c, fmt.Errorf("name: missing")
	}
	for _, a := range []struct{ field, value string }{{"listen", c.Listen}, {"discovery", c.Discovery},
		{"rollouts.address", c.Platform}} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return c, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if !(c.Cores > 0) || c.Memory < 16<<20 || c.Sockets < 64 {
		return c, fmt.Errorf("limits: %v cores, memory_mb %d (16 at least), %d sockets (64 at least)", c.Cores,
			f.Limits.MemoryMB, c.Sockets)
	}
	if c.Settings, err = settings.Read(f.Settings); err != nil {
		return c, err
	}
	if s := c.Settings; s.ConnectTimeout < 1 || s.IdleTimeout < 1 {
		return c, fmt.Errorf("settings: limits: connectTimeoutNs %d, connIdleNs %d", s.ConnectTimeout, s.IdleTimeout)
	}
	if c.Settings.Gossip {
		if c.PeerListen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
			return c, fmt.Errorf("peer_listen: %w", err)
		}
		for i, text := range f.Peers {
			p, err := netip.ParseAddrPort(text)
			if err != nil {
				return c, fmt.Errorf("peers[%d]: %w", i, err)
			}
			c.Peers = append(c.Peers, p)
		}
		if len(c.Peers) != c.Settings.Routers {
			return c, fmt.Errorf("peers: %d for %d routers", len(c.Peers), c.Settings.Routers)
		}
	}
	if c.KnownHosts, err = discovery.Decode(f.Known, c.Settings); err != nil {
		return c, fmt.Errorf("known: %w", err)
	}
	if c.Rollout, err = platform.DecodeRollout(f.Rollouts.News); err != nil {
		return c, fmt.Errorf("rollouts.news: %w", err)
	}
	return c, nil
}
