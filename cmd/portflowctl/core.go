package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"portflow/internal/control/server"
)

// coreCommand returns the command that shows and changes the voting members.
func coreCommand(out io.Writer) *cli.Command {
	newChangeCommand := func(action, usage string, names ...string) *cli.Command {
		return &cli.Command{Name: action, Usage: usage,
			Arguments: lo.Map(names, func(name string, _ int) cli.Argument { return &cli.StringArg{Name: name} }),
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: "dry-run", Usage: "print the losses that the voting members would tolerate, without making the change"},
				&cli.BoolFlag{Name: "force", Usage: "make the change even if the voting members would tolerate no loss afterwards"},
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
				_, err = fmt.Fprintf(out, "%s: epoch %d, members %s\ntolerated losses: %s before, %s afterwards\n", lo.Ternary(result.Done, "done", "dry run"),
					result.Epoch, strings.Join(result.Members, ", "), toleranceText(result.Tolerates[0], result.ToleratedZones[0]), toleranceText(result.Tolerates[1], result.ToleratedZones[1]))
				return err
			}}
	}
	return &cli.Command{Name: "core", Usage: "show the voting members, learners and excluded control processes, and the losses that the members tolerate",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return fmt.Errorf("core: unknown command %q; must be remove, add, replace or recover", c.Args().First())
			}
			status, err := newClient(c).Core(ctx)
			if err != nil {
				return err
			}
			return printResult(c, out, status, printCore)
		},
		Commands: []*cli.Command{
			newChangeCommand("remove", "remove a voting member or learner, and exclude its disk until it is added again", "who"),
			newChangeCommand("add", "make a learner a voting member, even if it was excluded", "who"),
			newChangeCommand("replace", "replace a voting member (old) with a learner (new) in one change", "old", "new"),
			{Name: "recover", Usage: "make the process named by --control the only voting member, after a majority of the members is permanently lost",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "confirm", Usage: "confirmation phrase, as printed by the command without this flag"},
					&cli.BoolFlag{Name: "force", Usage: "recover even if another connected control process has applied a higher index"},
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
						_, err = fmt.Fprintf(out, "%s is now the only voting member; other control processes join as learners\n", result.Node)
						return err
					}
					fmt.Fprintf(out, "%s would become the only voting member. This may be lost permanently:\n", result.Node)
					for _, loss := range result.Losses {
						fmt.Fprintln(out, "-", loss)
					}
					_, err = fmt.Fprintf(out, "Make sure that the disconnected control processes don't run in another partition of the network. Then run: portflowctl core recover --confirm %q\n", result.ConfirmPhrase)
					return err
				}},
		}}
}

func toleranceText(memberLosses int, zones []string) string {
	if memberLosses < 0 {
		return "no quorum"
	}
	return fmt.Sprintf("%d members, or any one of the zones [%s]", memberLosses, strings.Join(zones, " "))
}

func printCore(w io.Writer, status server.CoreStatus) {
	fmt.Fprintf(w, "as seen by %s, %s%s: epoch %d, index %d\n", status.Node, status.Status, lo.Ternary(status.Current, "", " (not confirmed)"), status.Epoch, status.Index)
	fmt.Fprintln(w, "bears:", toleranceText(status.Tolerates, status.ToleratedZones))
	switch {
	case status.Tolerance.SinceSeconds > 0:
		fmt.Fprintf(w, "tolerance: reduced %.1f s ago, %d losses before; unavailable members: %s\n", status.Tolerance.SinceSeconds, status.Tolerance.Baseline, strings.Join(status.Tolerance.Lost, " "))
	case status.Tolerance.LastSeconds > 0:
		fmt.Fprintf(w, "tolerance: not reduced; the last reduction lasted %.1f s\n", status.Tolerance.LastSeconds)
	}
	printTable := func(heading string, members []server.CoreMember) {
		if len(members) == 0 {
			return
		}
		fmt.Fprintf(w, "\n%s\tIP\tZONE\tHEARD\tDISCONNECTED s\tWHOLE\tLEAVING\tEPOCH\tNUMBER\tDISK\n", heading)
		for _, member := range members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%.1f\t%v\t%v\t%d\t%d\t%s\n", member.Name, member.IP, member.Zone, member.Heard, member.SilentSeconds, member.CaughtUp, member.Leaving, member.Epoch, member.Index, member.DiskID)
		}
	}
	printTable("MEMBER", status.Members)
	printTable("LEARNER", status.Learners)
	printTable("EXCLUDED PROCESS", status.Excluded)
}
