// Command pinedale-simulate plays scenarios of bad market mornings: the real engine and
// decision module against emulated servers, on virtual time or on loopback sockets.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"sync"
	"time"

	"pinedale/internal/emulator/baselines"
	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/realtime"
	"pinedale/internal/emulator/scenario"
	"pinedale/internal/emulator/simulation"
	"pinedale/internal/emulator/trace"
)

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

// options are what the commands are given.
type options struct {
	seed            uint64
	seeds           int
	policy, against string
	html, out       string
	sockets         bool
	length          time.Duration
}

func main() {
	if err := run(os.Args[1:], os.Stdout, progressTo(os.Stderr)); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-simulate:", err)
		os.Exit(1)
	}
}

// progress is told how far a play has come, in a line that is written over.
type progress func(at, of time.Duration)

// progressTo writes to a terminal, at most ten times a second.
func progressTo(out *os.File) progress {
	if info, err := out.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func(_, _ time.Duration) {}
	}
	var last time.Time
	return func(at, of time.Duration) {
		if at >= of {
			fmt.Fprintf(out, "\r%40s\r", "")
		} else if time.Since(last) > 100*time.Millisecond {
			last = time.Now()
			fmt.Fprintf(out, "\r%v of %v", at.Round(time.Second), of)
		}
	}
}

func run(args []string, out io.Writer, p progress) error {
	help := errors.New("see how it is used\n" + usage + strings.Join(baselines.Names(), ", "))
	if len(args) == 0 {
		return help
	}
	var o options
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	switch args[0] {
	case "run", "record", "compare":
		flags.StringVar(&o.policy, "policy", baselines.Module, "that decides")
	}
	switch args[0] {
	case "run", "record", "agree":
		flags.Uint64Var(&o.seed, "seed", 0, "in place of the scenario's")
	case "compare", "rank":
		flags.IntVar(&o.seeds, "seeds", 10, "to compare on")
	}
	switch args[0] {
	case "compare":
		flags.StringVar(&o.against, "against", "", "the second's policy, the first's where it is not given")
	case "demo":
		flags.DurationVar(&o.length, "length", 12*time.Second, "of the demo")
	}
	if args[0] == "run" || args[0] == "record" {
		flags.BoolVar(&o.sockets, "sockets", false, "on loopback sockets, as long as it takes")
	}
	switch args[0] {
	case "run":
		flags.StringVar(&o.html, "html", "", "file for a report")
	case "record":
		flags.StringVar(&o.out, "out", "", "file for the trace")
	}
	if err := flags.Parse(args[1:]); err != nil {
		return errors.Join(err, help)
	}
	n := flags.NArg()
	switch {
	case args[0] == "run" && n == 1:
		return one(out, flags.Arg(0), o, p)
	case args[0] == "demo" && n == 0 && o.length >= time.Second && o.length <= time.Hour:
		return demo(out, o.length)
	case args[0] == "compare" && n >= 1 && n <= 2 && o.seeds >= 2 && o.seeds <= 10_000:
		return compare(out, flags.Args(), o, p)
	case args[0] == "record" && n == 1 && o.out != "":
		return record(out, flags.Arg(0), o, p)
	case args[0] == "rank" && n >= 1 && o.seeds >= 1 && o.seeds <= 10_000:
		return rank(out, flags.Args(), o, p)
	case args[0] == "agree" && n >= 1:
		return agree(out, flags.Args(), o)
	case args[0] == "replay" && n == 1:
		return replay(out, flags.Arg(0), p)
	}
	return help
}

// load reads a scenario file, and its text.
func load(path string) (*scenario.File, string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	f, err := scenario.Parse(text)
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	return f, string(text), nil
}

// playOn plays on one of the hosts.
func playOn(host string, s *plan.Scenario, policy string, watch func(trace.Event), p progress) (*plan.Result, error) {
	decide, err := baselines.Named(policy, s.Weights)
	if err != nil {
		return nil, err
	}
	report := func(at time.Duration) { p(at, s.Length) }
	if host == trace.Sockets {
		return realtime.Run(context.Background(), s, realtime.Options{Decide: decide, Watch: watch, Progress: report})
	}
	return simulation.Run(s, simulation.Options{Decide: decide, Watch: watch, Progress: report})
}

func (o *options) host() string {
	if o.sockets {
		return trace.Sockets
	}
	return trace.Virtual
}

func broken(r *plan.Result) error {
	if reason := r.Violations(); reason != "" {
		return errors.New("a rule was broken: " + reason)
	}
	return nil
}

func one(out io.Writer, path string, o options, p progress) error {
	f, _, err := load(path)
	if err != nil {
		return err
	}
	s := f.Plan(o.seed)
	began := time.Now()
	r, err := playOn(o.host(), s, o.policy, nil, p)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, seed %d, %s, %s: %v played in %v\n", f.Name, s.Seed, o.policy, o.host(), s.Length, time.Since(began).Round(time.Millisecond))
	f.WriteText(out, s, r)
	if o.html != "" {
		if err := write(o.html, func(w io.Writer) error { return f.WriteHTML(w, s, r) }); err != nil {
			return err
		}
	}
	return broken(r)
}

