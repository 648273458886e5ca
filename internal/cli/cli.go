// Package cli contains what this repository's cobra programs have in common: the conventions of the root command,
// exit codes, and support for the one-dash flags of earlier releases.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// exitFailure is the exit code for any error that is not an ExitError.
const exitFailure = 1

// ErrNoCommand is wrapped by the error of a root command that is run without a subcommand.
var ErrNoCommand = errors.New("missing command")

// ExitError ends a program with a specific exit code.
type ExitError struct {
	Code int
	Err  error // what Execute prints; nil if there is nothing to print
}

// Error returns the text of the wrapped error, or the exit code if there is none.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// NewRoot returns the root command of a program, to which the caller adds subcommands. It prints help to out and leaves
// errors to Execute. Without a subcommand it fails with ErrNoCommand and prints its usage. Cobra adds the subcommand
// "completion".
func NewRoot(name, short string, out io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fmt.Errorf("%w\n%s", ErrNoCommand, cmd.UsageString())
		},
	}
	root.SetOut(out)
	return root
}

// Execute runs the command that args select, after Normalize, and returns the exit code of the program: 0 for
// success, the code of an ExitError, or 1 for any other error. It prints an error to stderr as "program: error".
func Execute(ctx context.Context, root *cobra.Command, args []string, stderr io.Writer) int {
	root.SetErr(stderr)
	root.SetArgs(Normalize(root, args))
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	exit := &ExitError{Code: exitFailure, Err: err}
	errors.As(err, &exit)
	if exit.Err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", root.Name(), err)
	}
	return exit.Code
}
