// Package driver implements the client side of the engine protocol
// (docs/ENGINE.md). It opens a new connection for every exchange and bounds the
// time without traffic on each, so that no call waits on a dead connection.
package driver

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// Header fields of a run request.
const (
	HeaderID        = "Engine-Id"
	HeaderPriority  = "Engine-Priority"
	HeaderRemaining = "Engine-Remaining" // milliseconds
	HeaderImport    = "Engine-Import"    // base64
	HeaderPrefill   = "Engine-Prefill"   // "true"
)

const (
	// DefaultIdleTimeout applies when Driver.IdleTimeout is zero.
	DefaultIdleTimeout = 3 * time.Second
	// KeepAliveInterval is the time between the keepalives that an engine sends on an
	// idle stream.
	KeepAliveInterval = time.Second
)

// Driver is a client of one engine or plain service. It is safe for concurrent use.
type Driver struct {
	BaseURL     string        // scheme, host and port of the target
	Client      *http.Client  // if nil, a client that does not reuse connections
	IdleTimeout time.Duration // time without traffic after which the target counts as lost; DefaultIdleTimeout if zero
}

// Request is a prompt for the engine.
type Request struct {
	ID        string        // chosen by the caller, unique within the engine's incarnation
	Body      []byte        // JSON: model, prompt or messages, max_tokens
	Priority  int           // requests of higher priority are scheduled first
	Remaining time.Duration // time after which the engine ends the request; zero means no bound
	Import    []byte        // KV handle of the preceding segments
	Prefill   bool          // hold the KV cache of the prompt and export it instead of decoding
}

// Result describes a completed answer.
type Result struct {
	Usage        messenger.Usage
	FinishReason string // "stop", "length" or "export"
	Export       []byte // KV handle after a Prefill request; the engine holds its memory until Cancel
}

// Report is the state of an engine. Memory, Used, Cached and Waiting are in tokens.
type Report struct {
	Incarnation uint64   `json:"incarnation"`
	Memory      int      `json:"memory"`  // total capacity
	Used        int      `json:"used"`    // by requests and held KV caches; zero when idle
	Cached      int      `json:"cached"`  // kept for later prompts, evicted when memory is needed
	Waiting     int      `json:"waiting"` // prompt tokens not yet prefilled
	Running     int      `json:"running"` // number of requests that have not ended
	PrefillRate int      `json:"speed"`   // tokens per second
	DecodeRate  int      `json:"pace"`    // tokens per second and request
	Live        []string `json:"live"`    // IDs of requests and held KV caches, sorted
	Model       string   `json:"model"`   // empty if no model is loaded
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	Fence       uint64   `json:"fence"`   // highest fencing token executed; zero if the engine ignores fencing
	Loading     string   `json:"loading"` // what the engine is fetching from the weight store
}

// Event is a change of the prefix cache. A gap in Seq means that events were lost;
// Events with after zero then returns the full contents.
type Event struct {
	Seq     uint64   `json:"seq"`
	Full    bool     `json:"whole"` // Added holds the full contents of the cache
	Added   []uint64 `json:"added"`
	Removed []uint64 `json:"removed"`
}

// Text is the JSON event that Run and Resume emit for each chunk of an answer.
type Text struct {
	Text string `json:"text"`
}

// Ordered is the engine's answer to an order.
type Ordered struct {
	Fence uint64 `json:"fence"`
}

// Failure is the body of an error response and the error in a stream's last event.
type Failure struct {
	Code       coder.Code `json:"code"`
	Text       string     `json:"text"`
	RetryAfter float64    `json:"retry"` // seconds; zero if a retry does not help
}

// End is the last event of a run's stream. Either FinishReason or Error is set.
type End struct {
	FinishReason string   `json:"done,omitempty"`
	Usage        Usage    `json:"usage"`
	Export       []byte   `json:"export,omitempty"`
	Error        *Failure `json:"error,omitempty"`
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt int `json:"prompt"`
	Cached int `json:"cached"`
	Output int `json:"output"`
}

