package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	"pinedale/internal/cli"
	"pinedale/internal/membership/register"
)

// dialInterval is the delay between two connection attempts to a server that does not listen yet.
const dialInterval = 50 * time.Millisecond

// supervisor runs a server and its registration. The goroutine that calls run owns both and waits for them.
type supervisor struct {
	options   *options
	log       *slog.Logger
	registrar *register.Registrar

	command            *exec.Cmd // nil if another program runs the server
	server             *task     // never ends if another program runs the server
	registration       *task
	cancelRegistration context.CancelFunc
}

// run starts the server and its registration, and returns once both have ended. If the server ends with an exit code
// other than 0, the error is a *cli.ExitError with that code.
func (s *supervisor) run() error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := s.startServer(); err != nil {
		return err
	}
	s.startRegistration()
	select {
	case <-s.server.ended:
		s.endRegistration()
		return exitError(s.server.err)
	case <-s.registration.ended:
		s.cancelRegistration()
		_ = s.stopServer() // ignored: the program ends with the registration's error
		return &cli.ExitError{Code: 1, Err: s.registration.err}
	case <-signals:
		return s.drain()
	}
}

// startServer starts the server if the options contain a command for it.
func (s *supervisor) startServer() error {
	s.server = &task{}
	if len(s.options.command) == 0 {
		return nil
	}
	s.command = exec.Command(s.options.command[0], s.options.command[1:]...)
	s.command.Stdin = os.Stdin
	s.command.Stdout = os.Stdout
	s.command.Stderr = os.Stderr
	if err := s.command.Start(); err != nil {
		return err
	}
	s.server = startTask(s.command.Wait)
	return nil
}

// stopServer sends SIGTERM to the server, waits until it has exited and returns its error. It does nothing if another
// program runs the server.
func (s *supervisor) stopServer() error {
	if s.command == nil {
		return nil
	}
	_ = s.command.Process.Signal(syscall.SIGTERM) // fails only if the server has already ended
	<-s.server.ended
	return s.server.err
}

// startRegistration registers the server once it listens, and registers it again after each loss of its session.
func (s *supervisor) startRegistration() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelRegistration = cancel
	s.registration = startTask(func() error {
		if err := waitListening(ctx, s.options.registration.Data.Address, s.options.listenTimeout); err != nil {
			return err
		}
		return s.registrar.Run(ctx)
	})
}

// endRegistration closes the session, which removes the node immediately.
func (s *supervisor) endRegistration() {
	s.cancelRegistration()
	<-s.registration.ended
}

// drain removes the node, lets the server continue for the grace period, and stops it.
func (s *supervisor) drain() error {
	if err := s.registrar.Drain(); err != nil {
		s.log.Warn("registration", "error", err)
	}
	time.Sleep(s.options.grace)
	err := s.stopServer()
	s.endRegistration()
	return exitError(err)
}

// exitError returns an error with the exit code of a command that ended with err. It returns any other error unchanged.
func exitError(err error) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return &cli.ExitError{Code: exit.ExitCode()}
	}
	return err
}

// waitListening waits until a server listens at the address.
func waitListening(ctx context.Context, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	for {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-time.After(dialInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s does not listen: %w", address, err)
		}
	}
}

// task is a function that runs in its own goroutine.
type task struct {
	ended chan struct{} // closed once the function has returned; nil if no function was started
	err   error         // its result; valid after ended
}

// startTask runs a function in a new goroutine.
func startTask(function func() error) *task {
	t := &task{ended: make(chan struct{})}
	go func() {
		defer close(t.ended)
		t.err = function()
	}()
	return t
}
