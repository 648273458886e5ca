package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"pinedale/internal/cli"
	"pinedale/internal/faulttest"
	"pinedale/internal/faulttest/schedule"
)

// newRootCommand returns the root command, which prints to out.
func newRootCommand(out io.Writer) *cobra.Command {
	runner := &runner{out: out}
	root := cli.NewRoot(programName, "run fault tests on processes of pinedale-proxy", out)
	flags := root.PersistentFlags()
	flags.StringVar(&runner.program, "program", siblingProgram("pinedale-proxy"), "path of pinedale-proxy")
	flags.StringVar(&runner.upgradeProgram, "next", "",
		"path of another build of pinedale-proxy, which faults of kind build change to")
	flags.StringVar(&runner.dir, "dir", "",
		"directory for configuration, logs and stored runs; by default a temporary one, removed if there are no findings")
	root.AddCommand(
		newRunCommand(runner),
		newReplayCommand(runner),
		newShrinkCommand(runner),
		newReportCommand(),
		newLargeListCommand(runner),
	)
	return root
}

// drawOptions are the flags of the run command that determine which schedules are generated.
type drawOptions struct {
	firstSeed    uint64
	seeds        int
	instances    int
	servers      int
	loadDuration time.Duration
	rate         float64
	agreement    string
}

// draw generates the random schedules of consecutive seeds.
func (o *drawOptions) draw() []*schedule.Schedule {
	var schedules []*schedule.Schedule
	for i := range o.seeds {
		drawn := schedule.Draw(o.firstSeed+uint64(i), o.instances, o.servers, o.loadDuration)
		drawn.Rate = o.rate
		drawn.Agreement = schedule.Agreement(o.agreement)
		schedules = append(schedules, drawn)
	}
	return schedules
}

// runDescription is the long help text of the subcommand "run".
const runDescription = "Run schedules drawn from seeds, or the one in a TOML file, and check the results. " +
	"A run with findings is stored as\nrun.json in a directory of its own, with its schedule as schedule.toml. " +
	"The command then fails with an error that names\nthe schedule."

// newRunCommand returns the command that runs drawn schedules, or the one in a file.
func newRunCommand(runner *runner) *cobra.Command {
	var options drawOptions
	command := &cobra.Command{
		Use:   "run [SCENARIO]",
		Short: "run schedules drawn from seeds, or one from a file, and check the results",
		Long:  runDescription,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if len(args) == 0 {
				return runner.runAll(command.Context(), options.draw())
			}
			read, err := readSchedule(args[0])
			if err != nil {
				return err
			}
			return runner.runAll(command.Context(), []*schedule.Schedule{read})
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.firstSeed, "seed", 1, "seed of the first schedule")
	flags.IntVar(&options.seeds, "seeds", 1, "number of schedules, with consecutive seeds")
	flags.IntVar(&runner.parallel, "parallel", 1, "schedules that run at the same time")
	flags.IntVar(&options.instances, "instances", 5, "instances of pinedale-proxy, 3 to 24")
	flags.IntVar(&options.servers, "servers", 6, "servers, in pods of two")
	flags.DurationVar(&options.loadDuration, "length", 8*time.Second, "duration of the load")
	flags.Float64Var(&options.rate, "rate", 60, "requested effects per second")
	flags.StringVar(&options.agreement, "agree", string(schedule.AgreeAlways),
		"when instances agree on an idempotency key: never, soon or always")
	return command
}

// newReplayCommand returns the command that runs the schedule of a stored run again.
func newReplayCommand(runner *runner) *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "run the schedule of a stored run again",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			read, err := readSchedule(args[0])
			if err != nil {
				return err
			}
			return runner.runAll(command.Context(), []*schedule.Schedule{read})
		},
	}
}

// newShrinkCommand returns the command that searches for the fewest faults with which a schedule fails.
func newShrinkCommand(runner *runner) *cobra.Command {
	var attempts int
	command := &cobra.Command{
		Use:   "shrink FILE",
		Short: "find the fewest faults with which the schedule of a run still fails",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			read, err := readSchedule(args[0])
			if err != nil {
				return err
			}
			shrunk := read.Shrink(func(candidate *schedule.Schedule) bool {
				return runner.failsWithin(command.Context(), candidate, attempts)
			})
			if err := command.Context().Err(); err != nil {
				return err
			}
			text, err := toml.Marshal(shrunk)
			if err != nil {
				return err
			}
			_, err = runner.out.Write(text)
			return err
		},
	}
	command.Flags().IntVar(&attempts, "attempts", 3,
		"runs without findings after which a schedule counts as passed; "+
			"processes run in real time, so that a failing schedule does not fail in every run")
	return command
}

// newReportCommand returns the command that writes the report of a stored run.
func newReportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report FILE.json PAGE.html",
		Short: "write an HTML report of a stored run, with plots of its attempts and of the instances' views",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			history, err := faulttest.ReadHistory(args[0])
			if err != nil {
				return err
			}
			return faulttest.WriteReport(args[1], history)
		},
	}
}

// siblingProgram returns the path of another program in the directory of this one.
func siblingProgram(name string) string {
	executable, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(executable), name)
}

// readSchedule reads the schedule in a TOML file, or that of a stored run if the file name ends with ".json".
func readSchedule(path string) (*schedule.Schedule, error) {
	if filepath.Ext(path) == ".json" {
		history, err := faulttest.ReadHistory(path)
		if err != nil {
			return nil, err
		}
		return history.Schedule, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	parsed, err := schedule.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return parsed, nil
}
