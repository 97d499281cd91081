// Command portflow is a router on sockets.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"portflow/internal/retryguard"
	"portflow/internal/router"
	"portflow/internal/router/config"
	"portflow/internal/router/site"
)

// version is set at release builds.
var version = "devel"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// failure is an error of a command that was understood.
type failure struct{ error }

// run carries out the command line; 1 is the exit code for what fails, 2 for a line that can't be understood.
func run(args []string, out, log io.Writer) int {
	root := commands(log)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(log)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(log, "portflow:", err)
	if errors.As(err, new(failure)) {
		return 1
	}
	return 2
}

// options are the flags that several commands share.
type options struct{ file, site, level string }

func (o *options) env(name string) string {
	if name == "ROUTER_CONFIG" && o.file != "" {
		return o.file
	}
	return os.Getenv(name)
}

// read reads the configuration, and the operator's file where one is named.
func (o *options) read() (c config.Config, s site.Site, err error) {
	if c, err = config.Load(o.env); err != nil {
		return c, s, err
	}
	if o.site == "" {
		return c, s, nil
	}
	if s, err = site.Read(o.site); err == nil && s.Storm != nil {
		_, err = retryguard.New(router.Storm(c.Settings, *s.Storm), c.Seed, 0)
	}
	return c, s, err
}

func commands(log io.Writer) *cobra.Command {
	var o options
	root := &cobra.Command{Use: "portflow", Short: "portflow shifts calls between an old and a new build",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { c.Usage(); return errors.New("no command") }}
	root.PersistentFlags().StringVarP(&o.file, "config", "c", "", "the configuration's file, in place of ROUTER_CONFIG")
	root.PersistentFlags().StringVar(&o.level, "log", "info", "the least level that is logged: debug, info, warn or error")
	add := func(use, short string, act func(c *cobra.Command) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if err := act(c); err != nil {
				return failure{err}
			}
			return nil
		}}
		root.AddCommand(c)
		return c
	}
	run := add("serve", "run a router, configured by ROUTER_CONFIG and the other ROUTER_ variables", func(*cobra.Command) error {
		least, _ := zerolog.ParseLevel(o.level)
		c, s, err := o.read()
		if err != nil {
			return err
		}
		return serve(c, s, func() (config.Config, error) { return config.Reload(o.env) },
			zerolog.New(log).Level(least).With().Timestamp().Str("router", c.Name).Logger())
	})
	check := add("check", "read the configuration and say whether a router could start on it", func(*cobra.Command) error {
		if o.file == "" && os.Getenv("ROUTER_CONFIG") == "" && o.site != "" {
			_, err := site.Read(o.site) // an operator's file can be checked by itself
			return err
		}
		_, _, err := o.read()
		return err
	})
	for _, c := range []*cobra.Command{run, check} {
		c.Flags().StringVar(&o.site, "site", "", "the operator's file, a Starlark script; without one all further parts are off")
		c.MarkFlagFilename("site", "star")
	}
	root.MarkPersistentFlagFilename("config", "json")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if _, err := zerolog.ParseLevel(o.level); err != nil {
			return fmt.Errorf("--log: %w", err)
		}
		return nil
	}
	root.AddCommand(flows())
	add("schema", "print the JSON schema of the operator's file", func(c *cobra.Command) error {
		_, err := c.OutOrStdout().Write(site.Schema())
		return err
	})
	add("version", "print the version", func(c *cobra.Command) error {
		text := version
		if info, ok := debug.ReadBuildInfo(); ok {
			text += " " + info.GoVersion
		}
		_, err := fmt.Fprintln(c.OutOrStdout(), "portflow", text)
		return err
	})
	return root
}
