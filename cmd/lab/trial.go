package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"portflow/internal/lab/trial"
)

// trialCommand runs the deployed programs on loopback, under changes and signals.
func trialCommand() *cobra.Command {
	o := trial.Defaults()
	seconds := int(o.Lasts / time.Second)
	var asJSON bool
	c := &cobra.Command{Use: "trial", Short: "the deployed programs on loopback, under load, configuration changes and signals", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
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
	f.StringVar(&o.Program, "program", o.Program, "the program that is started")
	f.IntVar(&seconds, "seconds", seconds, "how long clients ask; the restarts at the end come on top")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of all random draws")
	f.IntVar(&o.Clients, "clients", o.Clients, "clients")
	f.IntVar(&o.Kills, "kills", o.Kills, "signals (SIGHUP, SIGTERM, SIGKILL) that processes are sent")
	f.IntVar(&o.Restarts, "restarts", o.Restarts, "times that all control processes are killed at once at the end")
	f.IntVar(&o.Procs, "procs", o.Procs, "GOMAXPROCS of the processes, 0 for all")
	f.IntVar(&o.Requests, "requests", o.Requests, "the most requests that are sent")
	f.StringVar(&o.Dir, "dir", "", "a folder for logs and data, a temporary one if empty")
	f.BoolVar(&o.Keep, "keep", false, "keep the control processes' data")
	f.BoolVar(&asJSON, "json", false, "print the result as one JSON object")
	return c
}
