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

// snapshotCommand saves the whole state; where control serves no snapshots yet, all items that stand as a change.
func snapshotCommand(newClient func(*cli.Command) *client.Client, out io.Writer, arguments []cli.Argument) *cli.Command {
	return &cli.Command{Name: "snapshot", Usage: "save the whole state as of one number to a file; --change: all items that stand, as a change that sets them",
		Arguments: arguments, Flags: []cli.Flag{&cli.BoolFlag{Name: "change", Usage: "a change, as JSON"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			file := c.StringArg("file")
			if file == "" {
				return errors.New("file: missing")
			}
			if !c.Bool("change") {
				h, err := newClient(c).DownloadSnapshot(ctx, file)
				if !errors.Is(err, client.ErrUnsupported) {
					if err == nil {
						_, err = fmt.Fprintf(out, "%d items as of epoch %d, number %d\n", h.Items, h.Epoch, h.Index)
					}
					return err
				}
				fmt.Fprintln(out, "control serves no snapshots: all items that stand are saved as a change")
			}
			raw, err := newClient(c).Call(ctx, "configuration.read", "", nil)
			if err != nil {
				return err
			}
			return os.WriteFile(file, append(append([]byte(`{"set-items":`), raw...), "}\n"...), 0o644)
		}}
}
