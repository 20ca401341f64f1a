// Package linter finds parts of a valid configuration that can't take effect, and limits that
// contradict each other. Its warnings are for operators: they don't decide which configurations
// the keepers accept, see package checker for that.
package linter

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"bramleyshunt/configurer"
	"bramleyshunt/decoder"
	"bramleyshunt/merger"
)

const (
	// defaultMaxBody is the bound on a request's body where the configuration sets none.
	defaultMaxBody = 8 << 20
	// defaultBytes is the number of bytes of a token where the model gives none.
	defaultBytes = 4
	// defaultBurst is the burst of an account in seconds at its rate, as in package limiter.
	defaultBurst = 10
	// maxNames bounds the names that one warning lists.
	maxNames = 5
)

// Linter finds such parts. The zero value compares no regions with settings.
type Linter struct {
	Regions []string // regions that the settings know; nil if no settings are given

	merged   *merger.Merger
	warnings decoder.Faults
}

// Lint returns a warning for each part of a valid configuration, sorted by position.
func (l *Linter) Lint(m *merger.Merger) decoder.Faults {
	l.merged, l.warnings = m, nil
	l.lintServices()
	l.lintModels()
	for i, p := range m.Config.Paths {
		l.lintPath(i, p)
	}
	for _, name := range slices.Sorted(maps.Keys(m.Config.Accounts)) {
		l.lintAccount(name, m.Config.Accounts[name])
	}
	slices.SortStableFunc(l.warnings, func(a, b decoder.Fault) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return l.warnings
}

func (l *Linter) warn(path []string, format string, args ...any) {
	l.warnings = append(l.warnings, decoder.Fault{
		Position: l.merged.Tree.FindPosition(path...), Message: strings.Join(path, ".") + ": " + fmt.Sprintf(format, args...),
	})
}

// lintServices finds services that no path names, where there are paths.
func (l *Linter) lintServices() {
	cfg := l.merged.Config
	if len(cfg.Paths) == 0 {
		return
	}
	used := map[string]bool{}
	for _, p := range cfg.Paths {
		for _, s := range p.Split {
			used[s.Service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		if !used[name] {
			l.warn([]string{"services", name}, "no path names this service")
		}
	}
}

// lintModels finds models that no service serves, and those whose longest prompt exceeds the
// bound on bodies.
func (l *Linter) lintModels() {
	cfg := l.merged.Config
	used := map[string]bool{}
	for _, s := range cfg.Services {
		used[s.Model] = true
	}
	body := cmp.Or(cfg.Limits.Body, defaultMaxBody)
	for _, name := range slices.Sorted(maps.Keys(cfg.Models)) {
		m := cfg.Models[name]
		if !used[name] {
			l.warn([]string{"models", name}, "no service serves this model")
		}
		if need := float64(m.Window) * cmp.Or(m.Bytes, defaultBytes); need > float64(body) {
			l.warn([]string{"models", name, "window"}, "a prompt of %d tokens needs about %.0f bytes, and limits.body allows %d", m.Window, need, body)
		}
	}
}

func (l *Linter) lintPath(i int, p configurer.Path) {
	at := func(field string) []string { return []string{"paths", strconv.Itoa(i), field} }
	if strings.Contains(p.Host, ":") && !strings.HasSuffix(p.Host, "]") {
		l.warn(at("host"), "never matches: hosts are compared without their port")
	}
	if strings.ContainsAny(p.Prefix, "?#") {
		l.warn(at("prefix"), "never matches: paths are compared without their query")
	}
	if p.Objective > 0 && p.Timeout <= p.Objective {
		l.warn(at("timeout"), "%s s end a request before the objective of %s s", number(p.Timeout), number(p.Objective))
	}
	if p.Gap > 0 && p.Timeout <= p.Gap {
		l.warn(at("timeout"), "%s s end a stream within its longest gap of %s s", number(p.Timeout), number(p.Gap))
	}
	for j, s := range p.Split {
		if longest := l.merged.Config.Services[s.Service].MaxTimeout; longest > 0 && p.Timeout > longest {
			l.warn(append(at("split"), strconv.Itoa(j)), "service %q ends requests after %s s, before the timeout of %s s", s.Service, number(longest), number(p.Timeout))
		}
		if s.Weight == 0 {
			l.warn(append(at("split"), strconv.Itoa(j)), "service %q gets no requests: its weight is 0", s.Service)
		}
	}
	if !p.Open && !l.hasKeys() {
		l.warn(at("open"), "no request can use this path: it needs an account, and none has a key")
	}
	l.lintRegions(p.Regions, at("regions"))
}

// hasKeys reports whether any account has a token or a key.
func (l *Linter) hasKeys() bool {
	for _, a := range l.merged.Config.Accounts {
		if hasKey(a) {
			return true
		}
	}
	return false
}

func hasKey(a configurer.Account) bool { return a.Token != "" || len(a.Keys) > 0 }

func (l *Linter) lintAccount(name string, a configurer.Account) {
	at := func(field string) []string { return []string{"accounts", name, field} }
	if !hasKey(a) {
		l.warn(at("keys"), "no request can be of this account: it has neither keys nor a token")
	}
	if a.Services != nil && len(a.Services) == 0 {
		l.warn(at("services"), "an empty list allows all services, as a missing one does")
	}
	if burst := cmp.Or(a.Burst, defaultBurst*a.Rate); a.Rate > 0 && burst < 1 {
		l.warn(at("rate"), "%s tokens a second with a burst of %s are less than one request", number(a.Rate), number(burst))
	} else if a.Rate > 0 && a.Rate < 1 {
		l.warn(at("rate"), "%s tokens a second are less than one request a second, however short", number(a.Rate))
	}
	l.lintRegions(a.Regions, at("regions"))
	l.lintPathsOf(a, at("regions"))
}

// lintRegions finds regions that the settings don't know.
func (l *Linter) lintRegions(regions []string, at []string) {
	if l.Regions == nil || len(regions) == 0 {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(regions), func(r string) bool { return slices.Contains(l.Regions, r) })
	switch {
	case len(unknown) == len(regions):
		l.warn(at, "leaves no region: the settings know none of %s", names(unknown))
	case len(unknown) > 0:
		l.warn(at, "the settings don't know %s", names(unknown))
	}
}

// lintPathsOf finds the paths with which an account has no region in common.
func (l *Linter) lintPathsOf(a configurer.Account, at []string) {
	var excluded []string
	for i, p := range l.merged.Config.Paths {
		if _, ok := configurer.AllowedRegions(p.Regions, a.Regions); !ok && !p.Open {
			excluded = append(excluded, cmp.Or(p.Name, strconv.Itoa(i)))
		}
	}
	if len(excluded) > 0 {
		l.warn(at, "leaves no region on the paths %s: they exclude each other", names(excluded))
	}
}

// names lists the first names.
func names(all []string) string {
	out := strings.Join(all[:min(len(all), maxNames)], ", ")
	if more := len(all) - maxNames; more > 0 {
		out += fmt.Sprintf(" and %d more", more)
	}
	return out
}

func number(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
