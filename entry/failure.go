package entry

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bramleyshunt/coder"
)

// errorResponse is the JSON form of an error.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code    coder.Code `json:"code"`
	Name    string     `json:"name"`
	Message string     `json:"message"`
	Run     string     `json:"run"`
}

// writeError sends err to the caller and counts it. A response that has started ends with
// an error event or an aborted connection, so that a truncated response is never taken for
// a complete one.
func (e *Entry) writeError(w http.ResponseWriter, err error) {
	c := coder.Of(err)
	e.Count(c)
	body, marshalErr := json.Marshal(errorResponse{Error: errorBody{
		Code: c.Code, Name: c.Code.String(), Message: errorMessage(c), Run: c.Run.Header(),
	}})
	if marshalErr != nil {
		body = []byte("{}")
	}
	if rw, ok := w.(*responseWriter); ok && rw.started {
		rw.abort(body)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerCode, strconv.Itoa(int(c.Code)))
	h.Set(headerRun, c.Run.Header())
	if seconds := retryAfter(c); seconds > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(seconds))
	}
	w.WriteHeader(c.Code.Status())
	_, _ = fmt.Fprintf(w, "%s\n", body)
}

// retryAfter returns the value of the Retry-After header in seconds, zero for no header.
// Every temporary refusal (codes 2xxx) has at least one second. NoRegion without a delay is
// permanent: the configuration allows no region.
func retryAfter(c *coder.Error) int {
	if c.Retry == 0 && c.Code != coder.NoRegion && c.Code >= coder.RateLimited && c.Code < coder.DeadlineExceeded {
		return 1
	}
	return int(math.Ceil(c.Retry.Seconds()))
}

// errorMessage returns the text of an error as callers get it. It leaves out causes, and the
// texts of codes from BadFrame on, as they contain addresses inside the fleet.
func errorMessage(c *coder.Error) string {
	if c.Text == "" || c.Code >= coder.BadFrame {
		return c.Code.Title()
	}
	return c.Code.Title() + ": " + c.Text
}

// responseWriter records whether the response has started.
type responseWriter struct {
	http.ResponseWriter
	started bool
	sse     bool // the response is a stream of server-sent events
}

// Write records that the response has started.
func (rw *responseWriter) Write(p []byte) (int, error) {
	rw.started = true
	return rw.ResponseWriter.Write(p)
}

// WriteHeader records that the response has started.
func (rw *responseWriter) WriteHeader(status int) {
	rw.started = true
	rw.ResponseWriter.WriteHeader(status)
}

// setReadDeadline sets the deadline for reading the request; the zero time removes it.
func (rw *responseWriter) setReadDeadline(deadline time.Time) {
	_ = http.NewResponseController(rw.ResponseWriter).SetReadDeadline(deadline)
}

// setWriteDeadline sets the deadline for writing to a caller that may have stopped reading;
// the zero time removes it.
func (rw *responseWriter) setWriteDeadline(deadline time.Time) {
	_ = http.NewResponseController(rw.ResponseWriter).SetWriteDeadline(deadline)
}

func (rw *responseWriter) flush() error { return http.NewResponseController(rw.ResponseWriter).Flush() }

// abort ends a response that cannot be completed: a stream of server-sent events with an
// error event that has the given body, any other response by closing the connection.
func (rw *responseWriter) abort(body []byte) {
	if !rw.sse {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(rw, "event: error\ndata: %s\n\n", body)
	_ = rw.flush()
}

func sortedNames(h http.Header) []string { return slices.Sorted(maps.Keys(h)) }
