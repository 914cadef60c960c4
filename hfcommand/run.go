// Package hfcommand implements the command line: the commands that run an instance, and
// those that operators and callers use over its HTTP interface.
package hfcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfsettings"
)

// Exit is the exit code of the process.
type Exit int

// The exit codes.
const (
	ExitOK       Exit = 0
	ExitUsage    Exit = 1 // the command line, a setting or a manifest is wrong
	ExitNotRun   Exit = 2 // refused: nothing ran and nothing changed
	ExitUnknown  Exit = 3 // the effect is not known
	ExitNotFound Exit = 4 // does not exist, or is not visible to the caller
	ExitConflict Exit = 5 // another revision, another owner of the id, or already ended
	ExitFailed   Exit = 6 // it ran and failed
)

// ErrUsage reports an invalid command line.
var ErrUsage = eris.New("usage")

// Streams are the standard streams of a command.
type Streams struct {
	in       io.Reader
	out, err io.Writer
}

// NewStreams returns the streams of a command.
func NewStreams(in io.Reader, out, err io.Writer) Streams { return Streams{in: in, out: out, err: err} }

const longHelp = `heatherfront schedules multi-accelerator jobs and callers' requests under client
account guarantees.

An instance is started with "heatherfront serve". All other commands talk to an
instance over HTTP. They take --url and --credential, or HEATHERFRONT_URL and
HEATHERFRONT_CREDENTIAL; a credential is name:secret.

Exit codes
  0  done
  1  wrong command line, setting or manifest
  2  refused: nothing ran and nothing changed
  3  the effect is not known
  4  not found
  5  conflict: another revision, another owner of the id, or ended before
  6  it ran and failed`

// Run executes one command line and returns its exit code. An error is written as one line
// to the error stream.
func Run(ctx context.Context, args []string, s Streams) Exit {
	root := &ffcli.Command{
		Name: "heatherfront", ShortUsage: "heatherfront <command> [flags]", LongHelp: longHelp,
		FlagSet: newFlagSet("heatherfront", s),
		Subcommands: []*ffcli.Command{
			serveCommand(s), entryCommand(s), traceCommand(s), hashCommand(s), newIDCommand(s),
			applyCommand(s), getCommand(s), listCommand(s), deleteCommand(s), watchCommand(s), waitCommand(s), planCommand(s),
			submitCommand(s), statusCommand(s), explainCommand(s), whereCommand(s), cancelCommand(s), historyCommand(s), callCommand(s),
			systemCommand(s), burnCommand(s),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, args)
	var coded *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case errors.As(err, &coded):
		_, _ = fmt.Fprintln(s.err, "heatherfront:", coded.reason)
		return coded.exit
	}
	_, _ = fmt.Fprintln(s.err, "heatherfront:", err)
	return ExitUsage
}

// exitError is an error with the exit code that it leads to.
type exitError struct {
	exit   Exit
	reason string
}

// Error implements error.
func (e *exitError) Error() string { return e.reason }

// newFlagSet returns a flag set that reports errors to the error stream.
func newFlagSet(name string, s Streams) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(s.err)
	return fs
}

// newClientCommand returns a subcommand that calls an instance.
func newClientCommand(s Streams, name, usage, help string, flags func(*flag.FlagSet), exec func(context.Context, *client, []string) error) *ffcli.Command {
	fs := newFlagSet(name, s)
	c := newClient(fs, s)
	if flags != nil {
		flags(fs)
	}
	return &ffcli.Command{
		Name: name, ShortUsage: "heatherfront " + name + " " + usage, ShortHelp: help, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(hfsettings.EnvPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if err := c.validate(); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return exec(ctx, c, args)
		},
	}
}

// singleArgument returns the only argument of a command. what describes it in the error.
func singleArgument(args []string, what string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", fmt.Errorf("%w: one argument is needed: %s", ErrUsage, what)
	}
	return args[0], nil
}
