package conductor

import (
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// checkEnd returns an error if the answer must not end with the chunks so far.
func (a *attempt) checkEnd() error {
	a.x.mu.Lock()
	defer a.x.mu.Unlock()
	return a.checkEndLocked()
}

func (a *attempt) checkEndLocked() error {
	check := a.x.r.Answer.CheckEnd
	switch {
	case a.superseded:
		return errSuperseded
	case len(a.held.Data) > 0:
		return coder.Errorf(coder.TargetLost, "the stream ended within an event")
	case a.x.owner != a || check == nil:
		return nil
	default:
		return check()
	}
}

// end ends the answer.
func (a *attempt) end(m messenger.End) error {
	x := a.x
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := a.checkEndLocked(); err != nil {
		return err
	}
	if err := x.take(a); err != nil {
		return err
	}
	if err := x.passHeld(a); err != nil {
		return err
	}
	a.output = m.Usage.Output
	x.cd.recordCached(x.r, a.pick, m.Usage)
	x.cd.meter.slowdown(x.r, x.cd.cfg.Now().Sub(x.r.Arrived), x.unloadedDuration(a.pick, m.Usage))
	err := x.r.Answer.End(m)
	if err == nil {
		x.recordGoneOn(a)
		x.keep(a)
	}
	return err
}
