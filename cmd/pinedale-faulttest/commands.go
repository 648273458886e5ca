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

// newRootCommand returns the command line, which prints to out.
func newRootCommand(out io.Writer) *cobra.Command {
	player := &player{out: out}
	root := cli.NewRoot(programName, "several processes of pinedale-proxy, and faults between them", out)
	flags := root.PersistentFlags()
	flags.StringVar(&player.program, "program", siblingProgram("pinedale-proxy"), "the program whose processes are run")
	flags.StringVar(&player.upgradeProgram, "next", "", "another build of it, that faults of kind build go over to")
	flags.StringVar(&player.dir, "dir", "",
		"folder for files and logs; one that is removed if all went well, where it is not given")
	root.AddCommand(
		newRunCommand(player),
		newReplayCommand(player),
		newShrinkCommand(player),
		newReportCommand(),
		newLargeListCommand(player),
	)
	return root
}

// drawOptions are the flags of run that determine the schedules to draw.
type drawOptions struct {
	firstSeed    uint64
	seeds        int
	instances    int
	servers      int
	loadDuration time.Duration
	rate         float64
	agreement    string
}

// draw draws the schedules of successive seeds.
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

// runDescription is the description of run.
const runDescription = "Play schedules drawn from seeds, or the one of a TOML file. " +
	"A run that breaks a rule is kept as NAME.json in the\n" +
	"folder, with its schedule as NAME.toml, and the command ends with an error that names its seed."

// newRunCommand returns the command that plays drawn schedules, or that of a file.
func newRunCommand(player *player) *cobra.Command {
	var options drawOptions
	command := &cobra.Command{
		Use:   "run [SCENARIO]",
		Short: "play schedules drawn from seeds, or one of a file, and check what came of them",
		Long:  runDescription,
		Args:  cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if len(args) == 0 {
				return player.playAll(command.Context(), options.draw())
			}
			read, err := readSchedule(args[0])
			if err != nil {
				return err
			}
			return player.playAll(command.Context(), []*schedule.Schedule{read})
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.firstSeed, "seed", 1, "of the first schedule")
	flags.IntVar(&options.seeds, "seeds", 1, "schedules to play, each of the next seed")
	flags.IntVar(&player.parallel, "parallel", 1, "schedules played at once")
	flags.IntVar(&options.instances, "instances", 5, "of pinedale-proxy, 3 to 24")
	flags.IntVar(&options.servers, "servers", 6, "in pods of two")
	flags.DurationVar(&options.loadDuration, "length", 8*time.Second, "of the load")
	flags.Float64Var(&options.rate, "rate", 60, "effects asked for a second")
	flags.StringVar(&options.agreement, "agree", string(schedule.AgreeAlways),
		"of the keyed classes: never, soon or always")
	return command
}

// newReplayCommand returns the command that plays the schedule of a stored run.
func newReplayCommand(player *player) *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "play the schedule of a run that was kept once more",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			read, err := readSchedule(args[0])
			if err != nil {
				return err
			}
			return player.playAll(command.Context(), []*schedule.Schedule{read})
		},
	}
}

// newShrinkCommand returns the command that searches for the fewest faults with which a schedule fails.
func newShrinkCommand(player *player) *cobra.Command {
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
				return player.failsWithin(command.Context(), candidate, attempts)
			})
			if err := command.Context().Err(); err != nil {
				return err
			}
			text, err := toml.Marshal(shrunk)
			if err != nil {
				return err
			}
			_, err = player.out.Write(text)
			return err
		},
	}
	command.Flags().IntVar(&attempts, "attempts", 3,
		"plays without a fault found, from which a schedule counts as good: "+
			"processes run in real time, and not each play fails")
	return command
}

// newReportCommand returns the command that writes a report of a stored run.
func newReportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report FILE.json PAGE.html",
		Short: "draw a run that was kept: service and each instance's view, with the faults marked",
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

// readSchedule reads the schedule of a TOML file, or that of a stored run, whose file name ends with ".json".
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
