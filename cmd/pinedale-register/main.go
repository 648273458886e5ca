// Command pinedale-register keeps a server's ephemeral node alive beside it: it
// starts the server, registers it once it listens, and on SIGTERM takes the node away
// first, so that nothing new comes when the server ends.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"pinedale/internal/membership/register"
)

const usage = `usage: pinedale-register -servers HOST:PORT,... -path DIR -name NAME -address HOST:PORT [FLAGS] [-- COMMAND ARG...]

`

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "pinedale-register:", err)
		code = max(code, 1)
	}
	os.Exit(code)
}

// errUsage says that the arguments are wrong; the flag package has told how.
var errUsage = errors.New("see above")

// options are the program's arguments.
type options struct {
	registration register.Options
	wait         time.Duration // for the server to listen
	grace        time.Duration // between the node's end and the server's
	command      []string      // starts the server; empty if somebody else does
}

// parse reads the arguments.
func parse(args []string, log *slog.Logger) (*options, error) {
	o := &options{registration: register.Options{Log: log}}
	r := &o.registration
	flags := flag.NewFlagSet("pinedale-register", flag.ContinueOnError)
	servers := flags.String("servers", "", "of the coordination service, with commas between")
	flags.StringVar(&r.Path, "path", "/soko", "directory of the nodes")
	flags.StringVar(&r.Name, "name", "", "of this server: the same after a restart")
	flags.StringVar(&r.Data.Address, "address", "", "host:port where it takes requests")
	flags.StringVar(&r.Data.Site, "site", "", "where it stands")
	flags.StringVar(&r.Data.Kind, "kind", "", "of machine")
	flags.IntVar(&r.Data.Cell, "pod", 0, "that it belongs to")
	flags.Float64Var(&r.Data.Weight, "share", 1, "of the requests, against the others")
	flags.DurationVar(&r.SessionTimeout, "session", 15*time.Second, "the node goes if nothing is heard of us for so long")
	digestFile := flags.String("digest-file", "", "file with user:password")
	flags.DurationVar(&o.wait, "wait", time.Minute, "for the server to listen")
	flags.DurationVar(&o.grace, "grace", 2*time.Second, "between the node's end and the server's: the rule on drains")
	flags.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return nil, errUsage
	}
	if *servers != "" {
		r.Servers = strings.Split(*servers, ",")
	}
	if *digestFile != "" {
		text, err := os.ReadFile(*digestFile)
		if err != nil {
			return nil, err
		}
		r.Digest = strings.TrimSpace(string(text))
	}
	r.Data.StartedMS = time.Now().UnixMilli()
	o.command = flags.Args()
	return o, nil
}

// task is work in a goroutine of its own.
type task struct {
	ended chan struct{} // closed once it has returned
	err   error         // that it returned with
}

// start starts a task.
func start(work func() error) *task {
	t := &task{ended: make(chan struct{})}
	go func() {
		defer close(t.ended)
		t.err = work()
	}()
	return t
}

// run returns the server's exit code.
func run(args []string) (int, error) {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	o, err := parse(args, log)
	if errors.Is(err, errUsage) {
		return 2, err
	} else if err != nil {
		return 1, err
	}
	r, err := register.New(o.registration)
	if err != nil {
		return 1, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var command *exec.Cmd
	server := &task{} // never ends where it is none of ours
	if len(o.command) > 0 {
		command = exec.Command(o.command[0], o.command[1:]...)
		command.Stdin, command.Stdout, command.Stderr = os.Stdin, os.Stdout, os.Stderr
		if err := command.Start(); err != nil {
			return 1, err
		}
		server = start(command.Wait)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	registration := start(func() error {
		if err := listens(ctx, o.registration.Data.Address, o.wait); err != nil {
			return err
		}
		return r.Run(ctx)
	})
	finish := func() { // the session is closed, and the node goes at once
		stop()
		<-registration.ended
	}
	select {
	case <-server.ended:
		finish()
		return exitCode(server.err)
	case <-registration.ended:
		if command != nil {
			terminate(command)
			<-server.ended
		}
		return 1, registration.err
	case <-signals:
	}
	if err := r.Drain(); err != nil {
		log.Warn("registration", "error", err)
	}
	time.Sleep(o.grace)
	if command == nil {
		finish()
		return 0, nil
	}
	terminate(command)
	<-server.ended
	finish()
	return exitCode(server.err)
}

// terminate asks the server to end. One that has ended by itself cannot be asked.
func terminate(command *exec.Cmd) { _ = command.Process.Signal(syscall.SIGTERM) }

// exitCode returns the code that a command ended with, or its error if it has none.
func exitCode(err error) (int, error) {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), nil
	}
	return 0, err
}

// listens waits until an address takes connections.
func listens(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var d net.Dialer
	for {
		conn, err := d.DialContext(ctx, "tcp", address)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s does not listen: %w", address, err)
		}
	}
}
