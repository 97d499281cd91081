// Command lab runs experiments with portflow's designs, in virtual time or on loopback. Each command's experiment is a package below
// internal/lab; this program parses flags and prints results.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"portflow/internal/lab"
)

func main() {
	root := &cobra.Command{Use: "lab", Short: "lab runs experiments with portflow's designs", SilenceUsage: true}
	root.AddCommand(hollowCommands()...)
	root.AddCommand(stormCommand(), flowCommand(), quotaCommand(), trialCommand(), scenarioCommands())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func stormCommand() *cobra.Command {
	s := lab.DefaultStorm()
	var sockets, off, asJSON bool
	var out string
	c := &cobra.Command{Use: "storm", Short: "hosts fail and return, and clients retry", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if off {
				s.Policy = "off"
			}
			play := lab.Emulate
			if sockets {
				play = lab.RunSockets
			}
			r, err := play(s)
			if err != nil {
				return err
			}
			if out != "" {
				if err := lab.WriteReport(out, s, r); err != nil {
					return err
				}
			}
			if r.Lost > 0 || r.Duplicates > 0 {
				err = errors.New("a rule broke")
			}
			if !asJSON {
				fmt.Printf("peak %.2f of %.2f, back after %.1f s, goodput %.3f, %.2f attempts a command, %d lost, %d twice, noticed after %.0f ms\n",
					r.PeakLoad, r.LoadLimit, r.RecoverySeconds, r.Goodput, r.AttemptsPerCommand, r.Lost, r.Duplicates, r.DetectionMillis)
				return err
			}
			return errors.Join(err, json.NewEncoder(os.Stdout).Encode(r))
		}}
	f := c.Flags()
	f.BoolVar(&sockets, "sockets", false, "play on loopback, in real time")
	f.IntVar(&s.Routers, "routers", s.Routers, "routers")
	f.IntVar(&s.Hosts, "hosts", s.Hosts, "hosts, of three cores each")
	f.IntVar(&s.Clients, "clients", s.Clients, "clients")
	f.DurationVar(&s.Outage, "outage", s.Outage, "how long the outage lasts")
	f.StringVar(&s.Kind, "kind", s.Kind, "what fails: hosts, half (of them), list, carrier (nothing: its keys are requested more), none")
	f.IntVar(&s.Carrier, "carrier", s.Carrier, "the carrier of kind carrier")
	f.StringVar(&s.Policy, "policy", s.Policy, "on, off, or a baseline: fixed, budget, throttle")
	f.BoolVar(&off, "off", false, "the same as --policy off")
	f.Float64Var(&s.HeedFraction, "heed", s.HeedFraction, "fraction of the clients that honour Retry-After")
	f.BoolVar(&s.MarkRetries, "marks", s.MarkRetries, "clients mark retries")
	f.BoolVar(&s.SecondOutage, "again", s.SecondOutage, "a second outage 3 s after the return")
	f.BoolVar(&s.SkewRouters, "busy", s.SkewRouters, "one router has nine tenths of the traffic")
	f.BoolVar(&s.Trial, "trial", s.Trial, "a build is on trial meanwhile")
	f.Float64Var(&s.Load, "load", s.Load, "traffic before the outage, as a fraction of the hosts' capacity")
	f.DurationVar(&s.Warmup, "calm", s.Warmup, "traffic before the outage")
	f.DurationVar(&s.Cooldown, "after", s.Cooldown, "how long to go on after the return")
	f.Float64Var(&s.Tuning.Ceiling, "ceiling", s.Tuning.Ceiling, "the guard's load limit")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "seed of all random draws")
	f.BoolVar(&asJSON, "json", false, "print the result as one JSON object in the last line")
	f.StringVar(&out, "out", "", "a folder for plots and a report")
	return c
}

func quotaCommand() *cobra.Command {
	p := lab.QuotaExperiment{
		Routers: 13, Zones: 6, Method: "dealt", Fault: "cut", QuotaPerSecond: 40, LoadFactor: 10, SmallCallers: 50, Seed: 1,
	}
	var duration time.Duration
	var asJSON bool
	c := &cobra.Command{Use: "shares", Short: "a caller at many times its quota, over many routers, in virtual time", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p.Duration = int64(duration)
			r, err := lab.RunQuotaExperiment(p)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(r)
			}
			r.Render(os.Stdout, p.QuotaPerSecond, 24)
			fmt.Printf("over the quota by %.2f of it within a second and %.2f within ten (beyond its burst); granted %.2f of it; others %.2f of theirs; "+
				"routers disagreed by %.2f on what remains; %.0f bytes a second a router\n",
				max(0, r.Overshoot1s), max(0, r.Overshoot10s), r.Granted, r.OthersGranted, r.MaxDisagreement, r.RouterBytesPerSecond)
			return nil
		}}
	f := c.Flags()
	f.IntVar(&p.Routers, "routers", p.Routers, "routers")
	f.IntVar(&p.Zones, "zones", p.Zones, "zones, each with a control process")
	f.StringVar(&p.Method, "way", p.Method, "dealt (what the processes do), or a baseline: count, usage, sketch")
	f.StringVar(&p.Fault, "trouble", p.Fault, "none, one (router gets all), moves (to another), cut (a zone is partitioned), killed (a third of the routers), joined")
	f.Float64Var(&p.QuotaPerSecond, "per-s", p.QuotaPerSecond, "the caller's quota, requests a second")
	f.Float64Var(&p.LoadFactor, "times", p.LoadFactor, "its requests, as a multiple of its quota")
	f.IntVar(&p.SmallCallers, "others", p.SmallCallers, "small callers within their quotas")
	f.DurationVar(&duration, "lasts", 30*time.Second, "how long")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of all random draws")
	f.BoolVar(&asJSON, "json", false, "print the result as one JSON object in the last line")
	return c
}

func flowCommand() *cobra.Command {
	var f lab.FlowExperiment
	var asJSON bool
	c := &cobra.Command{Use: "flows", Short: "short connections while a collector is away, on loopback", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := lab.RunFlowExperiment(f)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(os.Stdout).Encode(r)
			}
			fmt.Printf("%+v\n", r)
			return nil
		}}
	c.Flags().IntVar(&f.Connections, "conns", 10000, "short connections")
	c.Flags().DurationVar(&f.CollectorDowntime, "down", 5*time.Second, "how long the collector is away at least")
	c.Flags().StringVar(&f.Collector, "collector", "tcp", "udp, tcp or netflow9")
	c.Flags().IntVar(&f.BacklogBytes, "memory", 1<<20, "bytes of the backlog")
	c.Flags().Uint64Var(&f.Seed, "seed", 1, "seed of all random draws")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as one JSON object in the last line")
	return c
}
