// Command harbour runs the system's processes: fairway carries traffic, harbourmaster is the control process.
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

	"portflow/internal/harbour/fairway"
	"portflow/internal/harbour/harbourmaster"
	"portflow/internal/harbour/logbook"
	"portflow/internal/harbour/papers"
	"portflow/internal/harbour/sea"
)

func main() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else: until then a SIGHUP would end the process
	go noteHangups(hangups)
	app := &cli.Command{Name: "harbour", Usage: "the processes of a portflow harbour; PORTFLOW_BOOT names the settings file",
		Commands: []*cli.Command{
			{Name: "fairway", Usage: "carry traffic from clients to hosts", Action: carry},
			{Name: "harbourmaster", Usage: "control: hosts, routers, configuration, orders and the directory", Action: control,
				Flags: []cli.Flag{&cli.IntFlag{Name: "per-zone", Value: 1, Usage: "control processes in each zone, as the deploy file has it"}}},
			{Name: "check", Usage: "say whether the settings file can be read", Action: func(context.Context, *cli.Command) error {
				b, err := load()
				if err == nil {
					fmt.Printf("%s: %s in %s, %s\n", b.Name, b.Role, b.Zone, b.Region)
				}
				return err
			}},
		}}
	if err := app.Run(context.Background(), os.Args); err != nil {
		klog.ErrorS(err, "harbour")
		klog.Flush()
		os.Exit(1)
	}
}

// load reads the settings file that the environment names.
func load() (papers.Boot, error) {
	path := os.Getenv("PORTFLOW_BOOT")
	if path == "" {
		return papers.Boot{}, fmt.Errorf("PORTFLOW_BOOT: names no settings file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return papers.Boot{}, fmt.Errorf("PORTFLOW_BOOT: %w", err)
	}
	b, err := papers.ReadBoot(string(raw))
	if err != nil {
		return papers.Boot{}, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// boot reads the settings before any port is opened.
func boot() (papers.Boot, sea.Real, uint64, error) {
	b, err := load()
	if err != nil {
		return b, sea.Real{}, 0, err
	}
	debug.SetMemoryLimit(int64(b.MemoryMB) << 20 * 3 / 5) // two processes may share the machine
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return b, sea.Real{}, 0, err
	}
	return b, sea.Real{Silent: 1500 * time.Millisecond}, binary.BigEndian.Uint64(raw[:]), nil
}

// noteHangups hears that the settings file has changed: what a process goes by while it runs comes from control, so it only notes
// whether the file can still be read.
func noteHangups(hangups <-chan os.Signal) {
	for range hangups {
		_, err := load()
		klog.InfoS("settings file changed", "err", err)
	}
}

// ending is the context that a SIGTERM ends.
func ending() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// serve starts a process, and has it leave once a SIGTERM has come.
func serve(start func(context.Context) (leave func(), err error)) error {
	term, stop := ending()
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

func carry(context.Context, *cli.Command) error {
	b, water, seed, err := boot()
	if err != nil {
		return err
	}
	return serve(func(ctx context.Context) (func(), error) {
		f, err := fairway.Start(ctx, fairway.Options{Boot: b, Sea: water, Seed: seed})
		if err != nil {
			return nil, err
		}
		return f.Leave, nil
	})
}

func control(_ context.Context, c *cli.Command) error {
	b, water, seed, err := boot()
	if err != nil {
		return err
	}
	if b.Data == "" {
		return fmt.Errorf("self-description.data-directory: missing: a control process needs a disk")
	}
	disk, err := logbook.Folder(b.Data)
	if err != nil {
		return err
	}
	return serve(func(ctx context.Context) (func(), error) {
		m, err := harbourmaster.Start(ctx, harbourmaster.Options{Boot: b, PerZone: c.Int("per-zone"), Sea: water, Disk: disk, Seed: seed})
		if err != nil {
			return nil, err
		}
		return m.Leave, nil
	})
}
