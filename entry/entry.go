// Package entry is the product's own interface to callers: it reads a request
// from HTTP, hands it to the conductor and writes the answer.
package entry

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"bramleyshunt/conductor"
)

// Config is what an Entry needs. Nil functions and zero fields take defaults.
type Config = conductor.Config

// Entry serves callers over HTTP.
type Entry struct {
	*conductor.Conductor

	cfg Config
	mux *httprouter.Router
}

// New returns an Entry with its Conductor and the function that ends it. Drain
// first, as the function cancels what still runs.
func New(cfg Config) (*Entry, func(), error) {
	cd, stop, err := conductor.New(cfg)
	if err != nil {
		return nil, nil, err
	}
	if cfg.BodyTimeout <= 0 {
		cfg.BodyTimeout = conductor.DefaultBodyTimeout
	}
	e := &Entry{Conductor: cd, cfg: cfg}
	e.mux = e.routes()
	return e, stop, nil
}

// ServeHTTP serves callers.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Status is an Entry at a glance.
type Status = conductor.Status
