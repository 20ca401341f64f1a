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

// failure is the JSON form of an outcome other than OK.
type failure struct {
	Error failureBody `json:"error"`
}

type failureBody struct {
	Code    coder.Code `json:"code"`
	Name    string     `json:"name"`
	Message string     `json:"message"`
	Run     string     `json:"run"`
}

// fail tells the caller of a failure and counts it. A response that has begun
// ends with an error event or an aborted connection, never cleanly.
func (e *Entry) fail(w http.ResponseWriter, err error) {
	c := coder.Of(err)
	e.Count(c)
	body, merr := json.Marshal(failure{Error: failureBody{
		Code: c.Code, Name: c.Code.String(), Message: message(c), Run: c.Run.Header(),
	}})
	if merr != nil {
		body = []byte("{}")
	}
	if t, ok := w.(*tracked); ok && t.sent {
		t.interrupt(body)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerCode, strconv.Itoa(int(c.Code)))
	h.Set(headerRun, c.Run.Header())
	if after := comeBack(c); after > 0 {
		h.Set(headerRetry, strconv.Itoa(after))
	}
	w.WriteHeader(c.Code.Status())
	_, _ = fmt.Fprintf(w, "%s\n", body)
}

// comeBack returns the seconds of Retry-After. Each refusal that may pass has one.
func comeBack(c *coder.Error) int {
	if c.Retry == 0 && c.Code >= coder.RateLimited && c.Code < coder.DeadlineExceeded {
		return 1
	}
	return int(math.Ceil(c.Retry.Seconds()))
}

// message leaves causes out: they name addresses inside the fleet.
func message(c *coder.Error) string {
	if c.Text == "" || c.Code >= coder.BadFrame {
		return c.Code.Title()
	}
	return c.Code.Title() + ": " + c.Text
}

// tracked knows whether a part of the response was sent.
type tracked struct {
	http.ResponseWriter
	sent   bool
	events bool // server-sent events
}

// Write notes that the response has begun.
func (t *tracked) Write(p []byte) (int, error) {
	t.sent = true
	return t.ResponseWriter.Write(p)
}

// WriteHeader notes that the response has begun.
func (t *tracked) WriteHeader(status int) {
	t.sent = true
	t.ResponseWriter.WriteHeader(status)
}

// wait bounds reads of the request; zero takes the bound away.
func (t *tracked) wait(until time.Time) {
	_ = http.NewResponseController(t.ResponseWriter).SetReadDeadline(until)
}

// until bounds writes to a caller that doesn't read; zero takes the bound away.
func (t *tracked) until(at time.Time) {
	_ = http.NewResponseController(t.ResponseWriter).SetWriteDeadline(at)
}

func (t *tracked) flush() error { return http.NewResponseController(t.ResponseWriter).Flush() }

// interrupt ends a response that can't be finished.
func (t *tracked) interrupt(body []byte) {
	if !t.events {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(t, "event: error\ndata: %s\n\n", body)
	_ = t.flush()
}

func sortedNames(h http.Header) []string { return slices.Sorted(maps.Keys(h)) }
