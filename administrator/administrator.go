// Package administrator implements the administration API, which operators call
// over HTTP on a listener of its own: it accepts configuration changes, drains
// targets, and shows which configuration version is in force on which node.
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
	"bramleyshunt/bufferer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/defaulter"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/reporter"
	"bramleyshunt/setter"
)

const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 16 << 20
	// RequestTimeout bounds the handling of one request.
	RequestTimeout = 8 * time.Second
	// bodyCopies is how many times a body is in memory while a change is decoded and proposed.
	bodyCopies = 3
	// confirmTimeout bounds the wait for a quorum; after it an answer is marked as
	// unconfirmed.
	confirmTimeout = 2 * time.Second
	// fleetTokenMessage is the message whose HMAC under the fleet key is the fleet
	// token.
	fleetTokenMessage = "bramleyshunt operator"
)

// Config configures an Administrator. Without Applier, as in a process that is not
// a keeper, the Administrator serves metrics and status only.
type Config struct {
	Key     []byte             // fleet key
	Bodies  *bufferer.Bufferer // reads the bodies of calls; one of its own if nil
	Applier *applier.Applier
	Confirm func(ctx context.Context) (uint64, error)
	Call    func(ctx context.Context, kind messenger.Kind, v, out any) error // calls the leading keeper
	Keepers []setter.Keeper
	Pool    *pooler.Pooler
	Status  func() *reporter.Process                       // of this process, may be nil
	Targets func() []messenger.Target                      // may be nil
	Drain   func(ctx context.Context, target string) error // drains a target; nil sends an order to its agent
	Log     *logrus.Entry
	Metrics metrics.Registry
	Now     func() time.Time
}

// Administrator is the HTTP handler of the administration listener.
type Administrator struct {
	cfg Config
	mux *httprouter.Router
}

// New returns an Administrator that serves the paths that cfg allows.
func New(cfg Config) *Administrator {
	a := &Administrator{cfg: cfg.withDefaults(), mux: httprouter.New()}
	a.mux.GET("/metrics", a.metrics)
	a.mux.GET("/v1/status", a.authenticated(a.status))
	if cfg.Applier != nil {
		a.mux.POST("/v1/configuration", a.authenticated(a.apply))
		a.mux.GET("/v1/configuration", a.authenticated(a.show))
		a.mux.GET("/v1/nodes", a.authenticated(a.nodes))
		a.mux.POST("/v1/targets/:id/drain", a.authenticated(a.drain))
		a.mux.POST("/v1/evacuations/:zone/start", a.authenticated(a.evacuate(false)))
		a.mux.POST("/v1/evacuations/:zone/end", a.authenticated(a.evacuate(true)))
	}
	a.mux.NotFound = errorHandler(coder.NotFound)
	a.mux.MethodNotAllowed = errorHandler(coder.MethodNotAllowed)
	return a
}

func (c Config) withDefaults() Config {
	defaulter.Fill(&c.Log, &c.Metrics, &c.Now)
	if c.Bodies == nil {
		c.Bodies = &bufferer.Bufferer{Log: c.Log, Metrics: c.Metrics}
	}
	return c
}

// ServeHTTP implements http.Handler.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// FleetToken returns the bearer token that holders of the fleet key may use while no
// operator is configured.
func FleetToken(key []byte) string {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(fleetTokenMessage))
	return hex.EncodeToString(h.Sum(nil))
}

// request is an authenticated request.
type request struct {
	operator string
	r        *http.Request
	body     []byte
	params   httprouter.Params
	ctx      context.Context
}

// authenticated returns an HTTP handler that authenticates the operator, bounds the
// time and the body of the request, calls h and writes its result or error as JSON.
func (a *Administrator) authenticated(h func(*request) (any, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		name, err := a.authenticate(r)
		if err != nil {
			writeError(w, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), RequestTimeout)
		defer cancel()
		hold, err := a.cfg.Bodies.ReadRequest(w, r, MaxBodyBytes, bodyCopies)
		if err != nil {
			writeError(w, err)
			return
		}
		defer hold.Release()
		out, err := h(&request{operator: name, r: r, body: hold.Data, params: p, ctx: ctx})
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, out)
	}
}

// authenticate returns the name of the operator whose bearer token the request
// carries. While no operator is configured, it accepts the fleet token.
func (a *Administrator) authenticate(r *http.Request) (string, error) {
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
	if found == "" && bootstrap && subtle.ConstantTimeCompare([]byte(token), []byte(FleetToken(a.cfg.Key))) == 1 {
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

func errorHandler(c coder.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeError(w, coder.Errorf(c, "")) })
}

// Failure is the body of an error response.
type Failure struct {
	Error FailureBody `json:"error"`
}

// FailureBody describes an error.
type FailureBody struct {
	Code    coder.Code `json:"code"`
	Name    string     `json:"name"`
	Message string     `json:"message"`
	Run     string     `json:"run"`
	Version uint64     `json:"version,omitempty"` // version in force, for a conflict
	Winner  *Change    `json:"winner,omitempty"`  // the change accepted first, for a conflict
	Faults  []string   `json:"faults,omitempty"`  // for an invalid folder
}

// detailedError is a numbered error with details for the body of the response.
type detailedError struct {
	err     *coder.Error
	version uint64
	winner  *Change
	faults  []string
}

// Error returns the text of the numbered error.
func (r *detailedError) Error() string { return r.err.Error() }

// Unwrap returns the numbered error.
func (r *detailedError) Unwrap() error { return r.err }

func writeError(w http.ResponseWriter, err error) {
	e := coder.Of(err)
	body := FailureBody{Code: e.Code, Name: e.Code.String(), Message: e.Error(), Run: e.Run.Header()}
	var r *detailedError
	if errors.As(err, &r) {
		body.Version, body.Winner, body.Faults = r.version, r.winner, r.faults
	}
	writeJSON(w, e.Code.Status(), Failure{Error: body})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v)
}
