// Package matcher finds the path of a configuration that a caller's request takes,
// and the service that it goes to.
package matcher

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/configurer"
)

// Matcher is the paths of one configuration. The zero value matches nothing.
type Matcher struct {
	byHost map[string]map[string]*configurer.Path // host, then prefix
}

// New returns the Matcher of a configuration's paths.
func New(paths []configurer.Path) *Matcher {
	m := &Matcher{byHost: map[string]map[string]*configurer.Path{}}
	for i := range paths {
		p := &paths[i]
		host := strings.ToLower(p.Host)
		if m.byHost[host] == nil {
			m.byHost[host] = map[string]*configurer.Path{}
		}
		m.byHost[host][p.Prefix] = p
	}
	return m
}

// Match returns the path of the host with the longest prefix that begins target,
// a request's path with or without its query; nil if there is none. A port in the
// host is ignored. It looks once for each slash of the target.
func (m *Matcher) Match(host, target string) *configurer.Path {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := m.byHost[strings.ToLower(host)]
	if len(prefixes) == 0 {
		return nil
	}
	target, _, _ = strings.Cut(target, "?")
	for i := strings.LastIndexByte(target, '/'); i >= 0; i = strings.LastIndexByte(target[:i], '/') {
		if p := prefixes[target[:i+1]]; p != nil {
			return p
		}
	}
	return nil
}

// Service returns the service that one request goes to: each gets its weight's
// share of the ids, and one id always the same service.
func Service(p *configurer.Path, id string) string {
	sum := uint64(0)
	for _, s := range p.Split {
		sum += uint64(max(0, s.Weight))
	}
	if sum == 0 {
		return ""
	}
	at := xxhash.Sum64String(id) % sum
	for _, s := range p.Split {
		w := uint64(max(0, s.Weight))
		if at < w {
			return s.Service
		}
		at -= w
	}
	return ""
}
