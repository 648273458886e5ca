// Command pinedale-site is pinedale for installations of the operator's own: fronts
// and sources of membership that the platform does not give, switched on by the
// operator's file.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"pinedale/internal/site"
)

const usage = `usage: pinedale-site COMMAND -config FILE

  serve   serve as the operator's file (TOML) says; SIGTERM ends the service in
          order, SIGHUP has the file read again and moves to its servers or discovery
  check   read the file and say what is wrong with it
`

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-site:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 || args[0] != "serve" && args[0] != "check" {
		return errors.New("a command is missing\n" + usage)
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	path := flags.String("config", "", "the operator's file")
	if err := flags.Parse(args[1:]); err != nil || *path == "" || flags.NArg() > 0 {
		return errors.New("-config FILE is what a command takes\n" + usage)
	}
	if args[0] == "serve" {
		return serve(*path)
	}
	f, err := load(*path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: good: %s\n", *path, f.Summary())
	return nil
}

// load reads the file. Its error has a line for each fault, with the file's name.
func load(path string) (*site.File, error) {
	f, err := site.Load(path)
	if err == nil {
		return f, nil
	}
	lines := strings.Split(err.Error(), "\n")
	if len(lines) == 1 {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return nil, errors.New(path + ":\n  " + strings.Join(lines, "\n  "))
}

func serve(path string) error {
	// Unhandled, SIGHUP would end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	f, err := load(path)
	if err != nil {
		return err
	}
	f.UseMemory()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("instance", f.Name)
	i, err := site.Start(f, log)
	if err != nil {
		return err
	}
	log.Info("serving", "http", fmt.Sprint(i.HTTP), "ext_proc", fmt.Sprint(i.ExtProc))
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				log.Info("ending", "signal", s.String())
				i.Shutdown()
				continue
			}
			next, err := load(path)
			if err != nil {
				log.Error("configuration not reloaded, the old one holds", "error", err)
				continue
			}
			i.Reload(next)
		}
	}()
	return i.Wait()
}
