// Command pinedale-faulttest runs several processes of pinedale-proxy with servers and clients on
// loopback, plays faults between them, and checks what came of it. All of it ends by itself.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"pinedale/internal/faulttest"
	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/schedule"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-faulttest:", err)
		os.Exit(1)
	}
}

// run runs the program, or the rig's servers in a process that the program has started for them.
func run() error {
	if served, err := faulttest.ServeIfServerProcess(); served {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return program(os.Stdout).ExecuteContext(ctx)
}

// options are what several commands take.
type options struct {
	program, next, dir string
	seed               uint64
	seeds, parallel    int
	instances, servers int
	length             time.Duration
	rate               float64
	agree              string
	attempts           int
}

// program is the command line.
func program(out io.Writer) *cobra.Command {
	o := &options{}
	root := &cobra.Command{Use: "pinedale-faulttest", Short: "several processes of pinedale-proxy, and faults between them", SilenceErrors: true, SilenceUsage: true,
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return errors.New("a command is missing\n" + c.UsageString())
		}}
	root.SetOut(out)
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&o.program, "program", beside("pinedale-proxy"), "the program whose processes are run")
	root.PersistentFlags().StringVar(&o.next, "next", "", "another build of it, that faults of kind build go over to")
	root.PersistentFlags().StringVar(&o.dir, "dir", "", "folder for files and logs; one that is removed if all went well, where it is not given")
	run := &cobra.Command{Use: "run [SCENARIO]", Short: "play schedules drawn from seeds, or one of a file, and check what came of them", Args: cobra.MaximumNArgs(1),
		Long: "Play schedules drawn from seeds, or the one of a TOML file. A run that breaks a rule is kept as NAME.json in the\nfolder, with its schedule as NAME.toml, and the command ends with an error that names its seed.",
		RunE: func(c *cobra.Command, args []string) error {
			var all []*schedule.Schedule
			if len(args) == 1 {
				s, err := read(args[0])
				if err != nil {
					return err
				}
				all = append(all, s)
			} else {
				for n := range o.seeds {
					s := schedule.Draw(o.seed+uint64(n), o.instances, o.servers, o.length)
					s.Rate, s.Agreement = o.rate, schedule.Agreement(o.agree)
					all = append(all, s)
				}
			}
			return playAll(c.Context(), out, o, all)
		}}
	run.Flags().Uint64Var(&o.seed, "seed", 1, "of the first schedule")
	run.Flags().IntVar(&o.seeds, "seeds", 1, "schedules to play, each of the next seed")
	run.Flags().IntVar(&o.parallel, "parallel", 1, "schedules played at once")
	run.Flags().IntVar(&o.instances, "instances", 5, "of pinedale-proxy, 3 to 24")
	run.Flags().IntVar(&o.servers, "servers", 6, "in pods of two")
	run.Flags().DurationVar(&o.length, "length", 8*time.Second, "of the load")
	run.Flags().Float64Var(&o.rate, "rate", 60, "effects asked for a second")
	run.Flags().StringVar(&o.agree, "agree", "always", "of the keyed classes: never, soon or always")
	replay := &cobra.Command{Use: "replay FILE", Short: "play the schedule of a run that was kept once more", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := read(args[0])
			if err != nil {
				return err
			}
			return playAll(c.Context(), out, o, []*schedule.Schedule{s})
		}}
	shrink := &cobra.Command{Use: "shrink FILE", Short: "find the fewest faults with which the schedule of a run still fails", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := read(args[0])
			if err != nil {
				return err
			}
			shortest := s.Shrink(func(s *schedule.Schedule) bool {
				for range o.attempts {
					h, err := playOne(c.Context(), o, s)
					if c.Context().Err() != nil || err == nil && len(h.Check()) > 0 {
						return true
					}
				}
				return false
			})
			if err := c.Context().Err(); err != nil {
				return err
			}
			text, err := toml.Marshal(shortest)
			if err == nil {
				_, err = out.Write(text)
			}
			return err
		}}
	shrink.Flags().IntVar(&o.attempts, "attempts", 3, "plays without a fault found, from which a schedule counts as good: processes run in real time, and not each play fails")
	report := &cobra.Command{Use: "report FILE.json PAGE.html", Short: "draw a run that was kept: service and each instance's view, with the faults marked", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			h, err := faulttest.ReadHistory(args[0])
			if err != nil {
				return err
			}
			return faulttest.WriteReport(args[1], h)
		}}
	root.AddCommand(run, replay, shrink, report)
	return root
}

