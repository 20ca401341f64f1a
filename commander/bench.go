package commander

import (
	"fmt"
	"strings"
	"time"

	"github.com/sourcegraph/conc/iter"
	"github.com/spf13/cobra"

	"bramleyshunt/bencher"
	"bramleyshunt/platform"
	"bramleyshunt/switcher"
)

// benchFlags holds the flags of the bench command.
type benchFlags struct {
	site     string
	day      string
	policies []string
	without  []string
	restart  time.Duration
	targets  int
	entries  int
	leaving  int
	pausing  int
	holds    []string
	seeds    []uint
	jobs     int
}

func benchCommand() *cobra.Command {
	f := &benchFlags{}
	cmd := &cobra.Command{
		Use:   "bench --site FILE",
		Short: "Rank policies in virtual time on a site of the users' platform",
		Long: `Plays the streams of one day of a site in virtual time, with the deciders of its
entries before engines that work in passes, and prints one line of a table a
policy, over all seeds. "ours" is the policy in force; the others are baselines.
--without adds lines of "ours" with one part switched off each. Parts that concern starts,
silent targets or keepers change nothing here, as the only faults played are targets that
leave or pause. --leaving and --pausing set how many do; a second table then holds their
figures. --holds adds lines of "ours" with another handling of what such targets say.

Parts:
` + switcher.Help(),
		Example: `  bramleyshunt bench --site site.toml --policy ours,round-robin --seeds 1,2,3
  bramleyshunt bench --site site.toml --policy ours --without first-fit,split-prefill
  bramleyshunt bench --site site.toml --policy ours --leaving 3 --pausing 6 --holds ignored`,
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return bench(cmd, f) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.site, "site", "", "file of the site")
	flags.StringVar(&f.day, "day", "quiet-1", "day of the site; its bursts are played, no other trouble")
	flags.StringSliceVar(&f.policies, "policy", bencher.Policies(), "policies, separated by commas")
	flags.StringSliceVar(&f.without, "without", nil, "parts of the policy to switch off, one a line")
	flags.DurationVar(&f.restart, "restart", 0, "when all entries restart; never if zero")
	flags.IntVar(&f.targets, "targets", 0, "number of targets; that of the site if zero")
	flags.IntVar(&f.entries, "entries", 0, "number of entries; that of the site if zero")
	flags.IntVar(&f.leaving, "leaving", 0, "number of targets that leave during the day")
	flags.IntVar(&f.pausing, "pausing", 0, "number of targets that ask for pauses for a while")
	flags.StringSliceVar(&f.holds, "holds", nil, "handling of targets that leave or pause, one a line: "+strings.Join(bencher.HoldsNames(), ", "))
	flags.UintSliceVar(&f.seeds, "seeds", []uint{1, 2, 3, 4}, "seeds of the traffic")
	flags.IntVar(&f.jobs, "jobs", 2, "runs at once")
	return cmd
}

// trial is the fleet and the name of one row of the table.
type trial struct {
	name  string
	fleet bencher.Fleet
}

func bench(cmd *cobra.Command, f *benchFlags) error {
	site, err := platform.Site(f.site, f.day)
	if err != nil {
		return invalid(err)
	}
	if f.targets > 0 {
		site.Targets = f.targets
	}
	if f.entries > 0 {
		site.Entries = f.entries
	}
	trials, err := f.trials(site)
	if err != nil {
		return invalid(err)
	}
	faults := bencher.Faults{Leaving: f.leaving, Pausing: f.pausing}
	results := iter.Mapper[trial, *bencher.FleetResult]{MaxGoroutines: max(1, f.jobs)}.Map(trials, func(t *trial) *bencher.FleetResult {
		all := &bencher.FleetResult{Site: site}
		for _, seed := range f.seeds {
			x := t.fleet
			x.Seed, x.RestartAt, x.Faults = uint64(seed), f.restart, faults
			all.Add(x.Run())
		}
		return all
	})
	lines := []string{site.TableHeader()}
	for i, r := range results {
		lines = append(lines, r.Row(trials[i].name))
	}
	if faults != (bencher.Faults{}) {
		lines = append(lines, "", bencher.FaultHeader())
		for i, r := range results {
			lines = append(lines, r.Faults.Row(trials[i].name))
		}
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), strings.Join(lines, "\n"))
	return err
}

func (f *benchFlags) trials(site bencher.Site) ([]trial, error) {
	var out []trial
	for _, name := range f.policies {
		kind, err := bencher.Policy(name)
		if err != nil {
			return nil, err
		}
		out = append(out, trial{name: name, fleet: bencher.Fleet{Site: site, Kind: kind}})
	}
	for _, name := range f.without {
		disabled, err := switcher.Parse([]string{name})
		if err != nil {
			return nil, err
		}
		out = append(out, trial{name: "ours without " + name, fleet: bencher.Fleet{Site: site, Disabled: disabled}})
	}
	for _, name := range f.holds {
		holds, err := bencher.ParseHolds(name)
		if err != nil {
			return nil, err
		}
		out = append(out, trial{name: "ours, holds " + name, fleet: bencher.Fleet{Site: site, Holds: holds}})
	}
	return out, nil
}
