// Package commander implements the command line. Each command is declared next to the
// function that runs it; other packages do the work.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"bramleyshunt/coder"
	"bramleyshunt/decoder"
	"bramleyshunt/setter"
)

// Exit statuses of commands.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the command failed or could not reach a process
	ExitInvalid = 2 // bad usage, settings or configuration folder
	ExitRefused = 3 // the fleet answered with a numbered error
)

// statusError is an error with the exit status of the command.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }
func (e *statusError) Unwrap() error { return e.err }

func invalid(err error) error { return &statusError{ExitInvalid, err} }

// servesRequests annotates the commands that run a process of a fleet, which signals other
// than SIGTERM and SIGINT must not end.
var servesRequests = map[string]string{"serves": "requests"}

// Run executes a command line and returns its exit status. It prints an error to
// stderr. Commands that run a process of a fleet receive SIGHUP from hup; for all others,
// Run restores the default action of the signal.
func Run(ctx context.Context, hup <-chan os.Signal, args []string, stdout, stderr io.Writer) int {
	root := rootCommand(hup)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "bramleyshunt:", err)
	return exitStatus(err)
}

func exitStatus(err error) int {
	var s *statusError
	if errors.As(err, &s) {
		return s.status
	}
	var e *coder.Error
	switch {
	case !errors.As(err, &e):
		return ExitFailed
	case e.Code == coder.Invalid:
		return ExitInvalid
	default:
		return ExitRefused
	}
}

func rootCommand(hup <-chan os.Signal) *cobra.Command {
	root := &cobra.Command{
		Use:           "bramleyshunt",
		Short:         "Serve prompts of very unlike lengths on shared model engines",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          rejectUnknownCommand,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		PersistentPreRun: func(cmd *cobra.Command, _ []string) {
			if cmd.Annotations["serves"] == "" {
				signal.Reset(syscall.SIGHUP)
				return
			}
			// By default SIGPIPE ends a process that logs after the reader of its log has gone.
			signal.Ignore(syscall.SIGPIPE)
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return invalid(err) })
	root.AddCommand(
		runCommand(hup), platformCommand(hup), benchCommand(), checkCommand(), applyCommand(), showCommand(), statusCommand(),
		drainCommand(), evacuateCommand(), lossesCommand(), engineCommand(), loadCommand(), demoCommand(),
	)
	return root
}

func rejectUnknownCommand(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return invalid(fmt.Errorf("unknown command %q", args[0]))
	}
	return nil
}

// exactArgs is cobra.ExactArgs, except that its error has status ExitInvalid.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(cmd, args); err != nil {
			return invalid(err)
		}
		return nil
	}
}

func readSettings(path string) (*setter.Setter, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, invalid(fmt.Errorf("read settings: %w", err))
	}
	s := &setter.Setter{}
	if err := decoder.Decode(path, data, s); err != nil {
		return nil, invalid(err)
	}
	return s, nil
}

func newLog(w io.Writer, level string) (*logrus.Entry, error) {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{})
	if level == "" {
		level = "info"
	}
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, invalid(fmt.Errorf("settings: log: %w", err))
	}
	l.SetLevel(parsed)
	return logrus.NewEntry(l), nil
}
