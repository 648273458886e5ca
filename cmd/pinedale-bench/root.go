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
		"All of them stay on loopback and end by themselves."
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

// result is the result of a measurement. One that must keep rules has a method Violation, too.
type result interface {
	Print(w io.Writer)
}

// checkedResult is a result that may have broken a rule.
type checkedResult interface {
	result
	Violation() string // which rule is broken, "" for none
}

// newCommand returns a command that makes a measurement and prints its result. A broken rule is an error.
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
					return errors.New("broken: " + reason)
				}
			}
			return nil
		},
	}
}

// withTempDir makes a measurement with a directory that is removed afterwards.
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

// addSeedFlag adds the flag for the seed of what is random.
func addSeedFlag(flags *pflag.FlagSet, seed *uint64, usage string) {
	flags.Uint64Var(seed, "seed", 1, usage)
}
