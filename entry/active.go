package entry

import (
	"context"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
)

// active is one request in hand.
type active struct {
	account string
	key     string
	batch   string
	cancel  context.CancelCauseFunc
}

// enter registers a request, so that Drain waits for it. It returns code
// NotReady once the Entry is leaving.
func (e *Entry) enter(id string, cancel context.CancelCauseFunc) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return coder.Errorf(coder.NotReady, "")
	}
	e.active[id] = &active{cancel: cancel}
	return nil
}

// own makes a request known to cancels by its account.
func (e *Entry) own(r *chainer.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.active[r.ID]; a != nil {
		a.account, a.key, a.batch = r.Account, r.Key, r.Batch
	}
}

func (e *Entry) leave(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, id)
	if e.leaving && len(e.active) == 0 {
		close(e.idle)
	}
}

// cancel ends an account's requests of a batch or with a key and returns how many.
func (e *Entry) cancel(account, key, batch string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, a := range e.active {
		byKey := key != "" && a.key == key
		byBatch := batch != "" && a.batch == batch
		if a.account == account && (byKey || byBatch) {
			a.cancel(coder.Errorf(coder.Cancelled, "by the caller"))
			n++
		}
	}
	return n
}

func (e *Entry) cancelAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.active {
		a.cancel(coder.Errorf(coder.Cancelled, "entry stopped"))
	}
}
