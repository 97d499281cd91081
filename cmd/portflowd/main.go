// Command portflowd runs the cluster's processes: "portflowd proxy" carries traffic from clients to hosts, "portflowd control" is
// the control process, which keeps the configuration and knows hosts and proxies. The environment variable PORTFLOW_BOOT names the
// settings file; docs/operate/cluster.md has its fields.
package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
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

func main() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else: until then a SIGHUP would end the process
	go noteHangups(hangups)
	app := &cli.Command{Name: "portflowd", Usage: "the processes of a portflow cluster; PORTFLOW_BOOT names the settings file",
		Commands: []*cli.Command{
			{Name: "proxy", Usage: "carry traffic from clients to hosts", Action: runProxy},
			{Name: "control", Usage: "control: hosts, routers, configuration, operations and the directory", Action: runControl,
				Flags: []cli.Flag{&cli.IntFlag{Name: "per-zone", Value: 1, Usage: "control processes in each zone, as the deploy file has it"}}},
			{Name: "check", Usage: "say whether the settings file can be read", Action: func(context.Context, *cli.Command) error {
				b, err := readSettings()
				if err == nil {
					fmt.Printf("%s: %s in %s, %s\n", b.Name, b.Role, b.Zone, b.Region)
				}
				return err
			}},
		}}
	if err := app.Run(context.Background(), os.Args); err != nil {
		klog.ErrorS(err, "portflowd")
		klog.Flush()
		os.Exit(1)
	}
}

// readSettings reads the settings file that the environment names.
func readSettings() (settings.Settings, error) {
	path := os.Getenv("PORTFLOW_BOOT")
	if path == "" {
		return settings.Settings{}, fmt.Errorf("PORTFLOW_BOOT: names no settings file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, fmt.Errorf("PORTFLOW_BOOT: %w", err)
	}
	b, err := settings.Parse(string(raw))
	if err != nil {
		return settings.Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// startup reads the settings before any port is opened.
func startup() (settings.Settings, network.Host, uint64, error) {
	b, err := readSettings()
	if err != nil {
		return b, network.Host{}, 0, err
	}
	debug.SetMemoryLimit(int64(b.MemoryMB) << 20 * 3 / 5) // two processes may share the machine
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return b, network.Host{}, 0, err
	}
	return b, network.Host{UserTimeout: 1500 * time.Millisecond}, binary.BigEndian.Uint64(raw[:]), nil
}

// noteHangups hears that the settings file has changed: what a process goes by while it runs comes from control, so it only notes
// whether the file can still be read.
func noteHangups(hangups <-chan os.Signal) {
	for range hangups {
		_, err := readSettings()
		klog.InfoS("settings file changed", "err", err)
	}
}

// untilSignal is the context that a SIGTERM ends.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// runUntilSignal starts a process, and has it leave once a SIGTERM has come.
func runUntilSignal(start func(context.Context) (leave func(), err error)) error {
	term, stop := untilSignal()
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leave, err := start(ctx)
	if err != nil {
		return err
	}
	<-term.Done()
	leave()
	return nil
}

func runProxy(context.Context, *cli.Command) error {
	b, water, seed, err := startup()
	if err != nil {
		return err
	}
	return runUntilSignal(func(ctx context.Context) (func(), error) {
		f, err := proxy.Start(ctx, proxy.Options{Settings: b, Network: water, Seed: seed})
		if err != nil {
			return nil, err
		}
		return f.Drain, nil
	})
}

func runControl(_ context.Context, c *cli.Command) error {
	b, water, seed, err := startup()
	if err != nil {
		return err
	}
	if b.DataDirectory == "" {
		return fmt.Errorf("self-description.data-directory: missing: a control process needs a disk")
	}
	disk, err := store.OpenDir(b.DataDirectory)
	if err != nil {
		return err
	}
	return runUntilSignal(func(ctx context.Context) (func(), error) {
		m, err := server.Start(ctx, server.Options{Settings: b, MinPerZone: c.Int("per-zone"), Network: water, Storage: disk, Seed: seed})
		if err != nil {
			return nil, err
		}
		return m.Leave, nil
	})
}
