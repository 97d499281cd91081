package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"portflow/internal/client"
	"portflow/internal/control/server"
)

// coreCommand are the commands about the core itself.
func coreCommand(newClient func(*cli.Command) *client.Client, out io.Writer) *cli.Command {
	newChangeCommand := func(action, usage string, names ...string) *cli.Command {
		return &cli.Command{Name: action, Usage: usage,
			Arguments: lo.Map(names, func(name string, _ int) cli.Argument { return &cli.StringArg{Name: name} }),
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: "dry-run", Usage: "say which losses the core would still bear, and do nothing"},
				&cli.BoolFlag{Name: "force", Usage: "also where the core would bear no loss afterwards"},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				change := server.CoreChange{Action: action, Member: c.StringArg(names[0]), DryRun: c.Bool("dry-run"), Force: c.Bool("force")}
				if len(names) > 1 {
					change.Replacement = c.StringArg(names[1])
				}
				result, err := newClient(c).ChangeCore(ctx, change)
				if err != nil {
					return err
				}
				if c.Bool("json") {
					return json.NewEncoder(out).Encode(result)
				}
				_, err = fmt.Fprintf(out, "%s: epoch %d, members %s\nbears: %s before, %s afterwards\n", lo.Ternary(result.Done, "done", "weighed only"),
					result.Epoch, strings.Join(result.Members, ", "), toleranceText(result.Tolerates[0], result.ToleratedZones[0]), toleranceText(result.Tolerates[1], result.ToleratedZones[1]))
				return err
			}}
	}
	return &cli.Command{Name: "core", Usage: "the control processes whose votes count, and what they would bear",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("core: no command %q", c.Args().First())
			}
			status, err := newClient(c).Core(ctx)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return json.NewEncoder(out).Encode(status)
			}
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			printCore(w, status)
			return w.Flush()
		},
		Commands: []*cli.Command{
			newChangeCommand("remove", "vote a control process out, and hold its disk out until it is added", "who"),
			newChangeCommand("add", "vote a learner in, also one that is held out", "who"),
			newChangeCommand("replace", "vote one in as another goes", "old", "new"),
			{Name: "recover", Usage: "make the one process of --control the whole core, where more than half never come back",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "confirm", Usage: "the words that the call without it prints"},
					&cli.BoolFlag{Name: "force", Usage: "also where another that is heard has more"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					result, err := newClient(c).RecoverCore(ctx, c.String("confirm"), c.Bool("force"))
					if err != nil {
						return err
					}
					if c.Bool("json") {
						return json.NewEncoder(out).Encode(result)
					}
					if result.Done {
						_, err = fmt.Fprintf(out, "%s is the core now; others come in as learners\n", result.Node)
						return err
					}
					fmt.Fprintf(out, "%s would be the whole core. This may be lost, for ever:\n", result.Node)
					for _, loss := range result.Losses {
						fmt.Fprintln(out, "-", loss)
					}
					_, err = fmt.Fprintf(out, "Be sure that the silent ones don't serve anybody behind a cut. Then: portflowctl core recover --confirm %q\n", result.ConfirmPhrase)
					return err
				}},
		}}
}

func toleranceText(memberLosses int, zones []string) string {
	if memberLosses < 0 {
		return "no majority"
	}
	return fmt.Sprintf("%d members, or one of the zones [%s]", memberLosses, strings.Join(zones, " "))
}

func printCore(w io.Writer, status server.CoreStatus) {
	fmt.Fprintf(w, "seen by %s, %s%s: epoch %d, number %d\n", status.Node, status.Status, lo.Ternary(status.Current, "", " (not confirmed)"), status.Epoch, status.Index)
	fmt.Fprintln(w, "bears:", toleranceText(status.Tolerates, status.ToleratedZones))
	switch {
	case status.Tolerance.SinceSeconds > 0:
		fmt.Fprintf(w, "margin: lost %.1f s ago, bore %d; lost: %s\n", status.Tolerance.SinceSeconds, status.Tolerance.Baseline, strings.Join(status.Tolerance.Lost, " "))
	case status.Tolerance.LastSeconds > 0:
		fmt.Fprintf(w, "margin: whole; the last loss took %.1f s to be made good\n", status.Tolerance.LastSeconds)
	}
	printTable := func(heading string, members []server.CoreMember) {
		if len(members) == 0 {
			return
		}
		fmt.Fprintf(w, "\n%s\tIP\tZONE\tHEARD\tSILENT s\tWHOLE\tLEAVING\tEPOCH\tNUMBER\tDISK\n", heading)
		for _, member := range members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%.1f\t%v\t%v\t%d\t%d\t%s\n", member.Name, member.IP, member.Zone, member.Heard, member.SilentSeconds, member.CaughtUp, member.Leaving, member.Epoch, member.Index, member.DiskID)
		}
	}
	printTable("MEMBER", status.Members)
	printTable("LEARNER", status.Learners)
	printTable("HELD OUT", status.Excluded)
}
