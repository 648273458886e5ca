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

// useLine is the program's name and arguments.
const useLine = "pinedale-register -servers HOST:PORT,... -path DIR -name NAME -address HOST:PORT " +
	"[FLAGS] [-- COMMAND ARG...]"

// description is printed by help.
const description = `Start a server, register its ephemeral node once it listens, and on SIGTERM remove the node first,
so that no new requests come when the server ends. Without a command it only keeps the node.`

// completionCommand is the name of cobra's command that prints completion scripts.
const completionCommand = "completion"

// exitUsage is the exit code after an error of the flags.
const exitUsage = 2

// The defaults of flags.
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
	grace         time.Duration // between the node's removal and the server's end
	command       []string      // starts the server; empty if another program does
}

// rootCommand returns the command line of the program, which is given args.
func rootCommand(args []string) *cobra.Command {
	opts := &options{}
	root := cli.NewRoot(useLine, "keep a server's ephemeral node alive beside it", os.Stdout)
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
	flags.StringVar(&node.Address, "address", "", "`host:port` where the server takes requests")
	flags.StringVar(&node.Site, "site", "", "`site` of the server")
	flags.StringVar(&node.Kind, "kind", "", "`kind` of machine")
	flags.IntVar(&node.Cell, "pod", 0, "`number` of the pod that the server belongs to")
	flags.Float64Var(&node.Weight, "share", defaultShare, "`weight` of the server's share of requests")
	flags.DurationVar(&registration.SessionTimeout, "session", defaultSessionTimeout,
		"session timeout: the node goes if the service hears nothing for so long")
	flags.StringVar(&opts.digestFile, "digest-file", "", "`file` with user:password")
	flags.DurationVar(&opts.listenTimeout, "wait", defaultListenTimeout, "how long the server may take to listen")
	flags.DurationVar(&opts.grace, "grace", defaultGrace,
		"time between the node's removal and the server's end: the drain rule")
}

// flagError prints an error of the flags and the usage, and returns the error that ends the program.
func flagError(cmd *cobra.Command, err error) error {
	fmt.Fprintf(cmd.ErrOrStderr(), "%v\nusage: %s\n\n%s", err, cmd.UseLine(), cmd.LocalFlags().FlagUsages())
	return &cli.ExitError{Code: exitUsage, Err: errors.New("see above")}
}

// run completes the options, and keeps the node until the server or the program is to end.
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
