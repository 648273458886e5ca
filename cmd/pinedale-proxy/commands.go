package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/certstore"
	"pinedale/internal/cli"
	"pinedale/internal/config"
)

// signalBacklog is how many signals may wait while a file is read.
const signalBacklog = 4

// commandLine builds the commands. All of them write to out, and most read the operator's file.
type commandLine struct {
	out        io.Writer
	configPath string // flag --config
}

// rootCommand returns the command line of the program.
func rootCommand(out io.Writer) *cobra.Command {
	c := &commandLine{out: out}
	root := cli.NewRoot("pinedale-proxy", "pinedale load balancer for self-managed installations", out)
	root.PersistentFlags().StringVar(&c.configPath, "config", "", "path of the operator's file (TOML)")
	root.AddCommand(c.serveCommand(), c.checkCommand(), c.explainCommand(), c.keysCommand(), c.peersCommand())
	return root
}

// withFile returns the function of a command that needs the operator's file: it loads the file before it calls run.
func (c *commandLine) withFile(run func(file *config.File, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if c.configPath == "" {
			return errors.New("the --config flag is required\n" + cmd.UsageString())
		}
		file, err := load(c.configPath)
		if err != nil {
			return err
		}
		return run(file, args)
	}
}

// serveCommand returns the command that runs an instance.
func (c *commandLine) serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "run an instance as the file configures it",
		Args:  cobra.NoArgs,
		Long: `Run an instance as the operator's file configures it. SIGTERM begins a graceful shutdown. SIGHUP reads the file
and all keys again: classes, routes, limits and servers are replaced, or, after an error, nothing changes.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			// Without a handler, SIGHUP would end the process, even while it reads its file.
			signals := make(chan os.Signal, signalBacklog)
			signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
			return c.withFile(func(file *config.File, _ []string) error {
				return serve(c.configPath, file, signals)
			})(cmd, args)
		},
	}
}

// checkCommand returns the command that reports errors of the file and its table of classes and routes.
func (c *commandLine) checkCommand() *cobra.Command {
	var asJSON bool
	check := &cobra.Command{
		Use:   "check",
		Short: "check the file, and print its classes and routes",
		Args:  cobra.NoArgs,
		RunE: c.withFile(func(file *config.File, _ []string) error {
			if asJSON {
				return printCheckJSON(c.out, file)
			}
			return printCheck(c.out, c.configPath, file)
		}),
	}
	check.Flags().BoolVar(&asJSON, "json", false, "print the table as JSON")
	return check
}

// explainCommand returns the command that prints which route a request gets, and why.
func (c *commandLine) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain METHOD PATH ['Header: value'...]",
		Short: "print which route and class a request gets, and why",
		Args:  cobra.MinimumNArgs(2),
		RunE: c.withFile(func(file *config.File, args []string) error {
			return explain(c.out, file, args)
		}),
	}
}

// keysCommand returns the commands on certificates and keys.
func (c *commandLine) keysCommand() *cobra.Command {
	keys := &cobra.Command{Use: "keys", Short: "inspect and verify certificates and keys"}
	keys.AddCommand(c.keysShowCommand(), c.keysVerifyCommand())
	return keys
}

// keysShowCommand returns the command that prints the keys of the file.
func (c *commandLine) keysShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "print the contents of the file's keys, and how servers are verified",
		Args:  cobra.NoArgs,
		RunE: c.withFile(func(file *config.File, _ []string) error {
			return file.ShowKeys(c.out, time.Now())
		}),
	}
}

// keysVerifyCommand returns the command that checks whether files could replace those of a [[keys]] entry.
func (c *commandLine) keysVerifyCommand() *cobra.Command {
	var replacement certstore.Paths
	verify := &cobra.Command{
		Use:   "verify NAME",
		Short: "check whether new files would be accepted for the [[keys]] entry NAME",
		Args:  cobra.ExactArgs(1),
		RunE: c.withFile(func(file *config.File, args []string) error {
			if err := file.VerifyKeys(args[0], replacement); err != nil {
				return err
			}
			fmt.Fprintln(c.out, "good: these files would be accepted")
			return nil
		}),
	}
	verify.Flags().StringVar(&replacement.Cert, "cert", "", "the certificate, in place of cert_file")
	verify.Flags().StringVar(&replacement.Key, "key", "", "the private key, in place of key_file")
	verify.Flags().StringVar(&replacement.Roots, "roots", "", "the roots, in place of roots_file")
	verify.Flags().StringVar(&replacement.Revoked, "revoked", "", "the revocation list, in place of revoked_file")
	return verify
}

// load reads and checks the operator's file. Its error contains the path.
func load(path string) (*config.File, error) {
	file, err := config.Load(path)
	if err != nil {
		return nil, describeError(path, err)
	}
	return file, nil
}

// describeError adds the file's name to an error of loading it: before a single error on the same line, before several
// errors on a line of its own.
func describeError(path string, err error) error {
	lines := strings.Split(err.Error(), "\n")
	if len(lines) == 1 {
		return fmt.Errorf("%s: %w", path, err)
	}
	return errors.New(path + ":\n  " + strings.Join(lines, "\n  "))
}
