// Package configurer declares the configuration that operators drive the fleet
// with: services, models, client accounts and limits. It is plain data, as the
// merged folder gives it; package merger makes it and package checker checks it.
package configurer

import "maps"

// Configurer is one whole configuration.
type Configurer struct {
	Services  map[string]Service  `json:"services"`
	Models    map[string]Model    `json:"models"`
	Accounts  map[string]Account  `json:"accounts"`
	Limits    Limits              `json:"limits"`
	Operators map[string]Operator `json:"operators"`
}

// Service is one thing callers can ask for.
type Service struct {
	Kind     string  `json:"kind"`     // "engine" or "plain"
	Model    string  `json:"model"`    // of an engine service
	Once     bool    `json:"once"`     // not idempotent: each request needs an Idempotency-Key
	Routes   []Route `json:"routes"`   // of a plain service; none means every path, idempotent by method
	Timeout  float64 `json:"timeout"`  // seconds when the caller names none
	Longest  float64 `json:"longest"`  // seconds a caller may ask for at most
	Priority int     `json:"priority"` // higher goes first
	Least    int     `json:"least"`    // replicas kept
	Most     int     `json:"most"`     // replicas at most
}

// Route says whether calls of a plain service may be repeated.
type Route struct {
	Method string `json:"method"` // empty for any
	Prefix string `json:"prefix"` // of the path after the service's name
	Once   bool   `json:"once"`   // not idempotent
}

// Model is one model with the version the fleet should serve.
type Model struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Window   int      `json:"window"` // prompt tokens at most
	Output   int      `json:"output"` // answer tokens when the caller names no bound
	Bytes    float64  `json:"bytes"`  // per token, until learned from usage
}

// Account is one client account.
type Account struct {
	Token    string   `json:"token"`    // hex SHA-256 of the bearer token
	Services []string `json:"services"` // allowed; none means all
	Share    int      `json:"share"`    // weight in fair queueing
	Priority int      `json:"priority"` // added to the service's
	Rate     float64  `json:"rate"`     // tokens a second; zero for no limit
	Burst    float64  `json:"burst"`    // tokens at once; zero for ten seconds of Rate
	Conc     int      `json:"conc"`     // requests in flight; zero for no limit
}

// Operator may use the administration API.
type Operator struct {
	Token string `json:"token"` // hex SHA-256 of the bearer token
}

// Limits hold for the whole fleet.
type Limits struct {
	Body    int     `json:"body"`    // bytes of a request at most
	Retries float64 `json:"retries"` // share of a service's traffic that may be retries
	Crashes int     `json:"crashes"` // distinct incarnations before a request is quarantined
	Banned  float64 `json:"banned"`  // seconds a quarantine lasts
	Kept    float64 `json:"kept"`    // seconds an answer is kept for its Idempotency-Key
}

// ByModel returns the name of the first engine service of a model in name
// order, or empty if there is none.
func (c *Configurer) ByModel(model string) string {
	best := ""
	for name := range maps.Keys(c.Services) {
		s := c.Services[name]
		if s.Kind == "engine" && s.Model == model && (best == "" || name < best) {
			best = name
		}
	}
	return best
}
