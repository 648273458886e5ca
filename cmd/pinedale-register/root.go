package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pinedale/internal/cli"
	"pinedale/internal/membership/register"
)

// useLine is the usage line of the program.
const useLine = "pinedale-register -servers HOST:PORT,... -path DIR -name NAME -address HOST:PORT " +
	"[FLAGS] [-- COMMAND ARG...]"

// description is the text of the program's help.
const description = `Start a server, register its ephemeral node once it listens, and on SIGTERM remove the node first,
so that no new requests arrive when the server ends. Without a command, only maintain the node.`

// completionCommand is the name of cobra's command that prints completion scripts.
const completionCommand = "completion"

// exitUsage is the exit code after invalid flags.
const exitUsage = 2

// Defaults of flags.
const (
	defaultPath           = "/soko"
	defaultShare          = 1
	defaultSessionTimeout = 15 * time.Second
	defaultListenTimeout  = time.Minute
	defaultGrace          = 2 * time.Second
)

// options are the flags and arguments of the program.
type options struct {
	registration  register.Options
	servers       string // addresses of the service, separated by commas
	digestFile    string
	listenTimeout time.Duration
	grace         time.Duration // between the removal of the node and the end of the server
	command       []string      // starts the server; empty if another program starts it
}

// rootCommand returns the root command. args are the command line of the program.
func rootCommand(args []string) *cobra.Command {
	opts := &options{}
	root := cli.NewRoot(useLine, "maintain the ephemeral node of a server that runs beside it", os.Stdout)
	root.Long = description
	root.DisableFlagsInUseLine = true
	root.Args = cobra.ArbitraryArgs
	root.RunE = func(_ *cobra.Command, args []string) error {
		opts.command = args
		return run(opts)
	}
	root.SetFlagErrorFunc(flagError)
	// After a flag, "completion" may be the name of the server's program.
	root.CompletionOptions.DisableDefaultCmd = len(args) == 0 || args[0] != completionCommand
	addFlags(root, opts)
	cli.EndFlagsAtFirstArgument(root)
	return root
}

// addFlags adds the flags that set the options.
func addFlags(root *cobra.Command, opts *options) {
	registration := &opts.registration
	node := &registration.Data
	flags := root.Flags()
	flags.StringVar(&opts.servers, "servers", "", "`addresses` of the coordination service, separated by commas")
	flags.StringVar(&registration.Path, "path", defaultPath, "`directory` of the nodes")
	flags.StringVar(&registration.Name, "name", "", "`name` of this server, the same after a restart")
	flags.StringVar(&node.Address, "address", "", "`host:port` where the server accepts requests")
	flags.StringVar(&node.Site, "site", "", "`site` of the server")
	flags.StringVar(&node.Kind, "kind", "", "`kind` of machine")
	flags.IntVar(&node.Cell, "pod", 0, "`number` of the pod that the server belongs to")
	flags.Float64Var(&node.Weight, "share", defaultShare, "`weight` of the server's share of requests")
	flags.DurationVar(&registration.SessionTimeout, "session", defaultSessionTimeout,
		"session timeout: the service removes the node if it receives nothing for this long")
	flags.StringVar(&opts.digestFile, "digest-file", "", "`file` with user:password")
	flags.DurationVar(&opts.listenTimeout, "wait", defaultListenTimeout, "how long to wait for the server to listen")
	flags.DurationVar(&opts.grace, "grace", defaultGrace,
		"drain time between the removal of the node and the end of the server")
}

// flagError prints an error about the flags and the usage, and returns the error that ends the program.
func flagError(cmd *cobra.Command, err error) error {
	fmt.Fprintf(cmd.ErrOrStderr(), "%v\nusage: %s\n\n%s", err, cmd.UseLine(), cmd.LocalFlags().FlagUsages())
	return &cli.ExitError{Code: exitUsage, Err: errors.New("invalid command line")}
}

// run completes the options and maintains the node until the server or the program ends.
func run(opts *options) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	registration := &opts.registration
	registration.Log = log
	registration.Data.StartedMS = time.Now().UnixMilli()
	if opts.servers != "" {
		registration.Servers = strings.Split(opts.servers, ",")
	}
	if opts.digestFile != "" {
		digest, err := os.ReadFile(opts.digestFile)
		if err != nil {
			return err
		}
		registration.Digest = strings.TrimSpace(string(digest))
	}
	registrar, err := register.New(*registration)
	if err != nil {
		return err
	}
	s := &supervisor{options: opts, log: log, registrar: registrar}
	return s.run()
}
