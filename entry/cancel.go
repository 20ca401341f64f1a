package entry

import (
	"fmt"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"bramleyshunt/coder"
)

// serveCancel cancels the account's requests that belong to a batch or have an idempotency
// key.
func (e *Entry) serveCancel(w http.ResponseWriter, hr *http.Request, _ httprouter.Params) {
	account, err := e.Identify(bearer(hr.Header))
	if err != nil {
		e.writeError(w, err)
		return
	}
	key, batch := hr.Header.Get(headerIdempotencyKey), hr.Header.Get(headerBatch)
	if key == "" && batch == "" {
		e.writeError(w, coder.Errorf(coder.Malformed, "neither %s nor %s is given", headerIdempotencyKey, headerBatch))
		return
	}
	c := e.Cancel(hr.Context(), account, key, batch)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"cancelled\":%d,\"elsewhere\":%d,\"unreached\":%d}\n", c.Local, c.Remote, c.Unresponsive)
}
