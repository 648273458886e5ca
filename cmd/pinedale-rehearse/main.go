// Command pinedale-rehearse plays scenarios of bad market mornings on virtual time:
// the real decision module against emulated servers.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"pinedale/internal/emulator/play"
	"pinedale/internal/emulator/scenario"
)

const usage = `usage: pinedale-rehearse run [-seed N] [-html FILE] SCENARIO
       pinedale-rehearse compare [-seeds N] SCENARIO SCENARIO
       pinedale-rehearse demo [-length 12s]

  run      play a scenario and say what came of it
  demo     a small fleet, discovery, pinedale-site and clients on loopback sockets
  compare  play two on the same seeds, and say how they differ and how much is noise
`

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-rehearse:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return errors.New("a command is missing\n" + usage)
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	seed := flags.Uint64("seed", 0, "in place of the scenario's")
	html := flags.String("html", "", "file for a report")
	length := flags.Duration("length", 12*time.Second, "of the demo")
	seeds := flags.Int("seeds", 10, "to compare on")
	if err := flags.Parse(args[1:]); err != nil {
		return fmt.Errorf("%w\n%s", err, usage)
	}
	switch {
	case args[0] == "run" && flags.NArg() == 1:
		return one(out, flags.Arg(0), *seed, *html)
	case args[0] == "demo" && flags.NArg() == 0 && *length >= time.Second && *length <= time.Hour:
		return demo(out, *length)
	case args[0] == "compare" && flags.NArg() == 2 && *seeds >= 2 && *seeds <= 10_000:
		return compare(out, flags.Arg(0), flags.Arg(1), *seeds)
	}
	return errors.New("see how it is used\n" + usage)
}

func load(path string) (*scenario.File, error) {
	f, err := scenario.Load(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func one(out io.Writer, path string, seed uint64, html string) error {
	f, err := load(path)
	if err != nil {
		return err
	}
	s := f.Play(seed)
	began := time.Now()
	r, err := play.Run(s)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s, seed %d: %v played in %v\n", f.Name, s.Seed, s.Length, time.Since(began).Round(time.Millisecond))
	f.Print(out, r)
	if html != "" {
		file, err := os.Create(html)
		if err != nil {
			return err
		}
		if err := f.HTML(file, r); err != nil {
			file.Close()
			return err
		}
		if err := file.Close(); err != nil {
			return err
		}
	}
	if why := r.Broken(); why != "" {
		return errors.New("a rule was broken: " + why)
	}
	return nil
}

// compare plays both on the same seeds. What differs by less than twice its standard
// error may be chance.
func compare(out io.Writer, a, b string, seeds int) error {
	files := [2]*scenario.File{}
	for i, path := range [...]string{a, b} {
		var err error
		if files[i], err = load(path); err != nil {
			return err
		}
	}
	broken := [2]int{}
	row := func(name string, value func(*play.Result) float64, results [][2]*play.Result) {
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
		fmt.Fprintf(out, "%-20s %8.2f%% %8.2f%% %+8.2f +- %.2f  %s\n", name, 100*first/n, 100*second/n, 100*mean, 100*noise, verdict)
	}
	var results [][2]*play.Result
	for seed := range seeds {
		var pair [2]*play.Result
		for i, f := range files {
			r, err := play.Run(f.Play(uint64(seed + 1)))
			if err != nil {
				return err
			}
			if r.Broken() != "" {
				broken[i]++
			}
			pair[i] = r
		}
		results = append(results, pair)
	}
	fmt.Fprintf(out, "%d seeds        %14s %9s %9s\n", seeds, "first", "second", "change")
	row("in time", (*play.Result).InTime, results)
	row("in the worst 10 s", scenario.WorstWindow, results)
	fmt.Fprintf(out, "plays with a broken rule: %d and %d\n", broken[0], broken[1])
	return nil
}
