// Package checker validates a merged configuration. It reports all faults at once,
// each with the file, line and column of the value.
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

// Rules is the version of the validation rules of this package, decoder and merger.
// It is incremented with every change by which a folder could be accepted or rejected
// differently.
const Rules = 3

const (
	tokenBytes   = 32
	maxSeconds   = 7 * 24 * 3600.0
	maxBodyBytes = 15 << 20 // bytes; a request with its headers must fit into one frame
	maxPriority  = 1000
	maxCold      = 1e6     // requests per second
	maxColdTime  = 600.0   // seconds; see ramper.MaxCold
	maxCache     = 1 << 40 // tokens
	maxShare     = 10000
	maxWindow    = 16 << 20 // tokens
	maxReplicas  = 10000
)

var nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// IsName reports whether s is a valid name of a service, an account or an availability zone.
func IsName(s string) bool { return nameRE.MatchString(s) }

// Check merges and validates the files of a folder. The configuration is nil if
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

// CheckMerged returns all faults of the merged configuration, sorted by position.
func CheckMerged(m *merger.Merger) decoder.Faults {
	c := Checker{merged: m}
	c.checkServices()
	c.checkPaths()
	c.checkModels()
	c.checkAccounts()
	c.checkOperators()
	c.checkLimits()
	slices.SortStableFunc(c.faults, func(a, b decoder.Fault) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return c.faults
}

// Checker collects the faults of one configuration.
type Checker struct {
	merged      *merger.Merger
	faults      decoder.Faults
	tokenOwners map[string]string // account or operator that uses a token, by hex digest
}

func (c *Checker) fault(path []string, format string, args ...any) {
	f := decoder.Fault{Position: c.merged.Tree.FindPosition(path...), Message: strings.Join(path, ".") + ": " + fmt.Sprintf(format, args...)}
	c.faults = append(c.faults, f)
}

// checkRange adds a fault unless lower <= x <= upper.
func (c *Checker) checkRange(x, lower, upper float64, path ...string) {
	if x < lower || x > upper {
		c.fault(path, "%s is not within %s and %s", formatNumber(x), formatNumber(lower), formatNumber(upper))
	}
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func (c *Checker) checkName(path ...string) {
	if !nameRE.MatchString(path[len(path)-1]) {
		c.fault(path, "a name is a letter or digit and up to 62 letters, digits, '.', '_' or '-'")
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (c *Checker) checkServices() {
	for _, name := range sortedKeys(c.merged.Config.Services) {
		s := c.merged.Config.Services[name]
		c.checkName("services", name)
		c.checkKind(name, s)
		c.checkServiceLimits(name, s)
		for i, r := range s.Routes {
			c.checkRoute(name, i, r)
		}
	}
}

func (c *Checker) checkKind(name string, s configurer.Service) {
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

func (c *Checker) checkServiceLimits(name string, s configurer.Service) {
	c.checkRange(s.Timeout, 0, maxSeconds, "services", name, "timeout")
	c.checkRange(s.MaxTimeout, 0, maxSeconds, "services", name, "longest")
	c.checkRange(float64(s.Priority), -maxPriority, maxPriority, "services", name, "priority")
	c.checkRange(float64(s.MinReplicas), 0, maxReplicas, "services", name, "least")
	c.checkRange(float64(s.MaxReplicas), 0, maxReplicas, "services", name, "most")
	c.checkRange(s.Cold, 0, maxCold, "services", name, "cold")
	c.checkRange(s.ColdTime, 0, maxColdTime, "services", name, "coldtime")
	c.checkRange(float64(s.Engine.Cache), -1, maxCache, "services", name, "engine", "cache")
	if s.MaxTimeout > 0 && s.Timeout > s.MaxTimeout {
		c.fault([]string{"services", name, "timeout"}, "%v exceeds longest, %v", s.Timeout, s.MaxTimeout)
	}
	if s.MaxReplicas > 0 && s.MinReplicas > s.MaxReplicas {
		c.fault([]string{"services", name, "least"}, "%d exceeds most, %d", s.MinReplicas, s.MaxReplicas)
	}
}

var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (c *Checker) checkRoute(name string, i int, r configurer.Route) {
	path := []string{"services", name, "routes", strconv.Itoa(i)}
	if !slices.Contains(methods, r.Method) {
		c.fault(append(path, "method"), "unknown method %q", r.Method)
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		c.fault(append(path, "prefix"), "%q does not begin with /", r.Prefix)
	}
}

func (c *Checker) checkModels() {
	for _, name := range sortedKeys(c.merged.Config.Models) {
		m := c.merged.Config.Models[name]
		c.checkName("models", name)
		c.checkRange(float64(m.Window), 0, maxWindow, "models", name, "window")
		c.checkRange(float64(m.Output), 0, maxWindow, "models", name, "output")
		c.checkRange(m.Bytes, 0, 1024, "models", name, "bytes")
		if m.Version == "" {
			c.fault([]string{"models", name, "version"}, "a model needs a version")
		}
	}
}

func (c *Checker) checkAccounts() {
	for _, name := range sortedKeys(c.merged.Config.Accounts) {
		a := c.merged.Config.Accounts[name]
		c.checkName("accounts", name)
		if a.Token != "" || a.Keys == nil { // an empty list of keys means that the account has none
			c.checkToken(a.Token, "accounts", name, "token")
		}
		for i, k := range a.Keys {
			c.checkToken(k, "accounts", name, "keys", strconv.Itoa(i))
		}
		c.checkRange(float64(a.Share), 0, maxShare, "accounts", name, "share")
		c.checkRange(float64(a.Priority), -maxPriority, maxPriority, "accounts", name, "priority")
		c.checkRange(a.Rate, 0, 1e12, "accounts", name, "rate")
		c.checkRange(a.Burst, 0, 1e12, "accounts", name, "burst")
		c.checkRange(float64(a.Conc), 0, 1e6, "accounts", name, "conc")
		c.checkRegions(a.Regions, "accounts", name, "regions")
		for i, s := range a.Services {
			if _, known := c.merged.Config.Services[s]; !known {
				c.fault([]string{"accounts", name, "services", strconv.Itoa(i)}, "service %q is not in services", s)
			}
		}
	}
}

func (c *Checker) checkOperators() {
	for _, name := range sortedKeys(c.merged.Config.Operators) {
		c.checkName("operators", name)
		c.checkToken(c.merged.Config.Operators[name].Token, "operators", name, "token")
	}
}

// checkToken checks that a token digest is well-formed and not used elsewhere.
func (c *Checker) checkToken(token string, path ...string) {
	raw, err := hex.DecodeString(token)
	if err != nil || len(raw) != tokenBytes || strings.ToLower(token) != token {
		c.fault(path, "want the SHA-256 of the token as %d lower-case hex digits", 2*tokenBytes)
		return
	}
	if c.tokenOwners == nil {
		c.tokenOwners = map[string]string{}
	}
	if other, used := c.tokenOwners[token]; used {
		c.fault(path, "token is that of %s too", other)
		return
	}
	c.tokenOwners[token] = strings.Join(path[:2], ".")
}

func (c *Checker) checkLimits() {
	l := c.merged.Config.Limits
	c.checkRange(float64(l.Body), 0, maxBodyBytes, "limits", "body")
	c.checkRange(l.Retries, 0, 1, "limits", "retries")
	c.checkRange(float64(l.CrashLimit), 0, 100, "limits", "crashes")
	c.checkRange(l.QuarantineTime, 0, maxSeconds, "limits", "banned")
	c.checkRange(l.AnswerRetention, 0, maxSeconds, "limits", "kept")
	c.checkRange(float64(l.Header), 0, maxBodyBytes, "limits", "header")
	c.checkRange(l.HeaderTimeout, 0, maxSeconds, "limits", "begin")
	c.checkRange(l.IdleTimeout, 0, maxSeconds, "limits", "idle")
}
