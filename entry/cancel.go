package entry

import (
	"fmt"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"bramleyshunt/coder"
)

// serveCancel cancels the account's requests of a batch or with a key.
func (e *Entry) serveCancel(w http.ResponseWriter, hr *http.Request, _ httprouter.Params) {
	account, err := e.Identify(bearer(hr.Header))
	if err != nil {
		e.fail(w, err)
		return
	}
	key, batch := hr.Header.Get(headerKey), hr.Header.Get(headerBatch)
	if key == "" && batch == "" {
		e.fail(w, coder.Errorf(coder.Malformed, "neither %s nor %s is given", headerKey, headerBatch))
		return
	}
	c := e.Cancel(hr.Context(), account, key, batch)
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"cancelled\":%d,\"elsewhere\":%d,\"unreached\":%d}\n", c.Local, c.Remote, c.Unresponsive)
}
