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
	change := func(do, usage string, names ...string) *cli.Command {
		return &cli.Command{Name: do, Usage: usage,
			Arguments: lo.Map(names, func(name string, _ int) cli.Argument { return &cli.StringArg{Name: name} }),
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: "dry-run", Usage: "say which losses the core would still bear, and do nothing"},
				&cli.BoolFlag{Name: "force", Usage: "also where the core would bear no loss afterwards"},
			},
			Action: func(ctx context.Context, c *cli.Command) error {
				x := server.CoreChange{Action: do, Member: c.StringArg(names[0]), DryRun: c.Bool("dry-run"), Force: c.Bool("force")}
				if len(names) > 1 {
					x.Replacement = c.StringArg(names[1])
				}
				got, err := newClient(c).ChangeCore(ctx, x)
				if err != nil {
					return err
				}
				if c.Bool("json") {
					return json.NewEncoder(out).Encode(got)
				}
				_, err = fmt.Fprintf(out, "%s: epoch %d, members %s\nbears: %s before, %s afterwards\n", lo.Ternary(got.Done, "done", "weighed only"),
					got.Epoch, strings.Join(got.Members, ", "), toleranceText(got.Tolerates[0], got.ToleratedZones[0]), toleranceText(got.Tolerates[1], got.ToleratedZones[1]))
				return err
			}}
	}
	return &cli.Command{Name: "core", Usage: "the control processes whose votes count, and what they would bear",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("core: no command %q", c.Args().First())
			}
			s, err := newClient(c).Core(ctx)
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return json.NewEncoder(out).Encode(s)
			}
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			printCore(w, s)
			return w.Flush()
		},
		Commands: []*cli.Command{
			change("remove", "vote a control process out, and hold its disk out until it is added", "who"),
			change("add", "vote a learner in, also one that is held out", "who"),
			change("replace", "vote one in as another goes", "old", "new"),
			{Name: "recover", Usage: "make the one process of --control the whole core, where more than half never come back",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "confirm", Usage: "the words that the call without it prints"},
					&cli.BoolFlag{Name: "force", Usage: "also where another that is heard has more"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					got, err := newClient(c).RecoverCore(ctx, c.String("confirm"), c.Bool("force"))
					if err != nil {
						return err
					}
					if c.Bool("json") {
						return json.NewEncoder(out).Encode(got)
					}
					if got.Done {
						_, err = fmt.Fprintf(out, "%s is the core now; others come in as learners\n", got.Node)
						return err
					}
					fmt.Fprintf(out, "%s would be the whole core. This may be lost, for ever:\n", got.Node)
					for _, l := range got.Losses {
						fmt.Fprintln(out, "-", l)
					}
					_, err = fmt.Fprintf(out, "Be sure that the silent ones don't serve anybody behind a cut. Then: portflowctl core recover --confirm %q\n", got.ConfirmPhrase)
					return err
				}},
		}}
}

func toleranceText(members int, zones []string) string {
	if members < 0 {
		return "no majority"
	}
	return fmt.Sprintf("%d members, or one of the zones [%s]", members, strings.Join(zones, " "))
}

func printCore(w io.Writer, s server.CoreStatus) {
	fmt.Fprintf(w, "seen by %s, %s%s: epoch %d, number %d\n", s.Node, s.Status, lo.Ternary(s.Current, "", " (not confirmed)"), s.Epoch, s.Index)
	fmt.Fprintln(w, "bears:", toleranceText(s.Tolerates, s.ToleratedZones))
	switch {
	case s.Tolerance.SinceSeconds > 0:
		fmt.Fprintf(w, "margin: lost %.1f s ago, bore %d; lost: %s\n", s.Tolerance.SinceSeconds, s.Tolerance.Baseline, strings.Join(s.Tolerance.Lost, " "))
	case s.Tolerance.LastSeconds > 0:
		fmt.Fprintf(w, "margin: whole; the last loss took %.1f s to be made good\n", s.Tolerance.LastSeconds)
	}
	table := func(head string, all []server.CoreMember) {
		if len(all) == 0 {
			return
		}
		fmt.Fprintf(w, "\n%s\tIP\tZONE\tHEARD\tSILENT s\tWHOLE\tLEAVING\tEPOCH\tNUMBER\tDISK\n", head)
		for _, x := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%.1f\t%v\t%v\t%d\t%d\t%s\n", x.Name, x.IP, x.Zone, x.Heard, x.SilentSeconds, x.CaughtUp, x.Leaving, x.Epoch, x.Index, x.DiskID)
		}
	}
	table("MEMBER", s.Members)
	table("LEARNER", s.Learners)
	table("HELD OUT", s.Excluded)
}
