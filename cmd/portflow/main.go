// Command portflow runs a router, checks its configuration and reads the flow records that routers export.
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

// version is set by the linker in release builds.
var version = "devel"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// commandError is the error of a command that was run, as opposed to an invalid command line.
type commandError struct{ error }

// run executes a command line and returns the exit code: 1 if the command failed, 2 if the command line is invalid.
func run(args []string, out, log io.Writer) int {
	root := newRootCommand(log)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(log)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(log, "portflow:", err)
	if errors.As(err, new(commandError)) {
		return 1
	}
	return 2
}

// options holds the flags that several commands share.
type options struct{ file, site, level string }

func (o *options) env(name string) string {
	if name == "ROUTER_CONFIG" && o.file != "" {
		return o.file
	}
	return os.Getenv(name)
}

// read reads and checks the configuration and, if one is given, the operator's file.
func (o *options) read() (c config.Config, s site.Config, err error) {
	if c, err = config.Load(o.env); err != nil {
		return c, s, err
	}
	if o.site == "" {
		return c, s, nil
	}
	if s, err = site.Read(o.site); err == nil && s.Storm != nil {
		_, err = retryguard.New(router.RetryGuardSettings(c.Settings, *s.Storm), c.Seed, 0)
	}
	return c, s, err
}

func newRootCommand(log io.Writer) *cobra.Command {
	var opts options
	root := &cobra.Command{Use: "portflow", Short: "portflow routes requests to the hosts of an old and a new build",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { c.Usage(); return errors.New("no command") }}
	root.PersistentFlags().StringVarP(&opts.file, "config", "c", "", "configuration file, overrides ROUTER_CONFIG")
	root.PersistentFlags().StringVar(&opts.level, "log", "info", "minimum log level: debug, info, warn or error")
	addCommand := func(use, short string, runCommand func(c *cobra.Command) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if err := runCommand(c); err != nil {
				return commandError{err}
			}
			return nil
		}}
		root.AddCommand(c)
		return c
	}
	serveCommand := addCommand("serve", "run a router, configured by ROUTER_CONFIG and the other ROUTER_ variables", func(*cobra.Command) error {
		level, _ := zerolog.ParseLevel(opts.level)
		c, s, err := opts.read()
		if err != nil {
			return err
		}
		return serve(c, s, func() (config.Config, error) { return config.Reload(opts.env) },
			zerolog.New(log).Level(level).With().Timestamp().Str("router", c.Name).Logger())
	})
	checkCommand := addCommand("check", "check whether a router could start with the configuration", func(*cobra.Command) error {
		if opts.file == "" && os.Getenv("ROUTER_CONFIG") == "" && opts.site != "" {
			_, err := site.Read(opts.site) // the operator's file can be checked without a configuration
			return err
		}
		_, _, err := opts.read()
		return err
	})
	for _, c := range []*cobra.Command{serveCommand, checkCommand} {
		c.Flags().StringVar(&opts.site, "site", "", "the operator's file, a Starlark script; without it, all optional features are off")
		c.MarkFlagFilename("site", "star")
	}
	root.MarkPersistentFlagFilename("config", "json")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if _, err := zerolog.ParseLevel(opts.level); err != nil {
			return fmt.Errorf("--log: %w", err)
		}
		return nil
	}
	root.AddCommand(newFlowsCommand())
	addCommand("schema", "print the JSON schema of the operator's file", func(c *cobra.Command) error {
		_, err := c.OutOrStdout().Write(site.Schema())
		return err
	})
	addCommand("version", "print the version", func(c *cobra.Command) error {
		text := version
		if info, ok := debug.ReadBuildInfo(); ok {
			text += " " + info.GoVersion
		}
		_, err := fmt.Fprintln(c.OutOrStdout(), "portflow", text)
		return err
	})
	return root
}
