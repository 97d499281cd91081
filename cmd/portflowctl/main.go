// Command portflowctl is the operators' client of a portflow cluster.
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
	exitRefused     = 1 // control refused the order
	exitUsage       = 2 // the call or the file is wrong
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
					return fmt.Errorf("%s: missing", argument)
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
			return nil, errors.New("file: missing")
		}
		if name == "-" {
			return io.ReadAll(os.Stdin)
		}
		return os.ReadFile(name)
	}
	// against reads a change from the file and holds it against what stands.
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
	// above sends the change that is made for the highest version that any item has.
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
			&cli.StringFlag{Name: "control", Sources: cli.EnvVars("PORTFLOW_CONTROL"), Value: "127.0.0.1:8146", Usage: "addresses of control processes, joined by commas"},
			&cli.DurationFlag{Name: "limit", Value: 10 * time.Second, Usage: "for a call, over all control processes"},
			&cli.BoolFlag{Name: "json", Usage: "answers as they come"},
		},
		Commands: []*cli.Command{
			{Name: "config", Usage: "the configuration", Commands: []*cli.Command{
				{Name: "read", Usage: "print all items that stand", Action: func(ctx context.Context, c *cli.Command) error {
					raw, err := newClient(c).Call(ctx, "configuration.read", "", nil)
					if err == nil {
						_, err = fmt.Fprintln(out, string(raw))
					}
					return err
				}},
				{Name: "check", Usage: "say what is wrong with a change, as control would", Arguments: oneArgument("file"),
					Action: func(ctx context.Context, c *cli.Command) error {
						_, items, changes, err := checkFile(ctx, c)
						if err == nil {
							_, err = fmt.Fprintf(out, "%d items, %d of them change something\n", len(items), len(changes))
						}
						return err
					}},
				{Name: "diff", Usage: "print what a change would change", Arguments: oneArgument("file"),
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
				{Name: "modify", Usage: "send a change", Arguments: oneArgument("file"), Action: callAction("configuration.modify", "", readFile)},
			}},
			snapshotCommand(newClient, out, oneArgument("file")),
			restoreCommand(newClient, out, oneArgument("file"), readFile),
			{Name: "share", Usage: "callers' shares of services", Commands: []*cli.Command{
				{Name: "set", Usage: "set one, with a version above all that stand", Arguments: oneArgument("name"),
					Flags: []cli.Flag{
						&cli.StringFlag{Name: "service", Required: true, Usage: "of which it is a share"},
						&cli.StringFlag{Name: "header", Value: "X-Agency", Usage: "that names the caller"},
						&cli.StringFlag{Name: "caller", Required: true, Usage: "its value; * for all that have no share of their own"},
						&cli.FloatFlag{Name: "per-s", Usage: "requests a second"},
						&cli.FloatFlag{Name: "burst", Usage: "requests at once; the same number where it isn't given"},
						&cli.FloatFlag{Name: "part", Usage: "of what the service can carry, from 0 to 1; the greater of both holds"},
						&cli.BoolFlag{Name: "watch", Usage: "hold nothing back, only count"},
					},
					Action: func(ctx context.Context, c *cli.Command) error {
						optionalFloat := func(name string) any { return lo.Ternary[any](c.IsSet(name), c.Float(name), nil) }
						fields := map[string]any{"name": c.StringArg("name"), "service": c.String("service"),
							"caller-header": c.String("header"), "caller": c.String("caller"), "per-s": optionalFloat("per-s"), "burst": optionalFloat("burst"),
							"part": optionalFloat("part"), "watch-only": lo.Ternary[any](c.Bool("watch"), true, nil)}
						return sendWithNextVersion(ctx, c, func(highest uint64) ([]byte, error) { return client.SetQuotaChange(fields, highest) })
					}},
				{Name: "drop", Usage: "drop one", Arguments: oneArgument("name"), Action: func(ctx context.Context, c *cli.Command) error {
					return sendWithNextVersion(ctx, c, func(highest uint64) ([]byte, error) { return client.DropQuotaChange(c.StringArg("name"), highest) })
				}},
				{Name: "dry", Usage: "say whom a share would have held back, by the counts of the last hour",
					Flags: []cli.Flag{
						&cli.StringFlag{Name: "service", Required: true},
						&cli.StringFlag{Name: "caller", Usage: "one caller alone; * for those without a name"},
						&cli.FloatFlag{Name: "per-s", Required: true, Usage: "requests a second"},
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
						fmt.Fprintln(table, "CALLER\tREQUESTS\tHELD BACK\tMOST A MINUTE")
						for _, caller := range throttled {
							fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", client.FormatCaller(caller.Caller), caller.Requests, caller.Throttled, caller.WorstMinute)
						}
						return table.Flush()
					}},
			}},
			{Name: "shares", Usage: "callers' shares: their limits, what is used, and which zone has how much of them", Action: statusAction(newClient, out, printQuotas)},
			{Name: "evacuate", Usage: "empty a zone, or take it back", Commands: []*cli.Command{
				{Name: "begin", Arguments: oneArgument("zone"), Action: callAction("evacuation.begin", "zone", nil)},
				{Name: "finish", Arguments: oneArgument("zone"), Action: callAction("evacuation.finish", "zone", nil)},
			}},
			{Name: "rollout", Usage: "move a service to a version", Arguments: []cli.Argument{&cli.StringArg{Name: "service"}, &cli.StringArg{Name: "version"}},
				Flags: []cli.Flag{&cli.DurationFlag{Name: "within", Value: time.Minute, Usage: "the term: until then it has been judged"}},
				Action: callAction("rollouts.begin", "", func(c *cli.Command) ([]byte, error) {
					if c.StringArg("service") == "" || c.StringArg("version") == "" {
						return nil, errors.New("a service and a version are wanted")
					}
					return json.Marshal(map[string]any{"service": c.StringArg("service"), "target-version": c.StringArg("version"),
						"duration-s": c.Duration("within").Seconds()})
				})},
			{Name: "rollouts", Usage: "what rollouts are doing and why: the votes, and what the voters go by, of all control processes",
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
			{Name: "who", Usage: "who is in the harbour: the core, routers and hosts, and who is behind", Action: statusAction(newClient, out, printMembers)},
		}}
}

