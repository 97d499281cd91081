package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"portflow/internal/client"
)

// snapshotCommand returns the command that saves a snapshot of the complete state. If control doesn't support snapshots, or with --change,
// it saves the current configuration as a change.
func snapshotCommand(out io.Writer) *cli.Command {
	return &cli.Command{Name: "snapshot", Usage: "save a snapshot of the complete state to a file",
		Arguments: oneArgument("file"), Flags: []cli.Flag{&cli.BoolFlag{Name: "change", Usage: "save the current configuration instead, as a JSON change that sets all its items"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			file := c.StringArg("file")
			if file == "" {
				return errors.New("missing argument: file")
			}
			if !c.Bool("change") {
				h, err := newClient(c).DownloadSnapshot(ctx, file)
				if !errors.Is(err, client.ErrUnsupported) {
					if err == nil {
						_, err = fmt.Fprintf(out, "%d items as of epoch %d, index %d\n", h.Items, h.Epoch, h.Index)
					}
					return err
				}
				fmt.Fprintln(out, "control doesn't support snapshots: saving the current configuration as a change")
			}
			raw, err := newClient(c).Call(ctx, "configuration.read", "", nil)
			if err != nil {
				return err
			}
			return os.WriteFile(file, append(append([]byte(`{"set-items":`), raw...), "}\n"...), 0o644)
		}}
}
