// Command portflowd runs a process of a portflow cluster. "portflowd proxy" forwards client requests to hosts. "portflowd control" runs a
// control process, which replicates the configuration and keeps track of hosts and proxies. "portflowd check" validates the settings file
// and exits. The environment variable PORTFLOW_BOOT names the settings file; docs/operate/cluster.md documents its fields.
//
// SIGTERM or an interrupt shuts the process down gracefully. SIGHUP makes it validate the settings file again and log the result. The
// command itself reads the settings, opens the data directory and waits for a signal; packages internal/proxy and internal/control/server
// do the rest.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"portflow/internal/cluster/network"
	"portflow/internal/cluster/settings"
	"portflow/internal/control/server"
	"portflow/internal/control/store"
	"portflow/internal/proxy"
)

const (
	settingsVariable = "PORTFLOW_BOOT" // names the settings file
	perZoneFlag      = "per-zone"

	// tcpUserTimeout is how long sent data may stay unacknowledged before a connection is closed.
	tcpUserTimeout = 1500 * time.Millisecond

	// heapNumerator / heapDenominator is the fraction of the configured memory that the heap may use, since a machine may run two processes.
	heapNumerator, heapDenominator = 3, 5
)

var (
	errNoSettingsFile  = errors.New(settingsVariable + ": not set; must name the settings file")
	errNoDataDirectory = errors.New("self-description.data-directory: missing; a control process requires a data directory")
)

func main() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // must come first: until then a SIGHUP terminates the process
	go logHangups(hangups)
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		klog.ErrorS(err, "portflowd")
		klog.Flush()
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	perZone := &cli.IntFlag{Name: perZoneFlag, Value: 1, Usage: "minimum number of voting members that a zone keeps when disconnected members are removed; set it to the number of control processes per zone"}
	return &cli.Command{
		Name:  "portflowd",
		Usage: "run a process of a portflow cluster; the environment variable PORTFLOW_BOOT names the settings file",
		Commands: []*cli.Command{
			{Name: "proxy", Usage: "run a proxy, which forwards client requests to hosts", Action: runProxy},
			{Name: "control", Usage: "run a control process, which replicates the configuration and manages hosts, proxies, rollouts and the directory", Action: runControl, Flags: []cli.Flag{perZone}},
			{Name: "check", Usage: "validate the settings file", Action: runCheck},
		},
	}
}

// logHangups validates the settings file after each SIGHUP and logs the result. A running process doesn't apply changed settings: whatever
// may change at run time comes from control. logHangups runs until the process exits.
func logHangups(hangups <-chan os.Signal) {
	for range hangups {
		_, err := readSettings()
		klog.InfoS("settings file changed", "err", err)
	}
}

func runCheck(context.Context, *cli.Command) error {
	cfg, err := readSettings()
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s in %s, %s\n", cfg.Name, cfg.Role, cfg.Zone, cfg.Region)
	return nil
}

func runProxy(context.Context, *cli.Command) error {
	env, err := prepare()
	if err != nil {
		return err
	}
	return runUntilSignal(func(ctx context.Context) (func(), error) {
		p, err := proxy.Start(ctx, proxy.Options{Settings: env.settings, Network: env.network, Seed: env.seed})
		if err != nil {
			return nil, err
		}
		return p.Drain, nil
	})
}

func runControl(_ context.Context, command *cli.Command) error {
	env, err := prepare()
	if err != nil {
		return err
	}
	if env.settings.DataDirectory == "" {
		return errNoDataDirectory
	}
	disk, err := store.OpenDir(env.settings.DataDirectory)
	if err != nil {
		return err
	}
	return runUntilSignal(func(ctx context.Context) (func(), error) {
		s, err := server.Start(ctx, server.Options{
			Settings:   env.settings,
			MinPerZone: command.Int(perZoneFlag),
			Network:    env.network,
			Storage:    disk,
			Seed:       env.seed,
		})
		if err != nil {
			return nil, err
		}
		return s.Leave, nil
	})
}

// environment is what a process needs from its machine.
type environment struct {
	settings settings.Settings
	network  network.Host
	seed     uint64 // random at each start
}

// prepare reads the settings and limits the heap accordingly. It must be called before any port is opened.
func prepare() (environment, error) {
	cfg, err := readSettings()
	if err != nil {
		return environment{}, err
	}
	memoryBytes := int64(cfg.MemoryMB) << 20
	debug.SetMemoryLimit(memoryBytes * heapNumerator / heapDenominator)
	seed, err := newSeed()
	if err != nil {
		return environment{}, err
	}
	return environment{settings: cfg, network: network.Host{UserTimeout: tcpUserTimeout}, seed: seed}, nil
}

// readSettings reads and validates the settings file.
func readSettings() (settings.Settings, error) {
	path := os.Getenv(settingsVariable)
	if path == "" {
		return settings.Settings{}, errNoSettingsFile
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, fmt.Errorf("%s: %w", settingsVariable, err)
	}
	cfg, err := settings.Parse(string(raw))
	if err != nil {
		return settings.Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

func newSeed() (uint64, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return 0, fmt.Errorf("read random seed: %w", err)
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// runUntilSignal calls start, waits for a SIGTERM or an interrupt, and then calls leave, before it cancels the context passed to start.
func runUntilSignal(start func(context.Context) (leave func(), err error)) error {
	signalled, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leave, err := start(ctx)
	if err != nil {
		return err
	}
	<-signalled.Done()
	leave()
	return nil
}
