package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"portflow/internal/client"
	"portflow/internal/cluster/config"
)

// configCommand returns the command that reads, checks and changes the configuration.
func configCommand(out io.Writer) *cli.Command {
	return &cli.Command{Name: "config", Usage: "read, check and change the configuration", Commands: []*cli.Command{
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
			Action: func(ctx context.Context, c *cli.Command) error { return printDiff(ctx, c, out) }},
		{Name: "modify", Usage: "send a change to control", Arguments: oneArgument("file"), Action: bodyAction("configuration.modify", readFile)},
	}}
}

// checkFile reads a change from the file and validates it against the current configuration. It returns all items of the change, and those
// that would have an effect.
func checkFile(ctx context.Context, c *cli.Command) (current []byte, items, changes []config.Item, err error) {
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

// printDiff prints the differences that the change in the file would make.
func printDiff(ctx context.Context, c *cli.Command, out io.Writer) error {
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
}

// sendWithNextVersion builds a change for the highest version of any item, and sends it.
func sendWithNextVersion(ctx context.Context, c *cli.Command, buildChange func(highest uint64) ([]byte, error)) error {
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