// beside is the path of another program in this one's folder.
func beside(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// read reads a schedule: a TOML file, or that of a run that was kept.
func read(path string) (*schedule.Schedule, error) {
	if filepath.Ext(path) == ".json" {
		h, err := faulttest.ReadHistory(path)
		if err != nil {
			return nil, err
		}
		return h.Schedule, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := schedule.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// playOne plays a schedule in a folder of its own, which is kept where something went wrong.
func playOne(ctx context.Context, o *options, s *schedule.Schedule) (*history.History, error) {
	program, err := exec.LookPath(o.program)
	if err != nil {
		return nil, fmt.Errorf("%w: build ./cmd/pinedale-proxy, or name it with --program", err)
	}
	dir, err := os.MkdirTemp(o.dir, "run-")
	if err != nil {
		return nil, err
	}
	h, err := faulttest.Run(ctx, faulttest.Options{Schedule: s, Program: program, UpgradeProgram: o.next, Dir: dir, Log: slog.Default()})
	if err == nil && o.dir == "" && len(h.Check()) == 0 {
		os.RemoveAll(dir)
	}
	if err == nil {
		err = keep(dir, o, h)
	}
	return h, err
}

// keep writes a run that is to be looked at.
func keep(dir string, o *options, h *history.History) error {
	if o.dir == "" && len(h.Check()) == 0 {
		return nil
	}
	if err := faulttest.WriteHistory(filepath.Join(dir, "run.json"), h); err != nil {
		return err
	}
	text, err := toml.Marshal(h.Schedule)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "schedule.toml"), text, 0o644)
}

// playAll plays schedules and prints a line for each, and what they come to.
func playAll(ctx context.Context, out io.Writer, o *options, all []*schedule.Schedule) error {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var settled []time.Duration
	var failed []string
	total := history.Summary{ByStatus: map[int]int{}}
	faults := 0
	turn := make(chan struct{}, max(1, o.parallel))
	for _, s := range all {
		wait.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			if ctx.Err() != nil {
				return
			}
			h, err := playOne(ctx, o, s)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed, fmt.Sprintf("%s: %v", s.Name, err))
				fmt.Fprintf(out, "%s: %v\n", s.Name, err)
				return
			}
			sum := h.Summarize()
			total.Effects, total.Attempts, total.Served = total.Effects+sum.Effects, total.Attempts+sum.Attempts, total.Served+sum.Served
			total.InstanceChanges += sum.InstanceChanges
			for code, n := range sum.ByStatus {
				total.ByStatus[code] += n
			}
			faults += len(s.Faults)
			settled = append(settled, h.ConvergenceTime)
			found := h.Check()
			fmt.Fprintf(out, "%s: %d faults, %d effects, %d tries, served %.1f%% (median %v, 99%% %v), same copies after %v, %d findings\n", s.Name, len(s.Faults), sum.Effects, sum.Attempts,
				100*float64(sum.Served)/float64(max(1, sum.Effects)), sum.MedianLatency.Round(100*time.Microsecond), sum.P99Latency.Round(100*time.Microsecond), h.ConvergenceTime.Round(100*time.Millisecond), len(found))
			for n, f := range found {
				if n == 5 {
					fmt.Fprintf(out, "  and %d more\n", len(found)-n)
					break
				}
				fmt.Fprintf(out, "  %s\n", f)
			}
			if len(found) > 0 {
				failed = append(failed, s.Name)
				for _, f := range s.Faults {
					fmt.Fprintf(out, "  with %s\n", f)
				}
			}
		})
	}
	wait.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	slices.Sort(settled)
	at := func(q float64) time.Duration {
		if len(settled) == 0 {
			return 0
		}
		return settled[min(len(settled)-1, int(q*float64(len(settled))))].Round(100 * time.Millisecond)
	}
	fmt.Fprintf(out, "%d schedules, %d faults, %d effects, %d tries (%d keyed ones at another instance than the one before), answers by code %v, served %.1f%%; same copies after %v (median), %v (nine of ten), %v (at most)\n",
		len(all), faults, total.Effects, total.Attempts, total.InstanceChanges, total.ByStatus, 100*float64(total.Served)/float64(max(1, total.Effects)), at(0.5), at(0.9), at(1))
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d schedules failed: %v", len(failed), len(all), failed)
	}
	return nil
}
