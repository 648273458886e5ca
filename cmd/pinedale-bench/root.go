package main

import (
	"errors"
	"io"
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"pinedale/internal/cli"
)

const programName = "pinedale-bench"

// newRoot returns the program's command line. It prints results and help to out.
func newRoot(out io.Writer) *cobra.Command {
	root := cli.NewRoot(programName, "measurements that are too long for the tests", out)
	root.Long = "Runs the measurements that are too long for the tests. " +
		"All of them use only the loopback interface, and end by themselves."
	root.AddCommand(
		newVerdictsCommand(),
		newFrontsCommand(),
		newServersCommand(),
		newRemovalCommand(),
		newNodesCommand(),
		newTenantsCommand(),
		newRotationsCommand(),
		newHandshakesCommand(),
		newTLSCommand(),
		newReconnectCommand(),
		newNewcomerCommand(),
		newDeparturesCommand(),
		newGossipCommand(),
		newPropertiesCommand(),
		newNoopCommand(),
	)
	return root
}

// result is the result of a measurement. If the measurement checks rules, its result is a checkedResult, too.
type result interface {
	Print(w io.Writer)
}

// checkedResult is a result that may violate a rule.
type checkedResult interface {
	result
	Violation() string // describes the violated rule, "" for none
}

// newCommand returns a command that runs a measurement and prints its result. A violated rule is an error.
func newCommand(name, short string, measure func(cmd *cobra.Command) (result, error)) *cobra.Command {
	return &cobra.Command{
		Use:   name,
		Short: short,
		RunE: func(cmd *cobra.Command, _ []string) error {
			measured, err := measure(cmd)
			if err != nil {
				return err
			}
			measured.Print(cmd.OutOrStdout())
			if checked, ok := measured.(checkedResult); ok {
				if reason := checked.Violation(); reason != "" {
					return errors.New("rule violated: " + reason)
				}
			}
			return nil
		},
	}
}

// withTempDir runs a measurement with a directory that is removed afterwards.
func withTempDir(measure func(dir string) (result, error)) (result, error) {
	dir, err := os.MkdirTemp("", programName)
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	return measure(dir)
}

// addServersFlag adds the flag for the number of servers.
func addServersFlag(flags *pflag.FlagSet, servers *int, value int, usage string) {
	flags.IntVar(servers, "servers", value, usage)
}

// addSeedFlag adds the flag for a random seed.
func addSeedFlag(flags *pflag.FlagSet, seed *uint64, usage string) {
	flags.Uint64Var(seed, "seed", 1, usage)
}
