package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"portflow/internal/client"
	"portflow/internal/control/server"
	"portflow/internal/quota"
)

// quotaCommand returns the command that sets, deletes and simulates quotas.
func quotaCommand(out io.Writer) *cli.Command {
	return &cli.Command{Name: "share", Usage: "set, delete and simulate callers' quotas of services", Commands: []*cli.Command{
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
			Action: setQuota},
		{Name: "drop", Usage: "delete a quota", Arguments: oneArgument("name"), Action: func(ctx context.Context, c *cli.Command) error {
			return sendWithNextVersion(ctx, c, func(highest uint64) ([]byte, error) { return client.DropQuotaChange(c.StringArg("name"), highest) })
		}},
		{Name: "dry", Usage: "simulate a quota: print the callers that it would have throttled in the last hour",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "service", Required: true},
				&cli.StringFlag{Name: "caller", Usage: "only this caller; * for requests that are not counted by caller"},
				&cli.FloatFlag{Name: "per-s", Required: true, Usage: "simulated quota, in requests per second"},
			},
			Action: func(ctx context.Context, c *cli.Command) error { return simulateQuota(ctx, c, out) }},
	}}
}

// setQuota sets the quota that the flags describe.
func setQuota(ctx context.Context, c *cli.Command) error {
	optionalFloat := func(name string) any { return lo.Ternary[any](c.IsSet(name), c.Float(name), nil) }
	fields := map[string]any{
		"name":          c.StringArg("name"),
		"service":       c.String("service"),
		"caller-header": c.String("header"),
		"caller":        c.String("caller"),
		"per-s":         optionalFloat("per-s"),
		"burst":         optionalFloat("burst"),
		"part":          optionalFloat("part"),
		"watch-only":    lo.Ternary[any](c.Bool("watch"), true, nil),
	}
	return sendWithNextVersion(ctx, c, func(highest uint64) ([]byte, error) { return client.SetQuotaChange(fields, highest) })
}

// simulateQuota prints the callers that a quota would have throttled, by the histories of all control processes.
func simulateQuota(ctx context.Context, c *cli.Command, out io.Writer) error {
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
	return printResult(c, out, throttled, printThrottled)
}

func printThrottled(w io.Writer, throttled []client.ThrottledCaller) {
	fmt.Fprintln(w, "CALLER\tREQUESTS\tTHROTTLED\tPEAK MINUTE")
	for _, caller := range throttled {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", client.FormatCaller(caller.Caller), caller.Requests, caller.Throttled, caller.WorstMinute)
	}
}