// readStatus is what one control process sees.
func readStatus(ctx context.Context, p *client.Client) (s server.ClusterStatus, err error) {
	raw, err := p.Call(ctx, "harbour.read", "", nil)
	if err == nil {
		if err = json.Unmarshal(raw, &s); err != nil {
			err = fmt.Errorf("what control answered: %w", err)
		}
	}
	return s, err
}

// statusAction prints what one control process sees, as a table or as it came.
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

// readRollouts is the rollouts as the first control process that answers has them, with the figures that any of them was told.
func readRollouts(ctx context.Context, p *client.Client) (rollouts []server.RolloutStatus, err error) {
	err = p.CallEach(ctx, "harbour.read", func(raw []byte) error {
		var s server.ClusterStatus
		if err := json.Unmarshal(raw, &s); err != nil {
			return fmt.Errorf("what control answered: %w", err)
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
	fmt.Fprintln(w, "SERVICE\tFROM\tTARGET\tSTATE\tLEFT s\tVOTES")
	for _, r := range rollouts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\t%s\n", r.Service, r.From, r.Target, r.State, r.LeftSeconds, strings.Join(r.Votes, ", "))
	}
	headingPrinted := false
	for _, r := range rollouts {
		for _, metrics := range r.Proxies {
			if !headingPrinted {
				headingPrinted = true
				fmt.Fprintln(w, "\nSERVICE\tROUTER\tAGE s\tOUTCOMES\tFAILURES\tOVER\tTIMES\tOVER\tMAY STILL GET")
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
	fmt.Fprintln(w, "\nSHARE\tROUTERS OF\tWANT /s\tLENT /s\tSENT AWAY\tTAKEN OVER IT")
	for _, x := range status.Quotas {
		for _, z := range x.Zones {
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%d\t%d\n", x.Quota, z.Zone, z.Demand, z.Allocated, z.Rejected, z.OverQuota)
		}
	}
}

func printMembers(w io.Writer, status server.ClusterStatus) {
	fmt.Fprintf(w, "seen by %s, %s: %d items, news %d, %d syncs\n", status.Node, status.Status, status.Items, status.LastUpdate, status.Syncs)
	if len(status.Evacuated) > 0 {
		fmt.Fprintln(w, "evacuated:", strings.Join(status.Evacuated, ", "))
	}
	for _, reason := range status.Overridden {
		fmt.Fprintln(w, "yields:", reason)
	}
	fmt.Fprintln(w, "\nCORE\tZONE\tHEARD\tWHOLE\tSAME ITEMS")
	for _, c := range status.Voters {
		fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%v\n", c.Name, c.Zone, c.Heard, c.CaughtUp, c.UpToDate)
	}
	fmt.Fprintln(w, "\nROUTER\tZONE\tREADY\tNUMBER\tHANGS ON\tBEHIND")
	for _, r := range status.Proxies {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%s\t%s\n", r.Name, r.Zone, r.Ready, r.Number, r.Owner, lo.Ternary(r.UnackedUpdates < 0, "-", fmt.Sprint(r.UnackedUpdates)))
	}
	fmt.Fprintln(w, "\nHOST\tSERVICE\tZONE\tVERSION\tSTATE\tCOLD s")
	for _, h := range status.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.1f\n", h.ID, h.Service, h.Zone, h.Version, h.State, h.WarmupSeconds)
	}
}
