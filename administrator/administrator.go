// Package administrator serves operators over HTTP on a listener of its own:
// it takes changes of the configuration and drains, and shows what is in force
// where.
package administrator

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/defaulter"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/reporter"
	"bramleyshunt/setter"
)

const (
	// MaxBody is the largest request, in bytes.
	MaxBody = 16 << 20
	// Limit bounds the time of one request.
	Limit = 8 * time.Second
	// confirmLimit bounds the wait for a quorum before a read is shown as
	// unconfirmed.
	confirmLimit = 2 * time.Second
	// bootstrapText is what the fleet key signs to make the bootstrap token.
	bootstrapText = "bramleyshunt operator"
)

// Config is what an Administrator needs. Without Applier, as in a process that
// is no keeper, it serves metrics and status alone.
type Config struct {
	Key     []byte // fleet key
	Applier *applier.Applier
	Confirm func(ctx context.Context) (uint64, error)
	Call    func(ctx context.Context, kind messenger.Kind, v, out any) error // asks the leading keeper
	Keepers []setter.Keeper
	Pool    *pooler.Pooler
	Status  func() *reporter.Process                       // of this process, may be nil
	Targets func() []messenger.Target                      // may be nil
	Drain   func(ctx context.Context, target string) error // replaces the order to the agent; may be nil
	Log     *logrus.Entry
	Metrics metrics.Registry
	Now     func() time.Time
}

// Administrator is the handler of the administration listener.
type Administrator struct {
	cfg Config
	mux *httprouter.Router
}

// New returns an Administrator.
func New(cfg Config) *Administrator {
	a := &Administrator{cfg: cfg.withDefaults(), mux: httprouter.New()}
	a.mux.GET("/metrics", a.metrics)
	a.mux.GET("/v1/status", a.operator(a.status))
	if cfg.Applier != nil {
		a.mux.POST("/v1/configuration", a.operator(a.apply))
		a.mux.GET("/v1/configuration", a.operator(a.show))
		a.mux.GET("/v1/nodes", a.operator(a.nodes))
		a.mux.POST("/v1/targets/:id/drain", a.operator(a.drain))
	}
	a.mux.NotFound = failing(coder.NotFound)
	a.mux.MethodNotAllowed = failing(coder.MethodNotAllowed)
	return a
}

func (c Config) withDefaults() Config {
	defaulter.Fill(&c.Log, &c.Metrics, &c.Now)
	return c
}

// ServeHTTP implements http.Handler.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// Token returns the bearer token that holders of the fleet key may use while no
// operator is configured.
func Token(key []byte) string {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(bootstrapText))
	return hex.EncodeToString(h.Sum(nil))
}

// request is one authenticated request.
type request struct {
	operator string
	r        *http.Request
	params   httprouter.Params
	ctx      context.Context
}

// operator wraps a handler: it authenticates, bounds time and body, and writes
// the answer or the error.
func (a *Administrator) operator(h func(*request) (any, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		name, err := a.identify(r)
		if err != nil {
			fail(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), Limit)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, MaxBody)
		out, err := h(&request{operator: name, r: r, params: p, ctx: ctx})
		if err != nil {
			fail(w, err)
			return
		}
		write(w, http.StatusOK, out)
	}
}

// identify returns the operator whose token the request bears.
func (a *Administrator) identify(r *http.Request) (string, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", coder.Errorf(coder.Unauthenticated, "no bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	operators := a.operators()
	found := ""
	for name, o := range operators {
		if subtle.ConstantTimeCompare([]byte(o.Token), []byte(hex.EncodeToString(sum[:]))) == 1 {
			found = name
		}
	}
	bootstrap := len(operators) == 0 && len(a.cfg.Key) > 0
	if found == "" && bootstrap && subtle.ConstantTimeCompare([]byte(token), []byte(Token(a.cfg.Key))) == 1 {
		found = "fleet key"
	}
	if found == "" {
		return "", coder.Errorf(coder.Unauthenticated, "token names no operator")
	}
	return found, nil
}

func (a *Administrator) operators() map[string]configurer.Operator {
	if a.cfg.Applier == nil {
		return nil
	}
	return a.cfg.Applier.View().Config.Operators
}

func (a *Administrator) metrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(a.cfg.Metrics, w)
}

func failing(c coder.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fail(w, coder.Errorf(c, "")) })
}

// Failure is the body of an error.
type Failure struct {
	Error FailureBody `json:"error"`
}

// FailureBody tells of one error.
type FailureBody struct {
	Code    coder.Code `json:"code"`
	Name    string     `json:"name"`
	Message string     `json:"message"`
	Run     string     `json:"run"`
	Version uint64     `json:"version,omitempty"` // of a conflict: in force
	Winner  *Change    `json:"winner,omitempty"`  // of a conflict
	Faults  []string   `json:"faults,omitempty"`  // of an invalid folder
}

// refusal is an error with particulars for the operator.
type refusal struct {
	err     *coder.Error
	version uint64
	winner  *Change
	faults  []string
}

// Error returns the numbered error's text.
func (r *refusal) Error() string { return r.err.Error() }

// Unwrap returns the numbered error.
func (r *refusal) Unwrap() error { return r.err }

func fail(w http.ResponseWriter, err error) {
	e := coder.Of(err)
	body := FailureBody{Code: e.Code, Name: e.Code.String(), Message: e.Error(), Run: e.Run.Header()}
	var r *refusal
	if errors.As(err, &r) {
		body.Version, body.Winner, body.Faults = r.version, r.winner, r.faults
	}
	write(w, e.Code.Status(), Failure{Error: body})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v)
}
