// Command portflowctl is the command-line client for operators of a portflow cluster.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"portflow/internal/client"
	"portflow/internal/control/server"
)

// Exit codes.
const (
	exitRefused     = 1 // control rejected the call
	exitUsage       = 2 // invalid command line or file, or any other local error
	exitUnreachable = 3 // no control process answered
)

func main() {
	err := newApp(os.Stdout).Run(context.Background(), os.Args)
	var r *client.ResponseError
	switch {
	case err == nil:
	case errors.Is(err, client.ErrNoAnswer):
		exitWith(err, exitUnreachable)
	case errors.As(err, &r):
		exitWith(err, exitRefused)
	default:
		exitWith(err, exitUsage)
	}
}

func exitWith(err error, code int) {
	fmt.Fprintln(os.Stderr, "portflowctl:", err)
	os.Exit(code)
}

// newApp returns the program's commands, which print to out.
func newApp(out io.Writer) *cli.Command {
	return &cli.Command{Name: "portflowctl", Usage: "operate a portflow cluster", EnableShellCompletion: true, Writer: out,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Sources: cli.EnvVars("PORTFLOW_CONTROL"), Value: "127.0.0.1:8146", Usage: "comma-separated addresses of control processes, each host:port"},
			&cli.DurationFlag{Name: "limit", Value: 10 * time.Second, Usage: "timeout of a call, over all control processes that are tried"},
			&cli.BoolFlag{Name: "json", Usage: "print responses as JSON"},
		},
		Commands: []*cli.Command{
			configCommand(out),
			snapshotCommand(out),
			restoreCommand(out),
			quotaCommand(out),
			{Name: "shares", Usage: "show all quotas: limit, use, and demand and allocation by zone", Action: statusAction(out, printQuotas)},
			evacuateCommand(),
			beginRolloutCommand(),
			showRolloutsCommand(out),
			coreCommand(out),
			{Name: "who", Usage: "show control processes, proxies and hosts, and which of them lag behind", Action: statusAction(out, printMembers)},
		}}
}

// readStatus returns the cluster as the first control process that answers sees it.
func readStatus(ctx context.Context, p *client.Client) (s server.ClusterStatus, err error) {
	raw, err := p.Call(ctx, "harbour.read", "", nil)
	if err == nil {
		if err = json.Unmarshal(raw, &s); err != nil {
			err = fmt.Errorf("invalid response from control: %w", err)
		}
	}
	return s, err
}

// statusAction returns an action that prints the cluster as the first control process that answers sees it: rendered, or with --json the
// response as received.
func statusAction(out io.Writer, render func(io.Writer, server.ClusterStatus)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if c.Bool("json") {
			raw, err := newClient(c).Call(ctx, "harbour.read", "", nil)
			if err == nil {
				_, err = fmt.Fprintln(out, string(raw))
			}
			return err
		}
		s, err := readStatus(ctx, newClient(c))
		if err != nil {
			return err
		}
		return printTable(out, s, render)
	}
}

// readRollouts returns the rollouts as the first control process that answers sees them, with the proxy metrics of all that answer: each
// has only those of the proxies that subscribe to it.
func readRollouts(ctx context.Context, p *client.Client) (rollouts []server.RolloutStatus, err error) {
	err = p.CallEach(ctx, "harbour.read", func(raw []byte) error {
		var s server.ClusterStatus
		if err := json.Unmarshal(raw, &s); err != nil {
			return fmt.Errorf("invalid response from control: %w", err)
		}
		if rollouts == nil {
			rollouts = s.Rollouts
			return nil
		}
		for i, r := range rollouts {
			for _, x := range s.Rollouts {
				if x.Service == r.Service && x.Target == r.Target {
					rollouts[i].Proxies = append(rollouts[i].Proxies, x.Proxies...)
				}
			}
		}
		return nil
	})
	return rollouts, err
}

func printRollouts(w io.Writer, rollouts []server.RolloutStatus) {
	fmt.Fprintln(w, "SERVICE\tFROM\tTARGET\tSTATE\tREMAINING s\tVOTES")
	for _, r := range rollouts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\t%s\n", r.Service, r.From, r.Target, r.State, r.LeftSeconds, strings.Join(r.Votes, ", "))
	}
	headingPrinted := false
	for _, r := range rollouts {
		for _, metrics := range r.Proxies {
			if !headingPrinted {
				headingPrinted = true
				fmt.Fprintln(w, "\nSERVICE\tROUTER\tAGE s\tOUTCOMES\tFAILURES\tOVER\tTIMES\tOVER\tEXPOSURE ALLOWANCE")
			}
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%.0f\t%+.3f ± %.3f\t%.3f\t%+.3f ± %.3f\t%.3f\t%.1f\n", r.Service, metrics.Proxy, metrics.AgeSeconds, metrics.Outcomes[0],
				metrics.Excess[0], metrics.Error[0], metrics.Threshold[0], metrics.Excess[1], metrics.Error[1], metrics.Threshold[1], metrics.Exposure)
		}
	}
}

func printQuotas(w io.Writer, status server.ClusterStatus) {
	fmt.Fprintln(w, "SHARE\tSERVICE\tCALLER\tLIMIT /s\tUSED /s")
	for _, x := range status.Quotas {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\n", x.Quota, x.Service, x.Caller, x.Limit, x.Used)
	}
	fmt.Fprintln(w, "\nSHARE\tPROXY ZONE\tDEMAND /s\tALLOCATED /s\tREJECTED\tOVER QUOTA")
	for _, x := range status.Quotas {
		for _, z := range x.Zones {
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%d\t%d\n", x.Quota, z.Zone, z.Demand, z.Allocated, z.Rejected, z.OverQuota)
		}
	}
}

func printMembers(w io.Writer, status server.ClusterStatus) {
	fmt.Fprintf(w, "as seen by %s, %s: %d items, last update %d, %d fsyncs\n", status.Node, status.Status, status.Items, status.LastUpdate, status.Syncs)
	if len(status.Evacuated) > 0 {
		fmt.Fprintln(w, "evacuated:", strings.Join(status.Evacuated, ", "))
	}
	for _, reason := range status.Overridden {
		fmt.Fprintln(w, "yields:", reason)
	}
	fmt.Fprintln(w, "\nCORE\tZONE\tHEARD\tWHOLE\tSAME INDEX")
	for _, c := range status.Voters {
		fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%v\n", c.Name, c.Zone, c.Heard, c.CaughtUp, c.UpToDate)
	}
	fmt.Fprintln(w, "\nROUTER\tZONE\tREADY\tNUMBER\tSUBSCRIBED TO\tBEHIND")
	for _, r := range status.Proxies {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%s\n", r.Name, r.Zone, r.Ready, r.Number, r.Owner, lo.Ternary(r.UnackedUpdates < 0, "-", fmt.Sprint(r.UnackedUpdates)))
	}
	fmt.Fprintln(w, "\nHOST\tSERVICE\tZONE\tVERSION\tSTATE\tWARM-UP s")
	for _, h := range status.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.1f\n", h.ID, h.Service, h.Zone, h.Version, h.State, h.WarmupSeconds)
	}
}
