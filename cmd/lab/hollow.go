package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"portflow/internal/lab/hollow"
)

// childCommand is the hidden command with which a run starts this program as one of its processes.
const childCommand = "hollow-child"

// hollowCommands returns the commands of package hollow. The command hollow keeps its former name, harbour, as a deprecated alias.
func hollowCommands() []*cobra.Command {
	deprecated := runHollow("harbour")
	deprecated.Deprecated = "use lab hollow"
	return []*cobra.Command{runHollow("hollow"), deprecated, runChild(), plotSlopes()}
}

// runHollow returns the command that runs a capacity test with emulated routers and hosts.
func runHollow(name string) *cobra.Command {
	p := hollow.TargetPlan()
	var asJSON bool
	c := &cobra.Command{
		Use:   name,
		Short: "run real control processes against emulated (hollow) routers and hosts on loopback",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			start := time.Now()
			p.Progress = func(text string) { fmt.Fprintf(os.Stderr, "%5.1f s  %s\n", time.Since(start).Seconds(), text) }
			r, err := hollow.Run(c.Context(), p, []string{childCommand})
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(r)
			}
			hollow.FormatTable(os.Stdout, r)
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&p.Routers, "routers", p.Routers, "number of emulated routers")
	f.IntVar(&p.Hosts, "hosts", p.Hosts, "number of emulated hosts")
	f.IntVar(&p.Voters, "core", p.Voters, "number of control processes")
	f.IntVar(&p.Zones, "zones", p.Zones, "number of zones, three per region")
	f.IntVar(&p.Services, "services", p.Services, "services")
	f.IntVar(&p.Routes, "routes", p.Routes, "routes")
	f.IntVar(&p.Quotas, "shares", p.Quotas, "number of caller quotas")
	f.IntVar(&p.RealRouters, "real", p.RealRouters, "number of routers that run as processes, in addition to the emulated ones")
	f.BoolVar(&p.FreshConnections, "fresh", p.FreshConnections, "hosts open a new connection for each heartbeat")
	f.DurationVar(&p.IdleTime, "calm", p.IdleTime, "how long to measure while nothing changes")
	f.IntVar(&p.Changes, "changes", p.Changes, "number of sequential route changes")
	f.IntVar(&p.Drains, "drains", p.Drains, "number of hosts that drain")
	f.IntVar(&p.Burst, "burst", p.Burst, "number of changes to submit as fast as they are accepted")
	f.BoolVar(&p.KillControl, "kill", p.KillControl, "kill and restart a control process")
	f.BoolVar(&p.RestartRouters, "restart", p.RestartRouters, "restart half of the routers")
	f.DurationVar(&p.PartitionTime, "cut", p.PartitionTime, "how long to partition the last region (0: no partition)")
	f.StringVar(&p.Profile, "profile", "", "directory for CPU profiles of all processes")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "random seed")
	f.BoolVar(&asJSON, "json", false, "print the result as a JSON object on the last line")
	return c
}

// runChild returns the hidden command that runs a child process of a run. The parent controls it over stdin and stdout.
func runChild() *cobra.Command {
	return &cobra.Command{
		Use:    childCommand,
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(*cobra.Command, []string) error { return hollow.RunChild(os.Stdin, os.Stdout) },
	}
}

// plotSlopes returns the command that compares results for several numbers of routers.
func plotSlopes() *cobra.Command {
	return &cobra.Command{
		Use:   "slopes DIR FILE...",
		Short: "write plots and print growth exponents for results of hollow --json, given by increasing number of routers",
		Args:  cobra.MinimumNArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			results, err := readHollowResults(args[1:])
			if err != nil {
				return err
			}
			for _, metric := range hollow.Metrics {
				fmt.Printf("%-52s", metric.Name)
				for _, r := range results {
					fmt.Printf(" %10.3f", metric.Value(r))
				}
				fmt.Printf("  power %.2f\n", hollow.GrowthExponent(results, metric))
			}
			return hollow.WritePlot(args[0], results)
		},
	}
}

func readHollowResults(paths []string) (results []hollow.Result, err error) {
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var r hollow.Result
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		results = append(results, r)
	}
	return results, nil
}
