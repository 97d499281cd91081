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

	"github.com/urfave/cli/v3"

	"portflow/internal/client"
)

// newClient returns a client for the control processes that the flags name.
func newClient(c *cli.Command) *client.Client {
	return &client.Client{Addresses: strings.Split(c.String("control"), ","), HTTP: &http.Client{}, Timeout: c.Duration("limit")}
}

func oneArgument(name string) []cli.Argument { return []cli.Argument{&cli.StringArg{Name: name}} }

// subjectAction returns an action that makes a call about the subject that an argument names.
func subjectAction(call, argument string) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		subject := c.StringArg(argument)
		if subject == "" {
			return fmt.Errorf("missing argument: %s", argument)
		}
		_, err := newClient(c).Call(ctx, call, subject, nil)
		return err
	}
}

// bodyAction returns an action that makes a call with a body.
func bodyAction(call string, body func(*cli.Command) ([]byte, error)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		raw, err := body(c)
		if err != nil {
			return err
		}
		_, err = newClient(c).Call(ctx, call, "", raw)
		return err
	}
}

// printResult prints a result: as a table that render writes, or with --json as JSON.
func printResult[T any](c *cli.Command, out io.Writer, result T, render func(io.Writer, T)) error {
	if c.Bool("json") {
		return json.NewEncoder(out).Encode(result)
	}
	return printTable(out, result, render)
}

// printTable prints a result as a table that render writes.
func printTable[T any](out io.Writer, result T, render func(io.Writer, T)) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	render(table, result)
	return table.Flush()
}

// readFile reads the file that the argument names, or standard input.
func readFile(c *cli.Command) ([]byte, error) {
	name := c.StringArg("file")
	if name == "" {
		return nil, errors.New("missing argument: file (- reads standard input)")
	}
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
