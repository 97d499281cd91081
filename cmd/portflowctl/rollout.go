package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// evacuateCommand returns the command that begins and ends the evacuation of a zone.
func evacuateCommand() *cli.Command {
	return &cli.Command{Name: "evacuate", Usage: "evacuate a zone, or end its evacuation", Commands: []*cli.Command{
		{Name: "begin", Arguments: oneArgument("zone"), Action: subjectAction("evacuation.begin", "zone")},
		{Name: "finish", Arguments: oneArgument("zone"), Action: subjectAction("evacuation.finish", "zone")},
	}}
}

// beginRolloutCommand returns the command that begins a rollout.
func beginRolloutCommand() *cli.Command {
	return &cli.Command{Name: "rollout", Usage: "start the rollout of a version of a service", Arguments: []cli.Argument{&cli.StringArg{Name: "service"}, &cli.StringArg{Name: "version"}},
		Flags: []cli.Flag{&cli.DurationFlag{Name: "within", Value: time.Minute, Usage: "deadline of the rollout; if it is undecided by then, it is rolled back"}},
		Action: bodyAction("rollouts.begin", func(c *cli.Command) ([]byte, error) {
			if c.StringArg("service") == "" || c.StringArg("version") == "" {
				return nil, errors.New("missing argument: rollout requires a service and a version")
			}
			return json.Marshal(map[string]any{"service": c.StringArg("service"), "target-version": c.StringArg("version"),
				"duration-s": c.Duration("within").Seconds()})
		})}
}

// showRolloutsCommand returns the command that shows all rollouts.
func showRolloutsCommand(out io.Writer) *cli.Command {
	return &cli.Command{Name: "rollouts", Usage: "show rollouts, with the proxies' votes and the metrics behind them from all control processes",
		Action: func(ctx context.Context, c *cli.Command) error {
			responses, err := readRollouts(ctx, newClient(c))
			if err != nil {
				return err
			}
			return printResult(c, out, responses, printRollouts)
		}}
}
