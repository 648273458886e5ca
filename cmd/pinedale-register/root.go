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
	o := &options{}
	root := cli.NewRoot(useLine, "keep a server's ephemeral node alive beside it", os.Stdout)
	root.Long = description
	root.DisableFlagsInUseLine = true
	root.Args = cobra.ArbitraryArgs
	root.RunE = func(_ *cobra.Command, args []string) error {
		o.command = args
		return run(o)
	}
	root.SetFlagErrorFunc(flagError)
	// After a flag, "completion" may be the name of the server's program.
	root.CompletionOptions.DisableDefaultCmd = len(args) == 0 || args[0] != completionCommand
	addFlags(root, o)
	cli.EndFlagsAtFirstArgument(root)
	return root
}

// addFlags adds the flags that set the options.
func addFlags(root *cobra.Command, o *options) {
	registration := &o.registration
	node := &registration.Data
	flags := root.Flags()
	flags.StringVar(&o.servers, "servers", "", "of the coordination service, with commas between")
	flags.StringVar(&registration.Path, "path", defaultPath, "directory of the nodes")
	flags.StringVar(&registration.Name, "name", "", "of this server: the same after a restart")
	flags.StringVar(&node.Address, "address", "", "host:port where it takes requests")
	flags.StringVar(&node.Site, "site", "", "where it stands")
	flags.StringVar(&node.Kind, "kind", "", "of machine")
	flags.IntVar(&node.Cell, "pod", 0, "that it belongs to")
	flags.Float64Var(&node.Weight, "share", defaultShare, "of the requests, against the others")
	flags.DurationVar(&registration.SessionTimeout, "session", defaultSessionTimeout,
		"the node goes if nothing is heard of us for so long")
	flags.StringVar(&o.digestFile, "digest-file", "", "file with user:password")
	flags.DurationVar(&o.listenTimeout, "wait", defaultListenTimeout, "for the server to listen")
	flags.DurationVar(&o.grace, "grace", defaultGrace, "between the node's end and the server's: the rule on drains")
}

// flagError prints an error of the flags and the usage, and returns the error that ends the program.
func flagError(cmd *cobra.Command, err error) error {
	fmt.Fprintf(cmd.ErrOrStderr(), "%v\nusage: %s\n\n%s", err, cmd.UseLine(), cmd.LocalFlags().FlagUsages())
	return &cli.ExitError{Code: exitUsage, Err: errors.New("see above")}
}

// run completes the options, and keeps the node until the server or the program is to end.
func run(o *options) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	registration := &o.registration
	registration.Log = log
	registration.Data.StartedMS = time.Now().UnixMilli()
	if o.servers != "" {
		registration.Servers = strings.Split(o.servers, ",")
	}
	if o.digestFile != "" {
		digest, err := os.ReadFile(o.digestFile)
		if err != nil {
			return err
		}
		registration.Digest = strings.TrimSpace(string(digest))
	}
	registrar, err := register.New(*registration)
	if err != nil {
		return err
	}
	s := &supervisor{options: o, log: log, registrar: registrar}
	return s.run()
}
