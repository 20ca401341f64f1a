// Package checker checks a merged configuration and reports every fault at once,
// each with the file, line and column that gave the value.
package checker

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"bramleyshunt/configurer"
	"bramleyshunt/decoder"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

// Rules is the number of the set of rules below and of those of packages
// decoder and merger. It rises whenever a folder could be judged otherwise.
const Rules = 2

const (
	tokenBytes  = 32
	maxSeconds  = 7 * 24 * 3600.0
	maxBody     = 15 << 20 // bytes; a request and its headers travel in one frame
	maxPriority = 1000
	maxShare    = 10000
	maxWindow   = 16 << 20 // tokens
	maxReplicas = 10000
)

var nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check merges and checks the files of a folder. The configuration is nil if
// there are faults.
func Check(files []messenger.File) (*configurer.Configurer, decoder.Faults) {
	m, faults := merger.Merge(files)
	if len(faults) == 0 {
		faults = CheckMerged(m)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return m.Config, nil
}

// CheckMerged returns every fault of the merged configuration in the order of
// their positions.
func CheckMerged(m *merger.Merger) decoder.Faults {
	c := Checker{merged: m}
	c.services()
	c.paths()
	c.models()
	c.accounts()
	c.operators()
	c.limits()
	slices.SortStableFunc(c.faults, func(a, b decoder.Fault) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return c.faults
}

// Checker gathers the faults of one configuration.
type Checker struct {
	merged *merger.Merger
	faults decoder.Faults
	tokens map[string]string // hex digest to the path that uses it
}

func (c *Checker) fault(path []string, format string, args ...any) {
	f := decoder.Fault{Position: c.merged.Tree.FindPosition(path...), Message: strings.Join(path, ".") + ": " + fmt.Sprintf(format, args...)}
	c.faults = append(c.faults, f)
}

// in adds a fault unless least <= x <= most.
func (c *Checker) in(x, least, most float64, path ...string) {
	if x < least || x > most {
		c.fault(path, "%s is not within %s and %s", plain(x), plain(least), plain(most))
	}
}

func plain(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func (c *Checker) name(path ...string) {
	if !nameRE.MatchString(path[len(path)-1]) {
		c.fault(path, "a name is a letter or digit and up to 62 letters, digits, '.', '_' or '-'")
	}
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (c *Checker) services() {
	for _, name := range sorted(c.merged.Config.Services) {
		s := c.merged.Config.Services[name]
		c.name("services", name)
		c.kind(name, s)
		c.bounds(name, s)
		for i, r := range s.Routes {
			c.route(name, i, r)
		}
	}
}

func (c *Checker) kind(name string, s configurer.Service) {
	_, known := c.merged.Config.Models[s.Model]
	switch {
	case s.Kind != "engine" && s.Kind != "plain":
		c.fault([]string{"services", name, "kind"}, `want "engine" or "plain", found %q`, s.Kind)
	case s.Kind == "plain" && s.Model != "":
		c.fault([]string{"services", name, "model"}, "a plain service has no model")
	case s.Kind == "engine" && s.Model == "":
		c.fault([]string{"services", name, "model"}, "an engine service needs a model")
	case s.Kind == "engine" && !known:
		c.fault([]string{"services", name, "model"}, "model %q is not in models", s.Model)
	case s.Kind == "engine" && len(s.Routes) > 0:
		c.fault([]string{"services", name, "routes"}, "an engine service has no routes")
	}
}

func (c *Checker) bounds(name string, s configurer.Service) {
	c.in(s.Timeout, 0, maxSeconds, "services", name, "timeout")
	c.in(s.MaxTimeout, 0, maxSeconds, "services", name, "longest")
	c.in(float64(s.Priority), -maxPriority, maxPriority, "services", name, "priority")
	c.in(float64(s.MinReplicas), 0, maxReplicas, "services", name, "least")
	c.in(float64(s.MaxReplicas), 0, maxReplicas, "services", name, "most")
	if s.MaxTimeout > 0 && s.Timeout > s.MaxTimeout {
		c.fault([]string{"services", name, "timeout"}, "%v exceeds longest, %v", s.Timeout, s.MaxTimeout)
	}
	if s.MaxReplicas > 0 && s.MinReplicas > s.MaxReplicas {
		c.fault([]string{"services", name, "least"}, "%d exceeds most, %d", s.MinReplicas, s.MaxReplicas)
	}
}

var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (c *Checker) route(name string, i int, r configurer.Route) {
	path := []string{"services", name, "routes", strconv.Itoa(i)}
	if !slices.Contains(methods, r.Method) {
		c.fault(append(path, "method"), "unknown method %q", r.Method)
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		c.fault(append(path, "prefix"), "%q does not begin with /", r.Prefix)
	}
}

func (c *Checker) models() {
	for _, name := range sorted(c.merged.Config.Models) {
		m := c.merged.Config.Models[name]
		c.name("models", name)
		c.in(float64(m.Window), 0, maxWindow, "models", name, "window")
		c.in(float64(m.Output), 0, maxWindow, "models", name, "output")
		c.in(m.Bytes, 0, 1024, "models", name, "bytes")
		if m.Version == "" {
			c.fault([]string{"models", name, "version"}, "a model needs a version")
		}
	}
}

func (c *Checker) accounts() {
	for _, name := range sorted(c.merged.Config.Accounts) {
		a := c.merged.Config.Accounts[name]
		c.name("accounts", name)
		if a.Token != "" || a.Keys == nil { // an empty list says that no key is in force
			c.token(a.Token, "accounts", name, "token")
		}
		for i, k := range a.Keys {
			c.token(k, "accounts", name, "keys", strconv.Itoa(i))
		}
		c.in(float64(a.Share), 0, maxShare, "accounts", name, "share")
		c.in(float64(a.Priority), -maxPriority, maxPriority, "accounts", name, "priority")
		c.in(a.Rate, 0, 1e12, "accounts", name, "rate")
		c.in(a.Burst, 0, 1e12, "accounts", name, "burst")
		c.in(float64(a.Conc), 0, 1e6, "accounts", name, "conc")
		for i, s := range a.Services {
			if _, known := c.merged.Config.Services[s]; !known {
				c.fault([]string{"accounts", name, "services", strconv.Itoa(i)}, "service %q is not in services", s)
			}
		}
	}
}

func (c *Checker) operators() {
	for _, name := range sorted(c.merged.Config.Operators) {
		c.name("operators", name)
		c.token(c.merged.Config.Operators[name].Token, "operators", name, "token")
	}
}

// token checks that a token digest is well formed and used only once.
func (c *Checker) token(token string, path ...string) {
	raw, err := hex.DecodeString(token)
	if err != nil || len(raw) != tokenBytes || strings.ToLower(token) != token {
		c.fault(path, "want the SHA-256 of the token as %d lower-case hex digits", 2*tokenBytes)
		return
	}
	if c.tokens == nil {
		c.tokens = map[string]string{}
	}
	if other, used := c.tokens[token]; used {
		c.fault(path, "token is that of %s too", other)
		return
	}
	c.tokens[token] = strings.Join(path[:2], ".")
}

func (c *Checker) limits() {
	l := c.merged.Config.Limits
	c.in(float64(l.Body), 0, maxBody, "limits", "body")
	c.in(l.Retries, 0, 1, "limits", "retries")
	c.in(float64(l.CrashLimit), 0, 100, "limits", "crashes")
	c.in(l.QuarantineTime, 0, maxSeconds, "limits", "banned")
	c.in(l.AnswerRetention, 0, maxSeconds, "limits", "kept")
	c.in(float64(l.Header), 0, maxBody, "limits", "header")
	c.in(l.HeaderTimeout, 0, maxSeconds, "limits", "begin")
	c.in(l.IdleTimeout, 0, maxSeconds, "limits", "idle")
}
