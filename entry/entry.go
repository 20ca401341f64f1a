// Package entry is the HTTP interface for callers. It reads a request, passes it to the
// conductor and writes the answer.
package entry

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"bramleyshunt/bufferer"
	"bramleyshunt/conductor"
)

// Config configures an Entry and its Conductor.
type Config = conductor.Config

// Entry serves callers over HTTP.
type Entry struct {
	*conductor.Conductor

	cfg Config
	mux *httprouter.Router
}

// New returns an Entry with its Conductor, and a function that stops it and cancels the
// requests that still run. To let them finish, call Drain first.
func New(cfg Config) (*Entry, func(), error) {
	cd, stop, err := conductor.New(cfg)
	if err != nil {
		return nil, nil, err
	}
	if cfg.BodyTimeout <= 0 {
		cfg.BodyTimeout = conductor.DefaultBodyTimeout
	}
	if cfg.Bodies == nil {
		cfg.Bodies = &bufferer.Bufferer{Log: cfg.Log, Metrics: cfg.Metrics}
	}
	e := &Entry{Conductor: cd, cfg: cfg}
	e.mux = e.routes()
	return e, stop, nil
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Status summarizes the state of an Entry.
type Status = conductor.Status