// write makes a file of what is written to it.
func write(path string, what func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(what(file), file.Close())
}

// record plays a scenario and keeps its trace.
func record(out io.Writer, path string, o options, p progress) error {
	f, text, err := load(path)
	if err != nil {
		return err
	}
	s := f.Plan(o.seed)
	var r *plan.Result
	events := 0
	err = write(o.out, func(file io.Writer) (err error) {
		w := trace.NewWriter(file, trace.Header{Host: o.host(), Policy: o.policy, Seed: s.Seed, Scenario: text})
		if r, err = playOn(o.host(), s, o.policy, func(e trace.Event) { events++; w.Write(e) }, p); err != nil {
			return err
		}
		return w.Close()
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, seed %d, %s: %d events, G %.3f\n", f.Name, s.Seed, o.policy, events, s.Score(r))
	return broken(r)
}

// replay plays a trace's scenario again and compares, event for event.
func replay(out io.Writer, path string, p progress) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	old, err := trace.NewReader(file)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	f, err := scenario.Parse([]byte(old.Header.Scenario))
	if err != nil {
		return fmt.Errorf("%s: line 1: scenario: %w", path, err)
	}
	s := f.Plan(old.Header.Seed)
	if old.Header.Host == trace.Sockets {
		return recount(out, path, f, s, old, p)
	}
	same, events := true, 0
	var fault error
	r, err := playOn(trace.Virtual, s, old.Header.Policy, func(e trace.Event) {
		if !same || fault != nil {
			return
		}
		was, err := old.Read()
		switch {
		case errors.Is(err, io.EOF):
			same = false
			fmt.Fprintf(out, "the trace ends after %d events; now there is one more: %+v\n", events, e)
		case err != nil:
			fault = err
		case was != e:
			same = false
			fmt.Fprintf(out, "line %d differs:\n  then %+v\n  now  %+v\n", old.Line(), was, e)
		default:
			events++
		}
	}, p)
	if err == nil {
		err = fault
	}
	if err == nil && same {
		if was, end := old.Read(); end == nil {
			same = false
			fmt.Fprintf(out, "the trace goes on after %d events, with %+v\n", events, was)
		} else if !errors.Is(end, io.EOF) {
			err = end
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if !same {
		return errors.New("it plays otherwise")
	}
	fmt.Fprintf(out, "%s, seed %d, %s: all %d events are the same, G %.3f\n", f.Name, s.Seed, old.Header.Policy, events, s.Score(r))
	return nil
}

// recount plays the scenario of a trace from sockets on virtual time. Real time is in
// such a trace: only the counts can be compared.
func recount(out io.Writer, path string, f *scenario.File, s *plan.Scenario, old *trace.Reader, p progress) error {
	names := []string{"tries", "answered 200", "answered 503", "other answers", "clients gone", "attempts", "servers fallen"}
	count := func(n []int, e trace.Event) {
		switch {
		case e.Kind == trace.KindRequest:
			n[0]++
		case e.Kind == trace.KindResponse && e.Code == 200:
			n[1]++
		case e.Kind == trace.KindResponse && e.Code == 503:
			n[2]++
		case e.Kind == trace.KindResponse && e.Code == plan.CodeDisconnected:
			n[4]++
		case e.Kind == trace.KindResponse:
			n[3]++
		case e.Kind == trace.KindAttempt:
			n[5]++
		case e.Kind == trace.KindCollapse:
			n[6]++
		}
	}
	then, now := make([]int, len(names)), make([]int, len(names))
	for {
		e, err := old.Read()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		count(then, e)
	}
	if _, err := playOn(trace.Virtual, s, old.Header.Policy, func(e trace.Event) { count(now, e) }, p); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, seed %d, %s\n%-16s %9s %9s\n", f.Name, s.Seed, old.Header.Policy, "", "sockets", "virtual")
	for i, name := range names {
		fmt.Fprintf(out, "%-16s %9d %9d\n", name, then[i], now[i])
	}
	return nil
}

// maxDifference is by how much G may differ between the hosts.
const maxDifference = 0.03

// agree plays each scenario on both hosts, those on sockets side by side.
func agree(out io.Writer, paths []string, o options) error {
	none := func(_, _ time.Duration) {}
	type both struct {
		name          string
		s             *plan.Scenario
		virtual, live *plan.Result
		err           error
	}
	all := make([]both, len(paths))
	var tasks sync.WaitGroup
	for i, path := range paths {
		f, _, err := load(path)
		if err != nil {
			return err
		}
		x := &all[i]
		x.name, x.s = f.Name, f.Plan(o.seed)
		if x.virtual, err = playOn(trace.Virtual, x.s, baselines.Module, nil, none); err != nil {
			return err
		}
		tasks.Go(func() { x.live, x.err = playOn(trace.Sockets, x.s, baselines.Module, nil, none) })
	}
	tasks.Wait()
	fmt.Fprintf(out, "%-18s %9s %9s %9s %12s %12s  %s\n", "", "virtual", "sockets", "apart", "tries", "connections", "broken on sockets")
	apart := 0
	for _, x := range all {
		if x.err != nil {
			return fmt.Errorf("%s: %w", x.name, x.err)
		}
		a, b := x.s.Score(x.virtual), x.s.Score(x.live)
		if math.Abs(a-b) > maxDifference {
			apart++
		}
		fmt.Fprintf(out, "%-18s %9.3f %9.3f %+9.3f %5d, %5d %5d, %5d  %s\n", x.name, a, b, b-a, x.virtual.ClientAttempts, x.live.ClientAttempts,
			x.virtual.Connections, x.live.Connections, x.live.Violations())
	}
	if apart > 0 {
		return fmt.Errorf("%d of %d scenarios are more than %v apart", apart, len(all), maxDifference)
	}
	return nil
}

// rank sets the policies side by side on each scenario: the mean of G over the seeds,
// and in how many plays a rule was broken.
func rank(out io.Writer, paths []string, o options, p progress) error {
	fmt.Fprintf(out, "%-18s", fmt.Sprintf("G over %d seeds", o.seeds))
	for _, name := range baselines.Names() {
		fmt.Fprintf(out, " %20s", name)
	}
	fmt.Fprintln(out)
	for i, path := range paths {
		f, _, err := load(path)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%-18s", f.Name)
		for _, name := range baselines.Names() {
			sum, rules := 0.0, 0
			for seed := range o.seeds {
				s := f.Plan(uint64(seed + 1))
				r, err := playOn(trace.Virtual, s, name, nil, func(_, _ time.Duration) {})
				if err != nil {
					return err
				}
				sum += s.Score(r)
				if r.Violations() != "" {
					rules++
				}
			}
			fmt.Fprintf(out, " %8.3f, %3d broken", sum/float64(o.seeds), rules)
		}
		fmt.Fprintln(out)
		p(time.Duration(i+1)*time.Second, time.Duration(len(paths))*time.Second)
	}
	return nil
}

// compare plays both on the same seeds. What differs by less than twice its standard
// error may be chance.
func compare(out io.Writer, paths []string, o options, p progress) error {
	policies := [2]string{o.policy, o.against}
	if o.against == "" {
		policies[1] = o.policy
	}
	if len(paths) == 1 {
		paths = append(paths, paths[0])
	}
	var files [2]*scenario.File
	for i, path := range paths {
		var err error
		if files[i], _, err = load(path); err != nil {
			return err
		}
	}
	type played struct {
		s *plan.Scenario
		r *plan.Result
	}
	var results [][2]played
	rules := [2]int{}
	for seed := range o.seeds {
		var pair [2]played
		for i, f := range files {
			s := f.Plan(uint64(seed + 1))
			r, err := playOn(trace.Virtual, s, policies[i], nil, func(_, _ time.Duration) {})
			if err != nil {
				return err
			}
			if r.Violations() != "" {
				rules[i]++
			}
			pair[i] = played{s, r}
		}
		results = append(results, pair)
		p(time.Duration(seed+1)*time.Second, time.Duration(o.seeds)*time.Second)
	}
	for i, f := range files {
		fmt.Fprintf(out, "%s: %s, %s\n", [...]string{"first", "second"}[i], f.Name, policies[i])
	}
	fmt.Fprintf(out, "%-20s %9s %9s %9s\n", fmt.Sprint(o.seeds, " seeds, in %"), "first", "second", "change")
	row := func(name string, value func(played) float64) {
		var sum, square, first, second float64
		for _, r := range results {
			x, y := value(r[0]), value(r[1])
			first, second = first+x, second+y
			sum, square = sum+y-x, square+(y-x)*(y-x)
		}
		n := float64(len(results))
		mean := sum / n
		noise := math.Sqrt(max(0, square/n-mean*mean) / (n - 1))
		conclusion := "within the noise"
		if math.Abs(mean) > 2*noise && mean != 0 {
			conclusion = "a difference"
		}
		fmt.Fprintf(out, "%-20s %9.2f %9.2f %+9.2f +- %.2f  %s\n", name, 100*first/n, 100*second/n, 100*mean, 100*noise, conclusion)
	}
	row("G", func(x played) float64 { return x.s.Score(x.r) })
	row("in time", func(x played) float64 { return x.r.InTime() })
	row("in the worst 10 s", func(x played) float64 { return x.s.WorstWindow(x.r) })
	row("of the worst class", func(x played) float64 { return x.s.WorstClass(x.r) })
	fmt.Fprintf(out, "plays with a broken rule: %d and %d\n", rules[0], rules[1])
	return nil
}