// Run starts a request and emits its Text events in order, as encoded JSON; the nth
// event emitted has sequence number n. The engine continues when the stream is lost
// or ctx ends; the request is freed only by Cancel, when it ends, or after its
// Remaining time. Errors carry TargetLost (with run state NotRun if no connection
// was made), the code that the engine sent, or the code for the end of ctx.
func (d *Driver) Run(ctx context.Context, r Request, emit func(data []byte) error) (Result, error) {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(HeaderID, r.ID)
	h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.Remaining > 0 {
		h.Set(HeaderRemaining, strconv.FormatInt(max(r.Remaining.Milliseconds(), 1), 10))
	}
	if len(r.Import) > 0 {
		h.Set(HeaderImport, base64.StdEncoding.EncodeToString(r.Import))
	}
	if r.Prefill {
		h.Set(HeaderPrefill, "true")
	}
	return d.streamAnswer(ctx, call{method: http.MethodPost, path: "/run", header: h, body: r.Body}, 0, emit)
}

// Resume emits the events of a running or ended request that follow sequence
// number after. Errors carry UnknownAttempt if the engine has no record of it.
func (d *Driver) Resume(ctx context.Context, id string, after uint64, emit func(data []byte) error) (Result, error) {
	path := "/run/" + url.PathEscape(id) + "?after=" + strconv.FormatUint(after, 10)
	return d.streamAnswer(ctx, call{method: http.MethodGet, path: path}, after, emit)
}

// Cancel ends a request or hold and frees its memory. It is idempotent and succeeds
// for an ID that the engine has no record of.
func (d *Driver) Cancel(ctx context.Context, id string) error {
	return d.roundTrip(ctx, call{method: http.MethodDelete, path: "/run/" + url.PathEscape(id)}, nil)
}

// Report returns the engine's current state.
func (d *Driver) Report(ctx context.Context) (Report, error) {
	var r Report
	err := d.roundTrip(ctx, call{method: http.MethodGet, path: "/report"}, &r)
	return r, err
}

// Loads emits the reports that the engine publishes periodically, with a delay. It
// returns when the stream ends.
func (d *Driver) Loads(ctx context.Context, emit func(Report) error) error {
	return d.stream(ctx, call{method: http.MethodGet, path: "/loads"}, func(_ uint64, data []byte) (bool, error) {
		var r Report
		if err := json.Unmarshal(data, &r); err != nil {
			return false, coder.Errorf(coder.EngineFailed, "load report: %v", err)
		}
		return false, emit(r)
	})
}

// Events emits the changes of the prefix cache after a sequence number. They arrive
// with a delay and may have gaps. It returns when the stream ends.
func (d *Driver) Events(ctx context.Context, after uint64, emit func(Event) error) error {
	path := "/events?after=" + strconv.FormatUint(after, 10)
	return d.stream(ctx, call{method: http.MethodGet, path: path}, func(_ uint64, data []byte) (bool, error) {
		var e Event
		if err := json.Unmarshal(data, &e); err != nil {
			return false, coder.Errorf(coder.EngineFailed, "cache event: %v", err)
		}
		return false, emit(e)
	})
}

// Order sends an order and returns the highest fencing token that the engine has
// executed. The engine accepts a load at once and executes it asynchronously; Report
// shows when it is complete. Errors carry Fenced, Busy, Invalid or TargetLost.
func (d *Driver) Order(ctx context.Context, o messenger.Order) (fence uint64, err error) {
	body, err := json.Marshal(order(o))
	if err != nil {
		return 0, coder.Errorf(coder.Internal, "encode order: %v", err)
	}
	var out Ordered
	err = d.roundTrip(ctx, call{method: http.MethodPost, path: "/order", body: body}, &out)
	return out.Fence, err
}

// order is messenger.Order as the engine protocol encodes it.
type order struct {
	Fence   uint64 `json:"fence"`
	Target  string `json:"target"`
	Verb    string `json:"verb"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Lane    string `json:"lane"`
}
