package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"portflow/internal/client"
)

// restoreCommand returns the command that restores a file written by the snapshot command. A snapshot replaces the complete state; a change
// is converted to one whose items have a higher version than the current ones.
func restoreCommand(out io.Writer) *cli.Command {
	return &cli.Command{Name: "restore", Usage: "restore the state from a snapshot, or the configuration from a file written by snapshot --change", Arguments: oneArgument("file"),
		Flags: []cli.Flag{&cli.BoolFlag{Name: "dry", Usage: "validate the file without restoring it; for a change, print what would be sent"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if path := c.StringArg("file"); client.IsSnapshot(path) {
				return restoreSnapshot(ctx, newClient(c), out, path, c.Bool("dry"))
			}
			raw, err := readFile(c)
			if err != nil {
				return err
			}
			current, err := newClient(c).Call(ctx, "configuration.read", "", nil)
			if err != nil {
				return err
			}
			status, err := readStatus(ctx, newClient(c))
			if err != nil {
				return err
			}
			change, items, err := client.RestoreChange(raw, current, status.HighestVersion)
			if err != nil {
				return err
			}
			if c.Bool("dry") {
				_, err = fmt.Fprintln(out, string(change))
				return err
			}
			if items > 0 {
				if _, err = newClient(c).Call(ctx, "configuration.modify", "", change); err != nil {
					return err
				}
			}
			_, err = fmt.Fprintf(out, "%d items changed\n", items)
			return err
		}}
}

func restoreSnapshot(ctx context.Context, c *client.Client, out io.Writer, path string, dry bool) error {
	if dry {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		h, _, err := client.ValidateSnapshot(f)
		if err == nil {
			_, err = fmt.Fprintf(out, "valid: %d items as of epoch %d, index %d\n", h.Items, h.Epoch, h.Index)
		}
		return err
	}
	h, err := c.RestoreSnapshot(ctx, path)
	if err == nil {
		_, err = fmt.Fprintf(out, "restored: %d items as of epoch %d, index %d\n", h.Items, h.Epoch, h.Index)
	}
	return err
}
