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

// run returns the server's exit code.
func run(args []string) (int, error) {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	o := register.Options{Log: log}
	flags := flag.NewFlagSet("pinedale-register", flag.ContinueOnError)
	servers := flags.String("servers", "", "of the coordination service, with commas between")
	flags.StringVar(&o.Path, "path", "/soko", "directory of the nodes")
	flags.StringVar(&o.Name, "name", "", "of this server: the same after a restart")
	flags.StringVar(&o.Data.Address, "address", "", "host:port where it takes requests")
	flags.StringVar(&o.Data.Site, "site", "", "where it stands")
	flags.StringVar(&o.Data.Kind, "kind", "", "of machine")
	flags.IntVar(&o.Data.Block, "pod", 0, "that it belongs to")
	flags.Float64Var(&o.Data.Share, "share", 1, "of the requests, against the others")
	flags.DurationVar(&o.Session, "session", 15*time.Second, "the node goes if nothing is heard of us for so long")
	digestFile := flags.String("digest-file", "", "file with user:password")
	wait := flags.Duration("wait", time.Minute, "for the server to listen")
	grace := flags.Duration("grace", 2*time.Second, "between the node's end and the server's: the rule on drains")
	flags.Usage = func() {
		fmt.Fprint(os.Stderr, usage)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return 2, errors.New("see above")
	}
	if *servers != "" {
		o.Servers = strings.Split(*servers, ",")
	}
	if *digestFile != "" {
		text, err := os.ReadFile(*digestFile)
		if err != nil {
			return 1, err
		}
		o.Digest = strings.TrimSpace(string(text))
	}
	o.Data.StartedMS = time.Now().UnixMilli()
	r, err := register.New(o)
	if err != nil {
		return 1, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var server *exec.Cmd
	ended := make(chan error, 1)
	if command := flags.Args(); len(command) > 0 {
		server = exec.Command(command[0], command[1:]...)
		server.Stdin, server.Stdout, server.Stderr = os.Stdin, os.Stdout, os.Stderr
		if err := server.Start(); err != nil {
			return 1, err
		}
		go func() { ended <- server.Wait() }()
	}
	ctx, stop := context.WithCancel(context.Background())
	registered := make(chan error, 1)
	go func() {
		if err := listens(ctx, o.Data.Address, *wait); err != nil {
			registered <- err
			return
		}
		registered <- r.Run(ctx)
	}()
	finish := func() { // the session is closed, and the node goes at once
		stop()
		<-registered
	}
	select {
	case err := <-ended:
		finish()
		return exitCode(err)
	case err := <-registered:
		stop()
		if server != nil {
			server.Process.Signal(syscall.SIGTERM)
			<-ended
		}
		return 1, err
	case <-signals:
	}
	if err := r.Drain(); err != nil {
		log.Warn("registration", "error", err)
	}
	time.Sleep(*grace)
	if server == nil {
		finish()
		return 0, nil
	}
	server.Process.Signal(syscall.SIGTERM)
	err = <-ended
	finish()
	return exitCode(err)
}

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
