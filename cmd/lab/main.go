// Command lab runs portflow's experiments, in virtual time or on loopback. The experiments are implemented in internal/lab and the
// packages below it; this program parses flags and prints results.
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
	root := &cobra.Command{Use: "lab", Short: "run portflow's experiments", SilenceUsage: true}
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
	c := &cobra.Command{Use: "storm", Short: "emulate an outage of hosts while clients retry", Args: cobra.NoArgs,
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
				err = errors.New("commands were lost or run more than once")
			}
			if !asJSON {
				fmt.Printf("peak load %.2f of limit %.2f, recovered after %.1f s, goodput %.3f, %.2f attempts per command, %d lost, %d duplicates, detected after %.0f ms\n",
					r.PeakLoad, r.LoadLimit, r.RecoverySeconds, r.Goodput, r.AttemptsPerCommand, r.Lost, r.Duplicates, r.DetectionMillis)
				return err
			}
			return errors.Join(err, json.NewEncoder(os.Stdout).Encode(r))
		}}
	f := c.Flags()
	f.BoolVar(&sockets, "sockets", false, "run on loopback in real time instead of virtual time")
	f.IntVar(&s.Routers, "routers", s.Routers, "routers")
	f.IntVar(&s.Hosts, "hosts", s.Hosts, "number of hosts, with three cores each")
	f.IntVar(&s.Clients, "clients", s.Clients, "clients")
	f.DurationVar(&s.Outage, "outage", s.Outage, "duration of the outage")
	f.StringVar(&s.Kind, "kind", s.Kind, "what fails: hosts, half (of the hosts), list, carrier (no outage; its keys are requested more often), none")
	f.IntVar(&s.Carrier, "carrier", s.Carrier, "number of the carrier, for --kind carrier")
	f.StringVar(&s.Policy, "policy", s.Policy, "retry policy: on, off, or a baseline: fixed, budget, throttle")
	f.BoolVar(&off, "off", false, "same as --policy off")
	f.Float64Var(&s.HeedFraction, "heed", s.HeedFraction, "fraction of the clients that honour Retry-After")
	f.BoolVar(&s.MarkRetries, "marks", s.MarkRetries, "clients mark their retries")
	f.BoolVar(&s.SecondOutage, "again", s.SecondOutage, "add a second outage 3 s after the end of the first")
	f.BoolVar(&s.SkewRouters, "busy", s.SkewRouters, "send nine tenths of the traffic to one router")
	f.BoolVar(&s.Trial, "trial", s.Trial, "evaluate a new build on every fifth host meanwhile")
	f.Float64Var(&s.Load, "load", s.Load, "load before the outage, as a fraction of the hosts' capacity")
	f.DurationVar(&s.Warmup, "calm", s.Warmup, "duration of the traffic before the outage")
	f.DurationVar(&s.Cooldown, "after", s.Cooldown, "how long to continue after the outage")
	f.Float64Var(&s.Tuning.Ceiling, "ceiling", s.Tuning.Ceiling, "load limit of the retry guard")
	f.Uint64Var(&s.Seed, "seed", s.Seed, "random seed")
	f.BoolVar(&asJSON, "json", false, "print the result as a JSON object on the last line")
	f.StringVar(&out, "out", "", "directory for plots and a report")
	return c
}

func quotaCommand() *cobra.Command {
	p := lab.QuotaExperiment{
		Routers: 13, Zones: 6, Method: "dealt", Fault: "cut", QuotaPerSecond: 40, LoadFactor: 10, SmallCallers: 50, Seed: 1,
	}
	var duration time.Duration
	var asJSON bool
	c := &cobra.Command{Use: "shares", Short: "emulate a caller that exceeds its quota across many routers, in virtual time", Args: cobra.NoArgs,
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
			fmt.Printf("overshoot as a fraction of the quota %.2f over 1 s and %.2f over 10 s (beyond the burst); granted %.2f of the quota; others %.2f of their requests; "+
				"routers disagreed by up to %.2f on the remaining quota; %.0f bytes/s per router\n",
				max(0, r.Overshoot1s), max(0, r.Overshoot10s), r.Granted, r.OthersGranted, r.MaxDisagreement, r.RouterBytesPerSecond)
			return nil
		}}
	f := c.Flags()
	f.IntVar(&p.Routers, "routers", p.Routers, "routers")
	f.IntVar(&p.Zones, "zones", p.Zones, "number of zones, with one control process each")
	f.StringVar(&p.Method, "way", p.Method, "method: dealt (allocation by control processes, as implemented), or a baseline: count, usage, sketch")
	f.StringVar(&p.Fault, "trouble", p.Fault, "fault: none, one (all traffic at one router), moves (all traffic at one router, then at another), cut (a zone is partitioned), killed (a third of the routers), joined (a third of the routers starts late)")
	f.Float64Var(&p.QuotaPerSecond, "per-s", p.QuotaPerSecond, "quota of the caller in requests per second")
	f.Float64Var(&p.LoadFactor, "times", p.LoadFactor, "request rate of the caller, as a multiple of its quota")
	f.IntVar(&p.SmallCallers, "others", p.SmallCallers, "number of small callers that stay within their quotas")
	f.DurationVar(&duration, "lasts", 30*time.Second, "duration of the experiment")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "random seed")
	f.BoolVar(&asJSON, "json", false, "print the result as a JSON object on the last line")
	return c
}

func flowCommand() *cobra.Command {
	var f lab.FlowExperiment
	var asJSON bool
	c := &cobra.Command{Use: "flows", Short: "open short connections while a flow collector is unreachable, on loopback", Args: cobra.NoArgs,
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
	c.Flags().IntVar(&f.Connections, "conns", 10000, "number of short connections")
	c.Flags().DurationVar(&f.CollectorDowntime, "down", 5*time.Second, "minimum time for which the collector is unreachable")
	c.Flags().StringVar(&f.Collector, "collector", "tcp", "kind of collector: udp, tcp or netflow9")
	c.Flags().IntVar(&f.BacklogBytes, "memory", 1<<20, "capacity of the backlog in bytes")
	c.Flags().Uint64Var(&f.Seed, "seed", 1, "random seed")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as a JSON object on the last line")
	return c
}
