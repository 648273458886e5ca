// Command pinedale-rehearse plays scenarios of bad market mornings: the real engine and
// decision module against emulated servers, on virtual time or on loopback sockets.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"time"

	"pinedale/internal/emulator/plan"
	"pinedale/internal/emulator/play"
	"pinedale/internal/emulator/rivals"
	"pinedale/internal/emulator/scenario"
	"pinedale/internal/emulator/trace"
)

const usage = `usage: pinedale-rehearse demo [-length 12s]
       pinedale-rehearse run [-seed N] [-policy NAME] [-html FILE] SCENARIO
       pinedale-rehearse compare [-seeds N] [-policy NAME] [-against NAME] SCENARIO [SCENARIO]
       pinedale-rehearse record [-seed N] [-policy NAME] -out FILE SCENARIO
       pinedale-rehearse replay FILE

  demo     a small fleet, discovery, pinedale-site and clients on loopback sockets
  run      play a scenario, on virtual time, and say what came of it
  compare  play two scenarios, or one with two policies, on the same seeds, and say how
           they differ and how much is noise
  record   write what is asked, decided and answered as a trace
  replay   play a trace again, and name the first event that differs

policies: `

// options are what the commands are given.
type options struct {
	seed            uint64
	seeds           int
	policy, against string
	html, out       string
	length          time.Duration
}

func main() {
	if err := run(os.Args[1:], os.Stdout, progressTo(os.Stderr)); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-rehearse:", err)
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
	help := errors.New("see how it is used\n" + usage + strings.Join(rivals.Names(), ", "))
	if len(args) == 0 {
		return help
	}
	var o options
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	switch args[0] {
	case "run", "record", "compare":
		flags.StringVar(&o.policy, "policy", rivals.Module, "that decides")
	}
	switch args[0] {
	case "run", "record":
		flags.Uint64Var(&o.seed, "seed", 0, "in place of the scenario's")
	case "compare":
		flags.IntVar(&o.seeds, "seeds", 10, "to compare on")
		flags.StringVar(&o.against, "against", "", "the second's policy, the first's where it is not given")
	case "demo":
		flags.DurationVar(&o.length, "length", 12*time.Second, "of the demo")
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

// virtual plays on virtual time.
func virtual(s *plan.Scenario, policy string, watch func(trace.Event), p progress) (*plan.Result, error) {
	decide, err := rivals.Named(policy, s.Weights)
	if err != nil {
		return nil, err
	}
	return play.Run(s, play.Options{Decide: decide, Watch: watch, Progress: func(at time.Duration) { p(at, s.Length) }})
}

func broken(r *plan.Result) error {
	if why := r.Broken(); why != "" {
		return errors.New("a rule was broken: " + why)
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
	r, err := virtual(s, o.policy, nil, p)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, seed %d, %s: %v played in %v\n", f.Name, s.Seed, o.policy, s.Length, time.Since(began).Round(time.Millisecond))
	f.Print(out, s, r)
	if o.html != "" {
		if err := write(o.html, func(w io.Writer) error { return f.HTML(w, s, r) }); err != nil {
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
		w := trace.NewWriter(file, trace.Head{Host: trace.Virtual, Policy: o.policy, Seed: s.Seed, Scenario: text})
		if r, err = virtual(s, o.policy, func(e trace.Event) { events++; w.Write(e) }, p); err != nil {
			return err
		}
		return w.Close()
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, seed %d, %s: %d events, G %.3f\n", f.Name, s.Seed, o.policy, events, s.G(r))
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
	f, err := scenario.Parse([]byte(old.Head.Scenario))
	if err != nil {
		return fmt.Errorf("%s: line 1: scenario: %w", path, err)
	}
	s := f.Plan(old.Head.Seed)
	same, events := true, 0
	var fault error
	r, err := virtual(s, old.Head.Policy, func(e trace.Event) {
		if !same || fault != nil {
			return
		}
		was, err := old.Read()
		switch {
		case err == io.EOF:
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
		} else if end != io.EOF {
			err = end
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if !same {
		return errors.New("it plays otherwise")
	}
	fmt.Fprintf(out, "%s, seed %d, %s: all %d events are the same, G %.3f\n", f.Name, s.Seed, old.Head.Policy, events, s.G(r))
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
			r, err := virtual(s, policies[i], nil, func(_, _ time.Duration) {})
			if err != nil {
				return err
			}
			if r.Broken() != "" {
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
		verdict := "within the noise"
		if math.Abs(mean) > 2*noise && mean != 0 {
			verdict = "a difference"
		}
		fmt.Fprintf(out, "%-20s %9.2f %9.2f %+9.2f +- %.2f  %s\n", name, 100*first/n, 100*second/n, 100*mean, 100*noise, verdict)
	}
	row("G", func(x played) float64 { return x.s.G(x.r) })
	row("in time", func(x played) float64 { return x.r.InTime() })
	row("in the worst 10 s", func(x played) float64 { return x.s.WorstWindow(x.r) })
	row("of the worst class", func(x played) float64 { return x.s.WorstClass(x.r) })
	fmt.Fprintf(out, "plays with a broken rule: %d and %d\n", rules[0], rules[1])
	return nil
}
