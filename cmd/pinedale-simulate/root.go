package main

import (
	"errors"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"pinedale/internal/cli"
	"pinedale/internal/emulator/baselines"
)

// description is printed by help. The names of the policies follow it.
const description = `Play scenarios of bad market mornings: the real engine and decision module against emulated
servers, on virtual time or on loopback sockets.

Policies: `

// usage ends the error of a command line that the program does not take. The names of the policies follow it.
const usage = `usage: pinedale-simulate demo [-length 12s]
       pinedale-simulate run [-seed N] [-policy NAME] [-sockets] [-html FILE] SCENARIO
       pinedale-simulate compare [-seeds N] [-policy NAME] [-against NAME] SCENARIO [SCENARIO]
       pinedale-simulate record [-seed N] [-policy NAME] [-sockets] -out FILE SCENARIO
       pinedale-simulate replay FILE
       pinedale-simulate agree [-seed N] SCENARIO...
       pinedale-simulate rank [-seeds N] SCENARIO...

  demo     a small fleet, discovery, pinedale-proxy and clients on loopback sockets
  run      play a scenario, on virtual time or sockets, and say what came of it
  compare  play two scenarios, or one with two policies, on the same seeds, and say how
           they differ and how much is noise
  record   write what is asked, decided and answered as a trace
  replay   play a trace again on virtual time, and name the first event that differs; of
           one from sockets, how the counts differ
  agree    play scenarios on both hosts, and say by how much they differ
  rank     play scenarios with each policy, and set their G side by side

policies: `

const (
	defaultSeeds = 10     // of compare and rank
	maxSeeds     = 10_000 // of compare and rank
)

// commandLine builds the commands. All of them print to out and report their progress.
type commandLine struct {
	out      io.Writer
	progress progressFunc
}

// rootCommand returns the command line of the program.
func rootCommand(out io.Writer, progress progressFunc) *cobra.Command {
	c := &commandLine{out: out, progress: progress}
	root := cli.NewRoot("pinedale-simulate", "play scenarios of bad market mornings", out)
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

// usageError returns the error of a command line that the program does not take.
func usageError() error {
	return errors.New("see how it is used\n" + usage + policyNames())
}

// policyNames returns the names of all policies in one line.
func policyNames() string {
	return strings.Join(baselines.Names(), ", ")
}

// countArgs returns a check of the number of arguments that fails with the usage.
func countArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if check(cmd, args) != nil {
			return usageError()
		}
		return nil
	}
}

// addSeedFlag adds the flag for the seed of a single play.
func addSeedFlag(command *cobra.Command, seed *uint64) {
	command.Flags().Uint64Var(seed, "seed", 0, "seed of the play (0 for the scenario's)")
}

// addSeedsFlag adds the flag for the number of seeds of a comparison.
func addSeedsFlag(command *cobra.Command, seeds *int) {
	command.Flags().IntVar(seeds, "seeds", defaultSeeds, "number of seeds to play, from 1 on")
}

// addPolicyFlag adds a flag for the name of a policy.
func addPolicyFlag(command *cobra.Command, policy *string, name, value, description string) {
	command.Flags().StringVar(policy, name, value, description)
	completion := cobra.FixedCompletions(baselines.Names(), cobra.ShellCompDirectiveNoFileComp)
	if err := command.RegisterFlagCompletionFunc(name, completion); err != nil {
		panic(err) // the flag is there, and has no other completion
	}
}

// addSocketsFlag adds the flag for the host of a play.
func addSocketsFlag(command *cobra.Command, onSockets *bool) {
	command.Flags().BoolVar(onSockets, "sockets", false, "play on loopback sockets, in real time")
}
