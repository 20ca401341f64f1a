// Package driver is the client side of the engine protocol (docs/ENGINE.md). It
// opens a new connection for every exchange and bounds the silence on each, so
// that nothing ever waits on an old socket.
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

// Header fields of a run.
const (
	HeaderID        = "Engine-Id"
	HeaderPriority  = "Engine-Priority"
	HeaderRemaining = "Engine-Remaining" // milliseconds
	HeaderImport    = "Engine-Import"    // base64
	HeaderPrefill   = "Engine-Prefill"   // "true"
)

const (
	// DefaultSilence ends a stream without an event or keepalive when Driver.Silence is zero.
	DefaultSilence = 3 * time.Second
	// KeepAlive is the time between an engine's keepalives on an idle stream.
	KeepAlive = time.Second
)

// Driver talks to one engine or plain service.
type Driver struct {
	BaseURL string        // URL without a path
	Client  *http.Client  // one without reuse of connections if nil
	Silence time.Duration // without a byte before a target counts as lost; DefaultSilence if zero
}

// Request is one prompt for the engine.
type Request struct {
	ID        string        // chosen by the caller, unique for the engine's incarnation
	Body      []byte        // JSON: model, prompt or messages, max_tokens
	Priority  int           // higher goes first
	Remaining time.Duration // the engine ends the request after it; zero means no bound
	Import    []byte        // KV handle of the segments before this one
	Prefill   bool          // hold the KV cache of the prompt and export it instead of decoding
}

// Result closes a whole answer.
type Result struct {
	Usage  messenger.Usage
	Done   string // "stop", "length" or "export"
	Export []byte // KV handle after a Prefill request; the engine holds its memory until Cancel
}

// Report is the state of an engine. Counts are tokens but for Running.
type Report struct {
	Incarnation uint64   `json:"incarnation"`
	Memory      int      `json:"memory"`  // in all
	Used        int      `json:"used"`    // by requests and holds; zero when idle
	Cached      int      `json:"cached"`  // kept for later prompts, given up when needed
	Waiting     int      `json:"waiting"` // prompt tokens not yet prefilled
	Running     int      `json:"running"` // requests not ended
	Speed       int      `json:"speed"`   // prefill tokens a second
	Pace        int      `json:"pace"`    // decode tokens a second and request
	Live        []string `json:"live"`    // ids of requests and holds, sorted
	Model       string   `json:"model"`   // empty if none is loaded
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	Fence       uint64   `json:"fence"`   // highest order number executed; zero if the engine ignores it
	Loading     string   `json:"loading"` // what is on its way from the weight store
}

// Event is a change of the prefix cache. A step in Seq of more than one means
// that events were lost; Events with after zero then reads the cache whole.
type Event struct {
	Seq     uint64   `json:"seq"`
	Whole   bool     `json:"whole"` // Added is the whole cache
	Added   []uint64 `json:"added"`
	Removed []uint64 `json:"removed"`
}

// Text is the JSON event that Run and Resume emit for each piece of an answer.
type Text struct {
	Text string `json:"text"`
}

// Ordered is the engine's answer to an order.
type Ordered struct {
	Fence uint64 `json:"fence"`
}

// Failure is the body of a refusal and the error inside a stream's last event.
type Failure struct {
	Code  coder.Code `json:"code"`
	Text  string     `json:"text"`
	Retry float64    `json:"retry"` // seconds until coming back may help
}

// End is the last event of a run's stream. Either Done or Error is set.
type End struct {
	Done   string   `json:"done,omitempty"`
	Usage  Usage    `json:"usage"`
	Export []byte   `json:"export,omitempty"`
	Error  *Failure `json:"error,omitempty"`
}

// Usage is what a request took, in tokens.
type Usage struct {
	Prompt int `json:"prompt"`
	Cached int `json:"cached"`
	Output int `json:"output"`
}

// Run starts a request and emits its Text events, still encoded, in order: the
// nth event emitted has sequence number n. The engine goes on when the stream
// is lost or ctx ends; only Cancel, the request's end or its Remaining frees it.
// Errors carry TargetLost (not run if there was no connection), the engine's
// own code, or that of ctx.
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
	return d.answer(ctx, call{method: http.MethodPost, path: "/run", header: h, body: r.Body}, 0, emit)
}

// Resume emits the events of a running or ended request that follow sequence
// number after. Errors carry UnknownAttempt when the engine does not have it.
func (d *Driver) Resume(ctx context.Context, id string, after uint64, emit func(data []byte) error) (Result, error) {
	path := "/run/" + url.PathEscape(id) + "?after=" + strconv.FormatUint(after, 10)
	return d.answer(ctx, call{method: http.MethodGet, path: path}, after, emit)
}

// Cancel ends a request or hold and frees what it has. It is idempotent and
// succeeds for an id that the engine does not know.
func (d *Driver) Cancel(ctx context.Context, id string) error {
	return d.ask(ctx, call{method: http.MethodDelete, path: "/run/" + url.PathEscape(id)}, nil)
}

// Report returns fresh figures.
func (d *Driver) Report(ctx context.Context) (Report, error) {
	var r Report
	err := d.ask(ctx, call{method: http.MethodGet, path: "/report"}, &r)
	return r, err
}

// Loads emits reports as the engine publishes them: regularly, with a lag. It
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

// Events emits the changes of the prefix cache after a sequence number, late
// and with gaps. It returns when the stream ends.
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

// Order sends an order and returns the highest order number that the engine
// executed. A load is accepted at once and takes time; Report tells when it is
// done. Errors carry Fenced, Busy, Invalid or TargetLost.
func (d *Driver) Order(ctx context.Context, o messenger.Order) (fence uint64, err error) {
	body, err := json.Marshal(order(o))
	if err != nil {
		return 0, coder.Errorf(coder.Internal, "encode order: %v", err)
	}
	var out Ordered
	err = d.ask(ctx, call{method: http.MethodPost, path: "/order", body: body}, &out)
	return out.Fence, err
}

// order is messenger.Order with its JSON keys.
type order struct {
	Fence   uint64 `json:"fence"`
	Target  string `json:"target"`
	Verb    string `json:"verb"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Lane    string `json:"lane"`
}
