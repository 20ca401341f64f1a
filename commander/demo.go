package commander

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"bramleyshunt/demonstrator"
	"bramleyshunt/faker"
	"bramleyshunt/storer"
)

// demoTimeout bounds a demo that does not end by itself.
const demoTimeout = 60 * time.Second

func demoCommand() *cobra.Command {
	d := &demonstrator.Demonstrator{}
	var verbose bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole fleet in this process, inject faults, judge every answer",
		Long: `Runs three keepers, two entries and six stand-in targets on loopback, sends
prompts of a thousand to a million tokens while engines, agents and keepers
fail, and prints a table by length class. Exits 0 only if every request got
its whole answer or a numbered code in time.`,
		Example: "  bramleyshunt demo\n  bramleyshunt demo --seed 7 --verbose",
		Args:    exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if verbose {
				log, err := newLog(cmd.ErrOrStderr(), "info")
				if err != nil {
					return err
				}
				d.Log = log
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
			defer cancel()
			return d.Run(ctx, cmd.OutOrStdout())
		},
	}
	cmd.Flags().Uint64Var(&d.Seed, "seed", 1, "seed of prompt lengths and arrivals")
	cmd.Flags().BoolVar(&verbose, "verbose", false, "log changes of state to standard error")
	return cmd
}

func engineCommand() *cobra.Command {
	cfg := faker.Config{}
	var rate, burst float64
	cmd := &cobra.Command{
		Use:   "engine --listen HOST:PORT",
		Short: "Run a stand-in for a model engine or a plain service",
		Long: `Serves the engine protocol of docs/ENGINE.md without a model: answers are words
drawn from the prompt. For trying the fleet out and for tests.`,
		Example: `  bramleyshunt engine --listen 127.0.0.1:9001 --model erzaehler --memory 400000
  bramleyshunt engine --listen 127.0.0.1:9002 --kind plain`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if rate > 0 {
				cfg.Store = &storer.Storer{Rate: rate, Burst: burst}
			}
			return engine(cmd, cfg)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&cfg.Listen, "listen", "127.0.0.1:9001", "host:port")
	flags.StringVar(&cfg.Kind, "kind", faker.KindEngine, "engine or plain")
	flags.StringVar(&cfg.Model, "model", "", "model loaded from the start")
	flags.StringVar(&cfg.Version, "version", "1", "version of that model")
	flags.IntVar(&cfg.Memory, "memory", 0, "memory in tokens; 0 for the built-in size")
	flags.DurationVar(&cfg.Step, "step", 0, "time of a step; 0 for the built-in time")
	flags.IntVar(&cfg.Budget, "budget", 0, "tokens a step; 0 for the built-in budget")
	flags.BoolVar(&cfg.Fences, "fences", false, "refuse orders with an old fencing number")
	flags.DurationVar(&cfg.ReportLag, "lag", 0, "age of published load reports")
	flags.Float64Var(&cfg.EventLoss, "loss", 0, "share of cache events that are lost, 0 to 1")
	flags.StringVar(&cfg.Crash, "crash", "", "a prompt with this text kills the engine")
	flags.DurationVar(&cfg.Revive, "revive", 0, "restart this long after a crash; 0 for never")
	flags.Float64Var(&rate, "store-rate", 0, "bytes a second of the weight store; 0 for no limit")
	flags.Float64Var(&burst, "store-burst", 0, "bytes at once of the weight store")
	return cmd
}

func engine(cmd *cobra.Command, cfg faker.Config) error {
	if cfg.Kind != faker.KindEngine && cfg.Kind != faker.KindPlain {
		return invalid(fmt.Errorf("--kind is %q, want engine or plain", cfg.Kind))
	}
	log, err := newLog(os.Stderr, "info")
	if err != nil {
		return err
	}
	cfg.Log = log
	f, closer, err := faker.New(cfg)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer closer()
	_, _ = fmt.Fprintln(cmd.OutOrStdout(), f.URL())
	<-cmd.Context().Done()
	return nil
}
