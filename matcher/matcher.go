// Package matcher finds the configured path that matches a request, and the service to
// which the request is sent.
package matcher

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/configurer"
)

// Matcher matches requests against the paths of a configuration. The zero value matches
// no request.
type Matcher struct {
	byHost map[string]map[string]*configurer.Path // host, then prefix
}

// New returns a Matcher for the paths of a configuration. It keeps pointers into the slice.
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

// Match returns the path of the host with the longest prefix of requestPath, or nil if
// there is none. requestPath may include a query, which is ignored, as is a port in host.
// Match does one map lookup for each slash of the path.
func (m *Matcher) Match(host, requestPath string) *configurer.Path {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := m.byHost[strings.ToLower(host)]
	if len(prefixes) == 0 {
		return nil
	}
	requestPath, _, _ = strings.Cut(requestPath, "?")
	for i := strings.LastIndexByte(requestPath, '/'); i >= 0; i = strings.LastIndexByte(requestPath[:i], '/') {
		if p := prefixes[requestPath[:i+1]]; p != nil {
			return p
		}
	}
	return nil
}

// PickService returns the service for the request with the given ID, or "" if no service
// has a weight. Each service receives requests in proportion to its weight, and the same
// ID always selects the same service.
func PickService(p *configurer.Path, id string) string {
	total := uint64(0)
	for _, s := range p.Split {
		total += uint64(max(0, s.Weight))
	}
	if total == 0 {
		return ""
	}
	point := xxhash.Sum64String(id) % total
	for _, s := range p.Split {
		w := uint64(max(0, s.Weight))
		if point < w {
			return s.Service
		}
		point -= w
	}
	return ""
}
