// Package configurer declares the fleet configuration that operators maintain:
// services, models, client accounts and limits. It holds plain data; package merger
// builds it from a folder of files and package checker validates it.
package configurer

import "maps"

// Configurer is one complete fleet configuration.
type Configurer struct {
	Services  map[string]Service  `json:"services"`
	Paths     []Path              `json:"paths,omitempty"`
	Models    map[string]Model    `json:"models"`
	Accounts  map[string]Account  `json:"accounts"`
	Limits    Limits              `json:"limits"`
	Operators map[string]Operator `json:"operators"`
}

// Service is one service that callers can send requests to.
type Service struct {
	Kind        string  `json:"kind"`            // "engine" or "plain"
	Model       string  `json:"model"`           // required for an engine service
	Once        bool    `json:"once"`            // not idempotent; each request needs an Idempotency-Key
	Routes      []Route `json:"routes"`          // of a plain service; if empty, all paths are served and the method decides on idempotency
	Timeout     float64 `json:"timeout"`         // default timeout in seconds
	MaxTimeout  float64 `json:"longest"`         // largest timeout in seconds that a caller may request
	Priority    int     `json:"priority"`        // higher goes first
	MinReplicas int     `json:"least"`           // minimum number of replicas
	MaxReplicas int     `json:"most"`            // maximum number of replicas
	Conns       int     `json:"conns,omitempty"` // maximum connections to one replica; zero for no limit
	Engine      Engine  `json:"engine,omitzero"` // declared performance; zero if unknown

	Cold     float64 `json:"cold,omitempty"`     // requests per second that a cold target tolerates; zero for no bound
	ColdTime float64 `json:"coldtime,omitempty"` // seconds that a target stays cold after a start
}

// Engine is the declared performance of one replica of an engine service. The engine
// runs in passes: while it decodes, a pass is a fixed number of steps, and each
// stream gets one event per pass.
type Engine struct {
	Slots   int     `json:"slots"`   // maximum number of concurrent requests
	Memory  int     `json:"memory"`  // KV cache capacity in tokens
	Stride  int     `json:"stride"`  // steps per pass
	Chunk   int     `json:"chunk"`   // maximum prompt tokens prefilled per step
	Step    float64 `json:"step"`    // milliseconds per step
	Seq     float64 `json:"seq"`     // additional milliseconds per step for each stream
	Context float64 `json:"context"` // additional milliseconds per step for 1,000 tokens of context
	Read    float64 `json:"read"`    // prefill speed in prompt tokens per second
	Pairs   float64 `json:"pairs"`   // milliseconds of prefill per million pairs of a prompt token and an earlier token
	Hop     float64 `json:"hop"`     // additional milliseconds per step while helpers hold a part of the prompt
	Prompt  float64 `json:"prompt"`  // typical mean prompt length in tokens
	Answer  float64 `json:"answer"`  // typical mean answer length in tokens
	Cache   int     `json:"cache"`   // tokens of finished prompts that it keeps; -1 for none, 0 if unknown
}

// Kinds of a Path.
const (
	KindSafe   = "safe"   // requests may run any number of times
	KindUnsafe = "unsafe" // requests may run once
	KindStream = "stream" // answers are server-sent events; requests may run once unless the path is resumable
)

// Path routes requests for a host and path prefix to services. The longest matching
// prefix applies.
type Path struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"` // path prefix; begins and ends with /
	Kind        string  `json:"kind"`   // "safe", "unsafe" or "stream"
	Split       []Split `json:"split"`
	MaxAttempts int     `json:"tries"`    // maximum number of attempts per request; 1 if zero
	Timeout     float64 `json:"timeout"`  // seconds
	Objective   float64 `json:"aim"`      // objective in seconds for the time to the answer, or to the first event of a stream
	Gap         float64 `json:"gap"`      // objective in seconds for the gap between events of a stream
	Priority    int     `json:"priority"` // higher goes first
	Open        bool    `json:"open"`     // callers need no account
	Resume      bool    `json:"resume"`   // another target can resume the stream after Last-Event-Id
	Tokens      bool    `json:"tokens"`   // callers send the token counts in a header

	Regions []string `json:"regions,omitempty"` // where its requests may be served; empty for anywhere
}

// Split assigns a share of a Path's requests to one service, in proportion to Weight.
type Split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route declares whether requests to a plain service are idempotent.
type Route struct {
	Method string `json:"method"` // empty for any
	Prefix string `json:"prefix"` // path prefix after the service name
	Once   bool   `json:"once"`   // not idempotent
}

// Model is one model and the version that the fleet serves.
type Model struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Window   int      `json:"window"` // maximum prompt tokens
	Output   int      `json:"output"` // limit of answer tokens assumed when the caller sets none
	Bytes    float64  `json:"bytes"`  // bytes per token, used until measured from usage
}

// Account is one client account.
type Account struct {
	Token    string   `json:"token"`          // hex SHA-256 of the bearer token
	Keys     []string `json:"keys,omitempty"` // hex SHA-256 of further keys
	Services []string `json:"services"`       // allowed services; empty for all
	Share    int      `json:"share"`          // weight in fair queueing
	Priority int      `json:"priority"`       // added to the priority of the service
	Rate     float64  `json:"rate"`           // tokens per second; zero for no limit
	Burst    float64  `json:"burst"`          // token bucket size; zero for ten seconds of Rate
	Conc     int      `json:"conc"`           // maximum requests in flight; zero for no limit

	Regions []string `json:"regions,omitempty"` // where its requests may be served; empty for anywhere
}

// Operator is an account of the administration API.
type Operator struct {
	Token string `json:"token"` // hex SHA-256 of the bearer token
}

// Limits apply to the whole fleet.
type Limits struct {
	Body            int     `json:"body"`             // maximum request body in bytes
	Header          int     `json:"header,omitempty"` // maximum request header in bytes
	HeaderTimeout   float64 `json:"begin,omitempty"`  // seconds within which a caller must send the request header
	IdleTimeout     float64 `json:"idle,omitempty"`   // seconds after which an idle caller connection is closed
	Retries         float64 `json:"retries"`          // maximum ratio of retries to requests of a service
	CrashLimit      int     `json:"crashes"`          // crashed incarnations after which a request is quarantined
	QuarantineTime  float64 `json:"banned"`           // seconds that a quarantine lasts
	AnswerRetention float64 `json:"kept"`             // seconds that an answer is kept for its Idempotency-Key
	Fair            bool    `json:"fair,omitempty"`   // accounts are served by their use of the fleet
}

// ByModel returns the name of the engine service of a model, the first in byte order
// if there are several, or an empty string if there is none.
func (c *Configurer) ByModel(model string) string {
	first := ""
	for name := range maps.Keys(c.Services) {
		s := c.Services[name]
		if s.Kind == "engine" && s.Model == model && (first == "" || name < first) {
			first = name
		}
	}
	return first
}
