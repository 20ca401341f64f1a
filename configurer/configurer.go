// Package configurer declares the configuration that operators drive the fleet
// with: services, models, client accounts and limits. It is plain data, as the
// merged folder gives it; package merger makes it and package checker checks it.
package configurer

import "maps"

// Configurer is one whole configuration.
type Configurer struct {
	Services  map[string]Service  `json:"services"`
	Paths     []Path              `json:"paths,omitempty"`
	Models    map[string]Model    `json:"models"`
	Accounts  map[string]Account  `json:"accounts"`
	Limits    Limits              `json:"limits"`
	Operators map[string]Operator `json:"operators"`
}

// Service is one thing callers can ask for.
type Service struct {
	Kind        string  `json:"kind"`            // "engine" or "plain"
	Model       string  `json:"model"`           // of an engine service
	Once        bool    `json:"once"`            // not idempotent: each request needs an Idempotency-Key
	Routes      []Route `json:"routes"`          // of a plain service; none means every path, idempotent by method
	Timeout     float64 `json:"timeout"`         // seconds when the caller names none
	MaxTimeout  float64 `json:"longest"`         // seconds a caller may ask for at most
	Priority    int     `json:"priority"`        // higher goes first
	MinReplicas int     `json:"least"`           // replicas kept
	MaxReplicas int     `json:"most"`            // replicas at most
	Conns       int     `json:"conns,omitempty"` // connections that one replica accepts; zero for no bound
	Engine      Engine  `json:"engine,omitzero"` // declared speed; zero if unknown
}

// Engine is the declared speed of one replica of an engine service. It works in
// passes: while it writes, a pass is a fixed number of steps, and each of its
// streams gets one event a pass.
type Engine struct {
	Slots   int     `json:"slots"`   // requests at once
	Memory  int     `json:"memory"`  // tokens
	Stride  int     `json:"stride"`  // steps of a pass
	Chunk   int     `json:"chunk"`   // prompt tokens read in a step at most
	Step    float64 `json:"step"`    // milliseconds of a step
	Seq     float64 `json:"seq"`     // milliseconds more for each stream
	Context float64 `json:"context"` // milliseconds more for 1,000 tokens of context
	Read    float64 `json:"read"`    // prompt tokens a second
	Pairs   float64 `json:"pairs"`   // milliseconds for a million pairs of a prompt token and an earlier one
	Hop     float64 `json:"hop"`     // milliseconds a step more while others hold a part of the prompt
	Prompt  float64 `json:"prompt"`  // tokens, usual mean
	Answer  float64 `json:"answer"`  // tokens, usual mean
}

// Kinds of requests of a Path.
const (
	KindSafe   = "safe"   // may run any number of times
	KindUnsafe = "unsafe" // may run once
	KindStream = "stream" // server-sent events; may run once unless it resumes
)

// Path sends callers' requests for a host and the longest matching prefix to services.
type Path struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"` // of the path; begins and ends with /
	Kind        string  `json:"kind"`   // "safe", "unsafe" or "stream"
	Split       []Split `json:"split"`
	MaxAttempts int     `json:"tries"`    // targets that a request is sent to at most; 1 if zero
	Timeout     float64 `json:"timeout"`  // seconds
	Objective   float64 `json:"aim"`      // seconds to the answer, of a stream to its first event
	Gap         float64 `json:"gap"`      // seconds between the events of a stream
	Priority    int     `json:"priority"` // higher goes first
	Open        bool    `json:"open"`     // no account is needed
	Resume      bool    `json:"resume"`   // another target goes on after Last-Event-Id
	Tokens      bool    `json:"tokens"`   // callers tell the token counts
}

// Split is the share of a Path's requests that one service gets.
type Split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
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
	Token    string   `json:"token"`          // hex SHA-256 of the bearer token
	Keys     []string `json:"keys,omitempty"` // hex SHA-256 of further keys
	Services []string `json:"services"`       // allowed; none means all
	Share    int      `json:"share"`          // weight in fair queueing
	Priority int      `json:"priority"`       // added to the service's
	Rate     float64  `json:"rate"`           // tokens a second; zero for no limit
	Burst    float64  `json:"burst"`          // tokens at once; zero for ten seconds of Rate
	Conc     int      `json:"conc"`           // requests in flight; zero for no limit
}

// Operator may use the administration API.
type Operator struct {
	Token string `json:"token"` // hex SHA-256 of the bearer token
}

// Limits hold for the whole fleet.
type Limits struct {
	Body            int     `json:"body"`             // bytes of a request at most
	Header          int     `json:"header,omitempty"` // bytes of a request's header at most
	HeaderTimeout   float64 `json:"begin,omitempty"`  // seconds that a caller may take to send a header
	IdleTimeout     float64 `json:"idle,omitempty"`   // seconds that a caller's connection may stay idle
	Retries         float64 `json:"retries"`          // share of a service's traffic that may be retries
	CrashLimit      int     `json:"crashes"`          // distinct incarnations before a request is quarantined
	QuarantineTime  float64 `json:"banned"`           // seconds a quarantine lasts
	AnswerRetention float64 `json:"kept"`             // seconds an answer is kept for its Idempotency-Key
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
