// Command portflowctl is the command-line client for operators of a portflow cluster.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"portflow/internal/client"
	"portflow/internal/cluster/config"
	"portflow/internal/control/server"
	"portflow/internal/quota"
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

func newApp(out io.Writer) *cli.Command {
	oneArgument := func(name string) []cli.Argument { return []cli.Argument{&cli.StringArg{Name: name}} }
	newClient := func(c *cli.Command) *client.Client {
		return &client.Client{Addresses: strings.Split(c.String("control"), ","), HTTP: &http.Client{}, Timeout: c.Duration("limit")}
	}
	callAction := func(name, argument string, body func(*cli.Command) ([]byte, error)) cli.ActionFunc {
		return func(ctx context.Context, c *cli.Command) error {
			subject := ""
			if argument != "" {
				if subject = c.StringArg(argument); subject == "" {
					return fmt.Errorf("missing argument: %s", argument)
				}
			}
			var raw []byte
			var err error
			if body != nil {
				if raw, err = body(c); err != nil {
					return err
				}
				subject = ""
			}
			_, err = newClient(c).Call(ctx, name, subject, raw)
			return err
		}
	}
	readFile := func(c *cli.Command) ([]byte, error) {
		name := c.StringArg("file")
		if name == "" {
			return nil, errors.New("missing argument: file (- reads standard input)")
		}
		if name == "-" {
			return io.ReadAll(os.Stdin)
		}
		return os.ReadFile(name)
	}
	// checkFile reads a change from the file and validates it against the current configuration. It returns all items of the change, and those
	// that would have an effect.
	checkFile := func(ctx context.Context, c *cli.Command) (current []byte, items, changes []config.Item, err error) {
		raw, err := readFile(c)
		if err != nil {
			return nil, nil, nil, err
		}
		if current, err = newClient(c).Call(ctx, "configuration.read", "", nil); err != nil {
			return nil, nil, nil, err
		}
		items, changes, err = client.CheckChange(raw, current)
		return current, items, changes, err
	}
	// sendWithNextVersion builds a change for the highest version of any item, and sends it.
	sendWithNextVersion := func(ctx context.Context, c *cli.Command, buildChange func(highest uint64) ([]byte, error)) error {
		status, err := readStatus(ctx, newClient(c))
		if err != nil {
			return err
		}
		raw, err := buildChange(status.HighestVersion)
		if err == nil {
			_, err = newClient(c).Call(ctx, "configuration.modify", "", raw)
		}
		return err
	}
	return &cli.Command{Name: "portflowctl", Usage: "operate a portflow cluster", EnableShellCompletion: true, Writer: out,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Sources: cli.EnvVars("PORTFLOW_CONTROL"), Value: "127.0.0.1:8146", Usage: "comma-separated addresses of control processes, each host:port"},
			&cli.DurationFlag{Name: "limit", Value: 10 * time.Second, Usage: "timeout of a call, over all control processes that are tried"},
			&cli.BoolFlag{Name: "json", Usage: "print responses as JSON"},
		},
		Commands: []*cli.Command{
			{Name: "config", Usage: "read, check and change the configuration", Commands: []*cli.Command{
				{Name: "read", Usage: "print the current configuration", Action: func(ctx context.Context, c *cli.Command) error {
					raw, err := newClient(c).Call(ctx, "configuration.read", "", nil)
					if err == nil {
						_, err = fmt.Fprintln(out, string(raw))
					}
					return err
				}},
				{Name: "check", Usage: "validate a change against the current configuration, without sending it", Arguments: oneArgument("file"),
					Action: func(ctx context.Context, c *cli.Command) error {
						_, items, changes, err := checkFile(ctx, c)
						if err == nil {
							_, err = fmt.Fprintf(out, "%d items, %d of them with an effect\n", len(items), len(changes))
						}
						return err
					}},
				{Name: "diff", Usage: "print the differences that a change would make to the current configuration", Arguments: oneArgument("file"),
					Action: func(ctx context.Context, c *cli.Command) error {
						current, items, _, err := checkFile(ctx, c)
						if err != nil {
							return err
						}
						currentSet, err := client.ParseConfiguration(current)
						if err != nil {
							return err
						}
						for _, line := range client.Diff(currentSet, items) {
							fmt.Fprintln(out, line)
						}
						return nil
					}},
				{Name: "modify", Usage: "send a change to control", Arguments: oneArgument("file"), Action: callAction("configuration.modify", "", readFile)},
			}},
			snapshotCommand(newClient, out, oneArgument("file")),
			restoreCommand(newClient, out, oneArgument("file"), readFile),
			{Name: "share", Usage: "set, delete and simulate callers' quotas of services", Commands: []*cli.Command{
				{Name: "set", Usage: "set a quota, with a version above that of any item", Arguments: oneArgument("name"),
					Flags: []cli.Flag{
						&cli.StringFlag{Name: "service", Required: true, Usage: "service that the quota limits"},
						&cli.StringFlag{Name: "header", Value: "X-Agency", Usage: "request header that identifies the caller"},
						&cli.StringFlag{Name: "caller", Required: true, Usage: "value of that header; * for all callers without a quota of their own"},
						&cli.FloatFlag{Name: "per-s", Usage: "guaranteed requests per second"},
						&cli.FloatFlag{Name: "burst", Usage: "requests that may be sent at once, at least 1; by default as many as per-s"},
						&cli.FloatFlag{Name: "part", Usage: "fraction of the service's capacity, from 0 to 1; the greater of per-s and part applies"},
						&cli.BoolFlag{Name: "watch", Usage: "count requests over the quota, but reject none"},
					},
					Action: func(ctx context.Context, c *cli.Command) error {
						optionalFloat := func(name string) any { return lo.Ternary[any](c.IsSet(name), c.Float(name), nil) }
						fields := map[string]any{"name": c.StringArg("name"), "service": c.String("service"),
							"caller-header": c.String("header"), "caller": c.String("caller"), "per-s": optionalFloat("per-s"), "burst": optionalFloat("burst"),
							"part": optionalFloat("part"), "watch-only": lo.Ternary[any](c.Bool("watch"), true, nil)}
						return sendWithNextVersion(ctx, c, func(highest uint64) ([]byte, error) { return client.SetQuotaChange(fields, highest) })
					}},
				{Name: "drop", Usage: "delete a quota", Arguments: oneArgument("name"), Action: func(ctx context.Context, c *cli.Command) error {
					return sendWithNextVersion(ctx, c, func(highest uint64) ([]byte, error) { return client.DropQuotaChange(c.StringArg("name"), highest) })
				}},
				{Name: "dry", Usage: "simulate a quota: print the callers that it would have throttled in the last hour",
					Flags: []cli.Flag{
						&cli.StringFlag{Name: "service", Required: true},
						&cli.StringFlag{Name: "caller", Usage: "only this caller; * for requests that are not counted by caller"},
						&cli.FloatFlag{Name: "per-s", Required: true, Usage: "simulated quota, in requests per second"},
					},
					Action: func(ctx context.Context, c *cli.Command) error {
						var responses []map[string][]quota.CallerHistory
						err := newClient(c).CallEach(ctx, "harbour.read", func(raw []byte) error {
							var status server.ClusterStatus
							err := json.Unmarshal(raw, &status)
							responses = append(responses, status.Callers)
							return err
						})
						if err != nil {
							return err
						}
						throttled := client.SimulateQuota(responses, c.String("service"), c.String("caller"), c.Float("per-s"))
						if c.Bool("json") {
							return json.NewEncoder(out).Encode(throttled)
						}
						table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
						fmt.Fprintln(table, "CALLER\tREQUESTS\tTHROTTLED\tPEAK MINUTE")
						for _, caller := range throttled {
							fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", client.FormatCaller(caller.Caller), caller.Requests, caller.Throttled, caller.WorstMinute)
						}
						return table.Flush()
					}},
			}},
			{Name: "shares", Usage: "show all quotas: limit, use, and demand and allocation by zone", Action: statusAction(newClient, out, printQuotas)},
			{Name: "evacuate", Usage: "evacuate a zone, or end its evacuation", Commands: []*cli.Command{
				{Name: "begin", Arguments: oneArgument("zone"), Action: callAction("evacuation.begin", "zone", nil)},
				{Name: "finish", Arguments: oneArgument("zone"), Action: callAction("evacuation.finish", "zone", nil)},
			}},
			{Name: "rollout", Usage: "start the rollout of a version of a service", Arguments: []cli.Argument{&cli.StringArg{Name: "service"}, &cli.StringArg{Name: "version"}},
				Flags: []cli.Flag{&cli.DurationFlag{Name: "within", Value: time.Minute, Usage: "deadline of the rollout; if it is undecided by then, it is rolled back"}},
				Action: callAction("rollouts.begin", "", func(c *cli.Command) ([]byte, error) {
					if c.StringArg("service") == "" || c.StringArg("version") == "" {
						return nil, errors.New("missing argument: rollout requires a service and a version")
					}
					return json.Marshal(map[string]any{"service": c.StringArg("service"), "target-version": c.StringArg("version"),
						"duration-s": c.Duration("within").Seconds()})
				})},
			{Name: "rollouts", Usage: "show rollouts, with the proxies' votes and the metrics behind them from all control processes",
				Action: func(ctx context.Context, c *cli.Command) error {
					responses, err := readRollouts(ctx, newClient(c))
					if err != nil {
						return err
					}
					if c.Bool("json") {
						return json.NewEncoder(out).Encode(responses)
					}
					table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
					printRollouts(table, responses)
					return table.Flush()
				}},
			coreCommand(newClient, out),
			{Name: "who", Usage: "show control processes, proxies and hosts, and which of them lag behind", Action: statusAction(newClient, out, printMembers)},
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
func statusAction(newClient func(*cli.Command) *client.Client, out io.Writer, render func(io.Writer, server.ClusterStatus)) cli.ActionFunc {
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
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		render(w, s)
		return w.Flush()
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
