package commander

import (
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"bramleyshunt/attributor"
)

func lossesCommand() *cobra.Command {
	var step time.Duration
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "losses [FILE...]",
		Short: "Show from entries' logs where callers lost time",
		Long: `Reads log lines of entries from files or, without any, from standard input. For each
length class and step of time it counts the requests in time, late for their first
token, paused too long, refused, failed and given up by their callers. For those late
for their first token it names the largest part of that time: held until the entry was
ready, queued at the entry, waiting at the target, prefill, or retried after silence,
after a refusal or after a cut. A line may have a prefix; other lines are passed over.`,
		Example: `  bramleyshunt losses entry-1.log entry-2.log
  journalctl -u bramleyshunt | bramleyshunt losses --step 10s --json`,
		RunE: func(cmd *cobra.Command, files []string) error {
			a := &attributor.Attributor{Step: step}
			if err := readLogs(a, cmd.InOrStdin(), files); err != nil {
				return err
			}
			if asJSON {
				return a.WriteJSON(cmd.OutOrStdout())
			}
			return a.WriteTable(cmd.OutOrStdout())
		},
	}
	cmd.Flags().DurationVar(&step, "step", attributor.DefaultStep, "length of a row's time; doubled while there are too many rows")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// readLogs reads the files, or stdin if there are none.
func readLogs(a *attributor.Attributor, stdin io.Reader, files []string) error {
	if len(files) == 0 {
		return a.Read(stdin)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return invalid(err)
		}
		err = a.Read(f)
		_ = f.Close() // only read
		if err != nil {
			return err
		}
	}
	return nil
}
