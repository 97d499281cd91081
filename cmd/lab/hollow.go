package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"portflow/internal/lab/hollow"
)

// childCommand is the word that makes this program a process of a play.
const childCommand = "hollow-child"

func hollowCommand() []*cobra.Command {
	p := hollow.TargetPlan()
	var asJSON bool
	c := &cobra.Command{Use: "harbour", Short: "real control processes before hollow routers and hosts, on loopback", Args: cobra.NoArgs,
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
		}}
	f := c.Flags()
	f.IntVar(&p.Routers, "routers", p.Routers, "hollow routers")
	f.IntVar(&p.Hosts, "hosts", p.Hosts, "hollow hosts")
	f.IntVar(&p.Voters, "core", p.Voters, "control processes")
	f.IntVar(&p.Zones, "zones", p.Zones, "zones, three to a region")
	f.IntVar(&p.Services, "services", p.Services, "services")
	f.IntVar(&p.Routes, "routes", p.Routes, "routes")
	f.IntVar(&p.Quotas, "shares", p.Quotas, "callers' shares")
	f.IntVar(&p.RealRouters, "real", p.RealRouters, "routers that are processes, beside the hollow ones")
	f.BoolVar(&p.FreshConnections, "fresh", p.FreshConnections, "hosts open a connection for each beat")
	f.DurationVar(&p.IdleTime, "calm", p.IdleTime, "how long to count with nothing going on")
	f.IntVar(&p.Changes, "changes", p.Changes, "changes of a route, one after another")
	f.IntVar(&p.Drains, "drains", p.Drains, "hosts that drain")
	f.IntVar(&p.Burst, "burst", p.Burst, "changes as fast as they are taken")
	f.BoolVar(&p.KillControl, "kill", p.KillControl, "kill a control process, and start it again")
	f.BoolVar(&p.RestartRouters, "restart", p.RestartRouters, "restart half of the routers")
	f.DurationVar(&p.PartitionTime, "cut", p.PartitionTime, "cut the last region off for so long, 0 for not")
	f.StringVar(&p.Profile, "profile", "", "a folder for processor profiles of all processes")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of all chance")
	f.BoolVar(&asJSON, "json", false, "print the result as one JSON object in the last line")
	one := &cobra.Command{Use: childCommand, Hidden: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return hollow.RunChild(os.Stdin, os.Stdout) }}
	slopes := &cobra.Command{Use: "slopes DIR FILE...", Short: "plots and slopes of plays of harbour --json, in the order of their routers", Args: cobra.MinimumNArgs(3),
		RunE: func(_ *cobra.Command, args []string) error {
			var all []hollow.Result
			for _, name := range args[1:] {
				raw, err := os.ReadFile(name)
				if err != nil {
					return err
				}
				var r hollow.Result
				if err := json.Unmarshal(raw, &r); err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				all = append(all, r)
			}
			for _, f := range hollow.Metrics {
				fmt.Printf("%-52s", f.Name)
				for _, r := range all {
					fmt.Printf(" %10.3f", f.Value(r))
				}
				fmt.Printf("  power %.2f\n", hollow.GrowthExponent(all, f))
			}
			return hollow.WritePlot(args[0], all)
		}}
	return []*cobra.Command{c, one, slopes}
}
