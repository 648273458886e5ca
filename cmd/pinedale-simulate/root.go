package main

import (
	"errors"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"pinedale/internal/cli"
	"pinedale/internal/emulator/baselines"
)

// description is printed by help, followed by the names of the policies.
const description = `Run scenarios of load and faults: the real engine and decision module against emulated servers, on
virtual time or on loopback sockets.

Policies: `

// usage is printed after the error message for an invalid command line, followed by the names of the policies.
const usage = `usage: pinedale-simulate demo [-length 12s]
       pinedale-simulate run [-seed N] [-policy NAME] [-sockets] [-html FILE] SCENARIO
       pinedale-simulate compare [-seeds N] [-policy NAME] [-against NAME] SCENARIO [SCENARIO]
       pinedale-simulate record [-seed N] [-policy NAME] [-sockets] -out FILE SCENARIO
       pinedale-simulate replay FILE
       pinedale-simulate agree [-seed N] SCENARIO...
       pinedale-simulate rank [-seeds N] SCENARIO...

  demo     run a small fleet, discovery, pinedale-proxy and clients on loopback sockets
  run      run a scenario on virtual time or sockets, and print its result
  compare  run two scenarios, or one with two policies, with the same seeds, and print
           how they differ and whether the differences are more than noise
  record   run a scenario and write its requests, decisions and responses as a trace
  replay   run the scenario of a trace on virtual time, and print the first event that
           differs; for a trace from sockets, print the event counts of both runs
  agree    run scenarios on virtual time and on sockets, and print how much their scores
           differ
  rank     run scenarios with each policy, and print a table of their mean scores G

policies: `

const (
	defaultSeeds = 10     // of compare and rank
	maxSeeds     = 10_000 // of compare and rank
)

// commandLine builds the commands and holds what they share: the output and the progress display.
type commandLine struct {
	out      io.Writer
	progress progressFunc
}

// rootCommand returns the command line of the program.
func rootCommand(out io.Writer, progress progressFunc) *cobra.Command {
	c := &commandLine{out: out, progress: progress}
	root := cli.NewRoot("pinedale-simulate", "run scenarios of load and faults against emulated servers", out)
	root.Long = description + policyNames()
	root.Args = cobra.ArbitraryArgs
	root.RunE = func(*cobra.Command, []string) error { return usageError() }
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return errors.Join(err, usageError())
	})
	root.AddCommand(
		c.demoCommand(),
		c.runCommand(),
		c.compareCommand(),
		c.recordCommand(),
		c.replayCommand(),
		c.agreeCommand(),
		c.rankCommand(),
	)
	return root
}

// usageError returns the error for an invalid command line, with the usage text.
func usageError() error {
	return errors.New("invalid command line\n" + usage + policyNames())
}

// policyNames returns the names of all policies in one line.
func policyNames() string {
	return strings.Join(baselines.Names(), ", ")
}

// withUsageError wraps a check of the positional arguments so that it fails with usageError.
func withUsageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if check(cmd, args) != nil {
			return usageError()
		}
		return nil
	}
}

// addSeedFlag adds the flag for the seed of a single run.
func addSeedFlag(command *cobra.Command, seed *uint64) {
	command.Flags().Uint64Var(seed, "seed", 0, "seed of the run (0 for the scenario's)")
}

// addSeedsFlag adds the flag for the number of seeds of a comparison.
func addSeedsFlag(command *cobra.Command, seeds *int) {
	command.Flags().IntVar(seeds, "seeds", defaultSeeds, "number of seeds to run, starting with seed 1")
}

// addPolicyFlag adds a flag for the name of a policy.
func addPolicyFlag(command *cobra.Command, policy *string, name, value, description string) {
	command.Flags().StringVar(policy, name, value, description)
	completion := cobra.FixedCompletions(baselines.Names(), cobra.ShellCompDirectiveNoFileComp)
	if err := command.RegisterFlagCompletionFunc(name, completion); err != nil {
		panic(err) // cannot happen: the flag exists and has no other completion
	}
}

// addSocketsFlag adds the flag that selects loopback sockets in place of virtual time.
func addSocketsFlag(command *cobra.Command, onSockets *bool) {
	command.Flags().BoolVar(onSockets, "sockets", false, "run on loopback sockets in real time")
}
