package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"portflow/internal/lab/trial"
)

// trialCommand returns the command that tests the deployed programs on loopback under load, configuration changes and signals. It fails
// if there are violations.
func trialCommand() *cobra.Command {
	o := trial.Defaults()
	seconds := int(o.Lasts / time.Second)
	var asJSON bool
	soaking := soakOptions{parallel: 1, crowd: 60}
	c := &cobra.Command{Use: "trial", Short: "test the deployed programs on loopback under load, configuration changes and signals", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if soaking.seeds > 0 {
				return soak(c.Context(), o, soaking, asJSON)
			}
			o.Lasts = time.Duration(seconds) * time.Second
			began := time.Now()
			o.Progress = func(text string) { fmt.Fprintf(os.Stderr, "%5.1f s  %s\n", time.Since(began).Seconds(), text) }
			r, err := trial.Run(c.Context(), o)
			if err != nil {
				return err
			}
			if asJSON {
				if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
					return err
				}
			} else {
				r.Write(os.Stdout)
			}
			if r.Violated > 0 {
				return fmt.Errorf("%d violations", r.Violated)
			}
			return nil
		}}
	f := c.Flags()
	f.StringVar(&o.Program, "program", o.Program, "path of the program under test")
	f.IntVar(&seconds, "seconds", seconds, "how long clients send requests, in seconds, not counting the restarts at the end")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "random seed")
	f.IntVar(&o.Clients, "clients", o.Clients, "clients")
	f.IntVar(&o.Kills, "kills", o.Kills, "number of signals (SIGHUP, SIGTERM, SIGKILL) to send to processes")
	f.IntVar(&o.Series, "series", o.Series, "number of signal series, which overlap and concern several processes")
	f.IntVar(&o.Drops, "drops", o.Drops, "number of names to add and drop before the load")
	f.IntVar(&o.ProxiesPerZone, "proxies", o.ProxiesPerZone, "proxies in each of the three zones")
	f.IntVar(&o.Block, "block", o.Block, "block of loopback addresses; trials that run at the same time need different ones")
	f.StringVar(&o.Former, "former", "", "path of the program of another release; each process runs either of the two, one after the other")
	f.IntVar(&soaking.seeds, "seeds", 0, "run a soak: this many trials with consecutive seeds, which draw all options but the paths")
	f.IntVar(&soaking.parallel, "parallel", soaking.parallel, "trials of a soak that run at the same time")
	f.IntVar(&soaking.crowd, "crowd", soaking.crowd, "proxies per zone in the crowded trials of a soak")
	f.IntVar(&soaking.crowdEvery, "crowd-every", 0, "one in this many trials of a soak is crowded (0: none)")
	f.IntVar(&o.Restarts, "restarts", o.Restarts, "number of times to kill all control processes at once at the end")
	f.IntVar(&o.Procs, "procs", o.Procs, "GOMAXPROCS of the processes (0: all CPUs)")
	f.IntVar(&o.Requests, "requests", o.Requests, "maximum number of requests to send")
	f.StringVar(&o.Dir, "dir", "", "directory for logs and data (default: a temporary directory)")
	f.BoolVar(&o.Keep, "keep", false, "keep the data directories of the control processes")
	f.BoolVar(&asJSON, "json", false, "print the result as a JSON object")
	return c
}
