package commander

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"bramleyshunt/loader"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	entries string
	token   string
	model   string
	out     string
	alone   bool
	plan    loader.Plan
}

func loadCommand() *cobra.Command {
	f := &loadFlags{}
	cmd := &cobra.Command{
		Use:   "load --entries URL[,URL] --token-file FILE --model NAME",
		Short: "Send a bounded, seeded load to a running fleet and print tables",
		Long: `Sends a bounded number of streamed prompts to the entries in turn and prints
time to first token, time between tokens and slowdown by length class. With
--alone each class is first sent by itself, one request at a time, to give the
slowdown something to stand against. Exits 0 only if every request got its
whole answer or a numbered code in time.`,
		Example: `  bramleyshunt load --entries http://127.0.0.1:8080 --token-file token --model erzaehler --requests 200 --rate 20
  bramleyshunt load --entries http://127.0.0.1:8080,http://127.0.0.1:8081 --token-file token --model barua --alone --json out.json`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return load(cmd, f) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.entries, "entries", "", "URLs of entries, separated by commas")
	flags.StringVar(&f.token, "token-file", "", "file with the client account's bearer token")
	flags.StringVar(&f.model, "model", "", "model to ask for")
	flags.StringVar(&f.out, "json", "", "also write the result to this file as JSON")
	flags.BoolVar(&f.alone, "alone", false, "measure each length class alone first")
	flags.Uint64Var(&f.plan.Seed, "seed", 1, "seed of prompt lengths and arrivals")
	flags.IntVar(&f.plan.Requests, "requests", 100, "requests in all")
	flags.Float64Var(&f.plan.Rate, "rate", 10, "arrivals a second; 0 sends all at once")
	flags.IntVar(&f.plan.MaxInFlight, "conc", 0, "requests in flight at most; 0 for the built-in bound")
	flags.IntVar(&f.plan.Output, "output", loader.DefaultOutput, "answer tokens a request")
	flags.DurationVar(&f.plan.Timeout, "timeout", loader.DefaultTimeout, "time each request is given")
	return cmd
}

func load(cmd *cobra.Command, f *loadFlags) error {
	l, err := newLoader(f)
	if err != nil {
		return err
	}
	var alone *loader.Report
	if f.alone {
		alone = l.RunAlone(cmd.Context(), f.plan)
	}
	report := l.Run(cmd.Context(), f.plan)
	if err := report.WriteTable(cmd.OutOrStdout(), alone); err != nil {
		return err
	}
	if f.out != "" {
		if err := writeFile(f.out, func(w io.Writer) error { return report.WriteJSON(w, alone) }); err != nil {
			return err
		}
	}
	if bad := report.Invalid(); len(bad) > 0 {
		return fmt.Errorf("%d requests were late, cut or wrong; first: %s", len(bad), bad[0].Detail)
	}
	return nil
}

func newLoader(f *loadFlags) (*loader.Loader, error) {
	if f.entries == "" || f.token == "" || f.model == "" {
		return nil, invalid(fmt.Errorf("load needs --entries, --token-file and --model"))
	}
	token, err := os.ReadFile(f.token)
	if err != nil {
		return nil, invalid(fmt.Errorf("read token: %w", err))
	}
	return &loader.Loader{
		EntryURLs: strings.Split(f.entries, ","),
		Token:     strings.TrimSpace(string(token)),
		Model:     f.model,
	}, nil
}

func writeFile(path string, write func(io.Writer) error) error {
	w, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create: %w", err)
	}
	if err := write(w); err != nil {
		_ = w.Close()
		return err
	}
	if err := w.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}
