package bufferer

import (
	"errors"
	"net/http"
	"time"

	"bramleyshunt/coder"
)

// ReadRequest reads the body of an HTTP request that is in memory up to the given number of
// times. Errors carry code TooLarge if it exceeds limit bytes, BodiesFull if there is no
// memory for it, or Malformed if it did not arrive whole; the server then closes the
// connection.
func (b *Bufferer) ReadRequest(w http.ResponseWriter, r *http.Request, limit int64, copies int) (Hold, error) {
	body := http.MaxBytesReader(w, r.Body, limit)
	hold, err := b.Read(body, Body{Length: r.ContentLength, Limit: limit, Copies: copies, Cancel: func() {
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // fails only if the client has gone
	}})
	var tooLarge *http.MaxBytesError
	var numbered *coder.Error
	switch {
	case errors.As(err, &tooLarge):
		return hold, tooLargeError(limit)
	case err != nil && !errors.As(err, &numbered):
		return hold, &coder.Error{Code: coder.Malformed, Run: coder.NotRun, Text: "body", Cause: err}
	default:
		return hold, err
	}
}
