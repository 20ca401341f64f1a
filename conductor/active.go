package conductor

import (
	"context"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
)

// active is a request in progress, with the keys by which Cancel selects it.
type active struct {
	account string
	key     string
	batch   string
	cancel  context.CancelCauseFunc
}

// register adds a request to the active ones. It fails with code NotReady once the
// Conductor is leaving.
func (cd *Conductor) register(id string, cancel context.CancelCauseFunc) error {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if cd.leaving {
		return coder.Errorf(coder.NotReady, "")
	}
	cd.active[id] = &active{cancel: cancel}
	return nil
}

// setCancelKeys records the account, key and batch by which the request can be
// cancelled.
func (cd *Conductor) setCancelKeys(r *chainer.Request) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if a := cd.active[r.ID]; a != nil {
		a.account, a.key, a.batch = r.Account, r.Key, r.Batch
	}
}

func (cd *Conductor) unregister(id string) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	delete(cd.active, id)
	if cd.leaving && len(cd.active) == 0 {
		close(cd.drained)
	}
}

// cancelLocal cancels the active requests of an account that have the key or belong to
// the batch, and returns their number.
func (cd *Conductor) cancelLocal(account, key, batch string) int {
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

// Abort cancels the active requests. Those that did not run are refused with code
// NotReady.
func (cd *Conductor) Abort() {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	for _, a := range cd.active {
		a.cancel(coder.Errorf(coder.NotReady, "entry stopped"))
	}
}
