package commander

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"bramleyshunt/checker"
	"bramleyshunt/configurer"
	"bramleyshunt/decoder"
	"bramleyshunt/differ"
	"bramleyshunt/linter"
	"bramleyshunt/merger"
	"bramleyshunt/platform"
)

// checkFlags holds the flags of the commands that check a configuration.
type checkFlags struct {
	against  string
	settings string
	strict   bool
	asJSON   bool
}

func (f *checkFlags) add(cmd *cobra.Command, kind string) {
	flags := cmd.Flags()
	flags.StringVar(&f.against, "against", "", "print what differs from this "+kind+", and what that changes for callers")
	flags.StringVar(&f.settings, "settings", "", "settings file whose zones tell the known regions")
	flags.BoolVar(&f.strict, "strict", false, "exit with status 2 if there are warnings")
	flags.BoolVar(&f.asJSON, "json", false, "print errors, warnings and differences as JSON")
}

// checkReport is what a check has found.
type checkReport struct {
	Errors   []finding       `json:"errors"`
	Warnings []finding       `json:"warnings"`
	Changes  []differ.Change `json:"changes,omitempty"`
}

// finding is an error or a warning at a place in a file.
type finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

func findings(faults decoder.Faults) []finding {
	out := []finding{}
	for _, f := range faults {
		out = append(out, finding{File: f.Name, Line: f.Line, Column: f.Column, Message: f.Message})
	}
	return out
}

// check checks a configuration folder. Without flags that say otherwise it prints the folder
// merged.
func (f *checkFlags) check(stdout, stderr io.Writer, folder string) error {
	regions, err := f.productRegions()
	if err != nil {
		return err
	}
	m, faults, err := mergeFolder(folder)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return f.reportErrors(stdout, faults)
	}
	var before *configurer.Configurer
	if f.against != "" {
		if before, err = f.folderInForce(); err != nil {
			return err
		}
	}
	if before == nil && !f.asJSON {
		if err := printJSON(stdout, m.Config); err != nil {
			return err
		}
	}
	return f.report(stdout, stderr, (&linter.Linter{Regions: regions}).Lint(m), before, m.Config)
}

// mergeFolder merges and checks the files of a folder.
func mergeFolder(folder string) (*merger.Merger, decoder.Faults, error) {
	files, err := merger.ReadFolder(folder)
	if err != nil {
		return nil, nil, invalid(fmt.Errorf("%s: %w", folder, err))
	}
	m, faults := merger.Merge(files)
	if len(faults) == 0 {
		faults = checker.CheckMerged(m)
	}
	return m, faults, nil
}

func (f *checkFlags) folderInForce() (*configurer.Configurer, error) {
	m, faults, err := mergeFolder(f.against)
	if err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, invalid(fmt.Errorf("%s: %w", f.against, faults))
	}
	return m.Config, nil
}

// productRegions returns the regions that the settings list, nil if none: an agent may tell its
// region without a list of zones.
func (f *checkFlags) productRegions() ([]string, error) {
	if f.settings == "" {
		return nil, nil
	}
	s, err := readSettings(f.settings)
	if err != nil {
		return nil, err
	}
	return slices.Sorted(maps.Values(s.Zones)), nil
}

// checkPlatform checks a settings file or a configuration of the users' platform.
func (f *checkFlags) checkPlatform(stdout, stderr io.Writer, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return invalid(err)
	}
	if faults := platform.Check(path, data); len(faults) > 0 {
		return f.reportErrors(stdout, faults)
	}
	regions, err := f.platformRegions()
	if err != nil {
		return err
	}
	var before, after *configurer.Configurer
	if f.against != "" {
		if before, after, err = f.platformConfigs(data); err != nil {
			return err
		}
	}
	return f.report(stdout, stderr, platform.Lint(path, data, regions), before, after)
}

// platformConfigs returns the configuration in force and the one that is checked.
func (f *checkFlags) platformConfigs(data []byte) (before, after *configurer.Configurer, err error) {
	inForce, err := os.ReadFile(f.against)
	if err != nil {
		return nil, nil, invalid(err)
	}
	if faults := platform.Check(f.against, inForce); len(faults) > 0 {
		return nil, nil, invalid(faults)
	}
	if before, err = platform.Config(inForce); err != nil {
		return nil, nil, invalid(fmt.Errorf("%s: %w", f.against, err))
	}
	if after, err = platform.Config(data); err != nil {
		return nil, nil, invalid(fmt.Errorf("only a configuration can be compared: %w", err))
	}
	return before, after, nil
}

func (f *checkFlags) platformRegions() ([]string, error) {
	if f.settings == "" {
		return nil, nil
	}
	data, err := os.ReadFile(f.settings)
	if err != nil {
		return nil, invalid(err)
	}
	regions, err := platform.Regions(data)
	if err != nil {
		return nil, invalid(fmt.Errorf("%s: %w", f.settings, err))
	}
	return regions, nil
}

// reportErrors returns the error that ends the command, after printing the faults as JSON if that
// is wanted.
func (f *checkFlags) reportErrors(stdout io.Writer, faults decoder.Faults) error {
	if f.asJSON {
		if err := printJSON(stdout, checkReport{Errors: findings(faults), Warnings: []finding{}}); err != nil {
			return err
		}
	}
	return invalid(faults)
}

// report prints warnings, and what differs from the configuration in force if there is one.
func (f *checkFlags) report(stdout, stderr io.Writer, warnings decoder.Faults, before, after *configurer.Configurer) error {
	var changes []differ.Change
	if before != nil {
		changes = (&differ.Differ{}).Diff(before, after)
	}
	if f.asJSON {
		if err := printJSON(stdout, checkReport{Errors: []finding{}, Warnings: findings(warnings), Changes: changes}); err != nil {
			return err
		}
	} else {
		printChecked(stdout, stderr, warnings, before != nil, changes)
	}
	if f.strict && len(warnings) > 0 {
		return invalid(errors.New("there are warnings"))
	}
	return nil
}

func printChecked(stdout, stderr io.Writer, warnings decoder.Faults, compared bool, changes []differ.Change) {
	for _, w := range warnings {
		_, _ = fmt.Fprintf(stderr, "%s:%d:%d: warning: %s\n", w.Name, w.Line, w.Column, w.Message)
	}
	for _, c := range changes {
		_, _ = fmt.Fprintln(stdout, c)
	}
	if compared && len(changes) == 0 {
		_, _ = fmt.Fprintln(stdout, "nothing differs")
	}
}
