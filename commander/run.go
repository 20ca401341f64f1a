package commander

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"bramleyshunt/provisioner"
	"bramleyshunt/runner"
)

const (
	minKeyBytes = 16
	// otherFiles is the number of descriptors left for files of a keeper, the log and the
	// runtime.
	otherFiles = 64
	// drainTimeout bounds a graceful shutdown, which waits for running requests.
	drainTimeout = 10 * time.Minute
)

func runCommand(hup <-chan os.Signal) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "run --settings FILE",
		Short: "Run the roles that the settings name until SIGTERM or SIGINT",
		Long: `Runs one process of the fleet in the roles that its settings name: entry,
agent and keeper, in any mix. SIGTERM and SIGINT shut it down gracefully:
new work is refused at once and running requests go on to their end. SIGHUP
changes nothing, as settings are read at the start only.`,
		Example:     "  bramleyshunt run --settings entry-1.jsonc",
		Args:        exactArgs(0),
		Annotations: servesRequests,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return run(cmd, hup, path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of this process (JSON with comments)")
	return cmd
}

func run(cmd *cobra.Command, hup <-chan os.Signal, path string) error {
	if path == "" {
		return invalid(fmt.Errorf("run needs --settings FILE"))
	}
	s, err := readSettings(path)
	if err != nil {
		return err
	}
	key, err := readKey(s.Key)
	if err != nil {
		return err
	}
	log, err := newLog(cmd.ErrOrStderr(), s.Log)
	if err != nil {
		return err
	}
	defer reportHangups(hup, log)()
	limits := provisioner.Provisioner{Memory: int64(s.Memory) << 20, Files: fileLimit()}
	debug.SetMemoryLimit(limits.Heap())
	fatal := make(chan error, 1)
	r, closer, err := runner.New(runner.Config{
		Settings: s, Key: key, Log: log, Limits: limits,
		Fatal: func(err error) {
			select {
			case fatal <- err:
			default:
			}
		},
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer closer()
	select {
	case err := <-fatal:
		return fmt.Errorf("stopped: %w", err)
	case <-cmd.Context().Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(cmd.Context()), drainTimeout)
	defer cancel()
	return r.Drain(ctx)
}

// fileLimit returns the number of descriptors that the process may use for connections, zero if
// that is not bounded or not known.
func fileLimit() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > math.MaxInt32 {
		return 0
	}
	return max(1, int(r.Cur)-otherFiles)
}

// reportHangups logs each SIGHUP until the returned function is called.
func reportHangups(hup <-chan os.Signal, log *logrus.Entry) func() {
	done := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-hup:
				log.Warn("SIGHUP changes nothing: settings are read at the start only")
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// readKey reads the fleet key from a file. It is not passed on the command line, so
// that neither process lists nor logs show it.
func readKey(path string) ([]byte, error) {
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, invalid(fmt.Errorf("read fleet key: %w", err))
	}
	key = bytes.TrimSpace(key)
	if len(key) < minKeyBytes {
		return nil, invalid(fmt.Errorf("fleet key of %d bytes is shorter than %d", len(key), minKeyBytes))
	}
	return key, nil
}
