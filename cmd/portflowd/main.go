// Command portflowd runs the cluster's processes: "portflowd proxy" carries traffic from clients to hosts, "portflowd control" is
// the control process, which keeps the configuration and knows hosts and proxies, and "portflowd check" reads the settings alone. The
// environment variable PORTFLOW_BOOT names the settings file; docs/operate/cluster.md has its fields.
//
// The command only reads the settings, opens the disk and waits for its end: SIGTERM or an interrupt has the process leave and end,
// SIGHUP has it check the settings file. All else is in packages internal/proxy and internal/control/server.
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

	// heapNumerator and heapDenominator are the part of the machine's memory that the heap may take, as two processes may share it.
	heapNumerator, heapDenominator = 3, 5
)

var (
	errNoSettingsFile  = errors.New(settingsVariable + ": names no settings file")
	errNoDataDirectory = errors.New("self-description.data-directory: missing: a control process needs a disk")
)

func main() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else: until then a SIGHUP would end the process
	go logHangups(hangups)
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		klog.ErrorS(err, "portflowd")
		klog.Flush()
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	perZone := &cli.IntFlag{Name: perZoneFlag, Value: 1, Usage: "control processes in each zone, as the deploy file has it"}
	return &cli.Command{
		Name:  "portflowd",
		Usage: "the processes of a portflow cluster; PORTFLOW_BOOT names the settings file",
		Commands: []*cli.Command{
			{Name: "proxy", Usage: "carry traffic from clients to hosts", Action: runProxy},
			{Name: "control", Usage: "control: hosts, routers, configuration, operations and the directory", Action: runControl, Flags: []cli.Flag{perZone}},
			{Name: "check", Usage: "say whether the settings file can be read", Action: runCheck},
		},
	}
}

// logHangups checks the settings file after each SIGHUP, which says that it has changed, and logs whether it can still be read. A
// running process takes nothing from it: what may change comes from control. Its goroutine runs until the process exits.
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

// environment is what a process gets from its machine.
type environment struct {
	settings settings.Settings
	network  network.Host
	seed     uint64 // drawn anew at each start
}

// prepare reads the settings and bounds the heap by them, before any port is opened.
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

// readSettings reads the settings file that the environment variable names.
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
		return 0, fmt.Errorf("seed: %w", err)
	}
	return binary.BigEndian.Uint64(raw[:]), nil
}

// runUntilSignal starts a process and, once a SIGTERM or an interrupt has come, has it leave and ends its context.
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
