// Package config reads the configuration of a router from a JSON file and from environment variables named ROUTER_*.
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

// Config is a valid configuration. Addresses have the form IP:PORT.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       uint64
	Cores      float64
	Memory     int64 // bytes
	Sockets    int   // maximum number of open file descriptors
	PeerListen netip.AddrPort
	Peers      []netip.AddrPort // by rank
	Platform   string
	KnownHosts discovery.Update        // host list to start with
	Rollout    dispatch.RolloutChanged // state of the rollout to start with
	Settings   settings.Settings
}

// Differs returns the names of the fields that have changed in next and that take effect only after a restart. It ignores the
// addresses of discovery and the platform, which a running router can change, and the seed, the known hosts and the rollout, which
// are used only at the start.
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

// Load reads the file named by ROUTER_CONFIG. env looks up an environment variable, like os.Getenv.
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

// Reload reads the file again for a running router. It ignores ROUTER_DISCOVERY, which still has the value from the start of the
// process, so that a new address in the file takes effect.
func Reload(env func(string) string) (Config, error) {
	return Load(func(name string) string {
		if name == "ROUTER_DISCOVERY" {
			return ""
		}
		return env(name)
	})
}

// Read parses and validates a configuration. ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY take precedence over the fields name,
// listen and discovery.
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
		return c, fmt.Errorf("limits: cores %v (must be positive), memory_mb %d (at least 16), sockets %d (at least 64)", c.Cores,
			f.Limits.MemoryMB, c.Sockets)
	}
	if c.Settings, err = settings.Read(f.Settings); err != nil {
		return c, err
	}
	if s := c.Settings; s.ConnectTimeout < 1 || s.IdleTimeout < 1 {
		return c, fmt.Errorf("settings: limits: connectTimeoutNs %d and connIdleNs %d must be positive", s.ConnectTimeout, s.IdleTimeout)
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
			return c, fmt.Errorf("peers: got %d addresses for %d routers", len(c.Peers), c.Settings.Routers)
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
