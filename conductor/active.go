package conductor

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
// NotReady once the Conductor is leaving.
func (cd *Conductor) enter(id string, cancel context.CancelCauseFunc) error {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if cd.leaving {
		return coder.Errorf(coder.NotReady, "")
	}
	cd.active[id] = &active{cancel: cancel}
	return nil
}

// label makes a request known to cancels by its account.
func (cd *Conductor) label(r *chainer.Request) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if a := cd.active[r.ID]; a != nil {
		a.account, a.key, a.batch = r.Account, r.Key, r.Batch
	}
}

func (cd *Conductor) leave(id string) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	delete(cd.active, id)
	if cd.leaving && len(cd.active) == 0 {
		close(cd.idle)
	}
}

// cancel ends an account's requests of a batch or with a key and returns how many.
func (cd *Conductor) cancel(account, key, batch string) int {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	n := 0
	for _, a := range cd.active {
		byKey := key != "" && a.key == key
		byBatch := batch != "" && a.batch == batch
		if a.account == account && (byKey || byBatch) {
			a.cancel(coder.Errorf(coder.Cancelled, "by the caller"))
			n++
		}
	}
	return n
}

func (cd *Conductor) cancelAll() {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	for _, a := range cd.active {
		a.cancel(coder.Errorf(coder.Cancelled, "entry stopped"))
	}
}
