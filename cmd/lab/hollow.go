package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"portflow/internal/lab/hollow"
)

// childCommand is the command that makes this program a process of a run.
const childCommand = "hollow-child"

// hollowCommands returns the commands of package hollow. The first had the name harbour before.
func hollowCommands() []*cobra.Command {
	deprecated := runHollow("harbour")
	deprecated.Deprecated = "use lab hollow"
	return []*cobra.Command{runHollow("hollow"), deprecated, runChild(), plotSlopes()}
}

// runHollow returns the command that runs a plan.
func runHollow(name string) *cobra.Command {
	p := hollow.TargetPlan()
	var asJSON bool
	c := &cobra.Command{
		Use:   name,
		Short: "real control processes before hollow routers and hosts, on loopback",
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
	f.IntVar(&p.Routers, "routers", p.Routers, "hollow routers")
	f.IntVar(&p.Hosts, "hosts", p.Hosts, "hollow hosts")
	f.IntVar(&p.Voters, "core", p.Voters, "control processes")
	f.IntVar(&p.Zones, "zones", p.Zones, "zones, three to a region")
	f.IntVar(&p.Services, "services", p.Services, "services")
	f.IntVar(&p.Routes, "routes", p.Routes, "routes")
	f.IntVar(&p.Quotas, "shares", p.Quotas, "callers' quotas")
	f.IntVar(&p.RealRouters, "real", p.RealRouters, "routers that are processes, beside the hollow ones")
	f.BoolVar(&p.FreshConnections, "fresh", p.FreshConnections, "hosts open a connection for each heartbeat")
	f.DurationVar(&p.IdleTime, "calm", p.IdleTime, "how long to count while nothing changes")
	f.IntVar(&p.Changes, "changes", p.Changes, "changes of a route, one after another")
	f.IntVar(&p.Drains, "drains", p.Drains, "hosts that drain")
	f.IntVar(&p.Burst, "burst", p.Burst, "changes as fast as they are accepted")
	f.BoolVar(&p.KillControl, "kill", p.KillControl, "kill a control process, and start it again")
	f.BoolVar(&p.RestartRouters, "restart", p.RestartRouters, "restart half of the routers")
	f.DurationVar(&p.PartitionTime, "cut", p.PartitionTime, "how long to partition the last region, 0 for not")
	f.StringVar(&p.Profile, "profile", "", "a folder for processor profiles of all processes")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of all random draws")
	f.BoolVar(&asJSON, "json", false, "print the result as one JSON object in the last line")
	return c
}

// runChild returns the command of a process that a run starts.
func runChild() *cobra.Command {
	return &cobra.Command{
		Use:    childCommand,
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE:   func(*cobra.Command, []string) error { return hollow.RunChild(os.Stdin, os.Stdout) },
	}
}

// plotSlopes returns the command that compares results of several sizes.
func plotSlopes() *cobra.Command {
	return &cobra.Command{
		Use:   "slopes DIR FILE...",
		Short: "plots and slopes of results of hollow --json, in the order of their routers",
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
