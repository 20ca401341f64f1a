package conductor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/predictor"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/switcher"
)

const (
	// minTimeout is half of the shortest time without data after which callers of the
	// users' platform (see package platform) abandon a stream. The other half is left to
	// another target.
	minTimeout = time.Second
	// firstTimeoutObjectives and idleTimeoutGaps are multiples of the time-to-first-token
	// objective and of the allowed inter-token gap of a path. They stay below what the
	// same callers tolerate: four times the objective before the first event, and eight
	// times the gap between two events.
	firstTimeoutObjectives = 3
	idleTimeoutGaps        = 4
)

// Attempt is one run of a request at a target.
type Attempt struct {
	ID             string
	Request        *chainer.Request
	Target         messenger.Target
	Repeated       bool               // an earlier attempt of the request was sent to the target's address
	Helpers        []messenger.Target // each prefills a part of the prompt
	Remaining      time.Duration      // time until the request's deadline
	ReservationIDs []string           // IDs of the memory reservations, one per helper; an empty ID means no reservation
	FirstTimeout   time.Duration      // wait for the first chunk of the answer after which the target counts as silent; zero for no bound
	IdleTimeout    time.Duration      // wait between two chunks of the answer likewise; zero for no bound
	LastEventID    string             // last event of the stream that the caller has received; empty to start with the first
	Emit           func(messenger.Chunk) error
	CheckEnd       func() error         // fails if the target must not end its answer here; called before the exchange succeeds; nil if that is unknown
	ReportLoad     func(messenger.Load) // receives load reports that came with the answer
	ReportLimit    func(float64)        // receives the rate limit that the target named in its answer, in requests per second; zero if none
	ReportLeaving  func()               // called if the target said in its answer that it leaves
	ReportPause    func(time.Duration)  // receives how long the target wants no requests from this process, as its refusal asked
	ReportSilence  func()               // called repeatedly while the target is silent; the attempt goes on
	ReportSent     func()               // called once the request was sent, and at most for that; may be called again; nil if that is not needed
	ReportCold     func(time.Duration)  // receives how long the target stays cold by its answer; nil if that is not needed

	HeadReceived bool   // set once the target's answer has begun
	BodyReceived bool   // set once a byte of the answer's body was received
	TargetAlive  bool   // set if the target was lost while it ran the request but still accepts connections
	BlamedTarget string // ID or address of the target that a refusal names as its cause
}

// BlamedHelper returns the helper that a refusal names as its cause, nil if it names none.
func (a *Attempt) BlamedHelper() *messenger.Target {
	for i, t := range a.Helpers {
		if a.BlamedTarget != "" && (t.ID == a.BlamedTarget || t.Address == a.BlamedTarget) {
			return &a.Helpers[i]
		}
	}
	return nil
}

// attempt is one attempt of an execution, from its place in the queue to its end.
type attempt struct {
	x            *execution
	id           string          // of the ticket
	request      context.Context // of the request
	ctx          context.Context // of the attempt
	cancel       context.CancelCauseFunc
	exclude      []string // targets that must not be picked
	ticket       *scheduler.Ticket
	pick         router.Pick
	placed       bool      // pick is set
	promoted     time.Time // when a hedge became the current attempt; guarded by execution.mu
	since        time.Time // when the target was picked
	answering    atomic.Bool
	sent         bool              // it was described to the exchange; guarded by execution.mu
	sentAt       time.Time         // when its exchange began
	events       int               // that the caller had received before it; guarded by execution.mu
	eventsAfter  int               // that the caller had received after its last chunk, zero if it had none; guarded by execution.mu
	status       int               // HTTP status of the answer, zero if none; guarded by execution.mu
	superseded   bool              // another attempt goes on with the answer; guarded by execution.mu
	hedged       bool              // the first hedge beside it was logged; guarded by execution.mu
	hedgeRefused bool              // it was logged why there is no hedge; guarded by execution.mu
	blamedHelper *messenger.Target // see Attempt.BlamedHelper
	targetAlive  bool              // see Attempt.TargetAlive
	notRun       bool              // its exchange failed and the target did not run the request
	output       int               // answer tokens that the target reported at the end; guarded by execution.mu
	held         messenger.Chunk   // of a hedge, until it has produced a whole event; guarded by execution.mu
	done         chan error        // receives the result of a hedge; nil for other attempts
}

func (x *execution) newAttempt(ctx context.Context, exclude []string) *attempt {
	x.created++
	a := &attempt{x: x, id: fmt.Sprintf("%s/%d", x.r.ID, x.created), request: ctx, exclude: exclude}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// run waits for a target and runs the request there.
func (a *attempt) run() error {
	defer a.cancel(nil)
	if err := a.place(); err != nil {
		return err
	}
	defer a.x.cd.control.requestEnded(a.ticket, a.pick)
	defer a.settle()
	if a.done != nil {
		if err := a.x.reserveHedge(a); err != nil {
			return err
		}
	}
	a.placed = true
	return a.send()
}

// place waits for a target until the request can no longer finish by its deadline.
func (a *attempt) place() error {
	x := a.x
	x.mu.Lock()
	suspect := x.targetsLost > 0
	x.mu.Unlock()
	a.ticket = newTicket(x.r, a.exclude)
	var err error
	reconfigured := x.cd.control.reconf.next()
	if a.ticket.Regions, err = x.cd.regionsInForce(x.r); err != nil {
		return err
	}
	a.ticket.ID = a.id // an earlier attempt that has been cancelled may still be queued
	need := x.cd.control.serviceTime(a.ticket)
	bound, stop := context.WithTimeoutCause(a.ctx, x.remaining()-need, errNotPlaced)
	defer stop()
	since := x.cd.cfg.Now()
	placed := x.cd.control.enqueue(a.ticket, suspect)
	defer func() {
		x.mu.Lock()
		if x.current == a {
			x.r.Trace.Queued += min(x.cd.cfg.Now().Sub(since), x.cd.cfg.Now().Sub(a.promoted))
		}
		x.mu.Unlock()
	}()
	for {
		changed := x.cd.parts.listChanged()
		if err := x.cd.checkParts(x.r); err != nil {
			x.cd.control.abandon(a.ticket, placed)
			return err
		}
		select {
		case p := <-placed:
			again, err := a.confirm(bound, p, suspect)
			if !again {
				return err
			}
			placed = x.cd.control.enqueue(a.ticket, suspect)
		case <-changed:
		case <-reconfigured:
			reconfigured = x.cd.control.reconf.next()
			if placed, err = a.followRegions(placed, suspect); err != nil {
				return err
			}
		case <-bound.Done():
			x.cd.control.abandon(a.ticket, placed)
			return x.placementError(bound, a.ticket)
		}
	}
}

// confirm takes the targets of a placement, or those that the relay picks in their place. It
// returns true if the request is to be placed again.
func (a *attempt) confirm(ctx context.Context, p scheduler.Placement, suspect bool) (again bool, err error) {
	cd := a.x.cd
	if p.Err == nil && !suspect && p.Pick.Relay == "" { // the relay knows of no suspects
		p.Pick, err = cd.askRelay(ctx, a.ticket, p.Pick)
	}
	if errors.Is(err, errNoTargetNow) {
		placed := false
		if p.Pick, placed, err = cd.control.returnPlacement(ctx, a.ticket, p.Pick); !placed {
			return err == nil, err
		}
	}
	a.pick, a.since = p.Pick, cd.cfg.Now()
	return false, p.Err
}

// send runs the request at the picked target.
func (a *attempt) send() error {
	x, pick, prefilling := a.x, a.pick, true
	started := func(after time.Duration) {
		if prefilling {
			prefilling = false
			x.cd.control.prefillEnded(a.ticket, pick, after)
		}
	}
	defer started(0)
	out, err := a.describe()
	if err != nil {
		return err
	}
	out.Emit = func(c messenger.Chunk) error { return a.emit(c, started) }
	if err := x.cd.checkEvacuated(pick); err != nil {
		return err
	}
	release, err := x.reserveHelpers(a.ctx, out, pick.HelperMemory, func() bool {
		if a.answering.Load() {
			return false
		}
		a.cancel(errNotStarted)
		return true
	})
	if err != nil {
		return err
	}
	defer release()
	if err := x.checkSend(pick); err != nil {
		return err
	}
	if err := a.checkShare(); err != nil {
		return err
	}
	a.sentAt = x.cd.cfg.Now()
	end, err := x.exchange(a.ctx, out)
	a.blamedHelper, a.targetAlive = out.BlamedHelper(), out.TargetAlive
	if err != nil {
		a.notRun = coder.Of(err).Run == coder.NotRun
		return err
	}
	return a.end(end)
}

// checkSend returns the error to end an attempt with before its request is sent, if that
// must not be sent any more: reserving memory at the helpers takes time.
func (x *execution) checkSend(pick router.Pick) error {
	if err := x.cd.checkEvacuated(pick); err != nil {
		return err
	}
	if len(pick.Helpers) > 0 {
		if err := x.cd.control.checkHolds(pick); err != nil {
			return err
		}
	}
	if err := x.cd.checkRegions(x.r, pick); err != nil {
		return err
	}
	return x.cd.checkParts(x.r)
}

// describe counts the attempt and describes it to the exchange. It fails if another attempt
// has superseded it.
func (a *attempt) describe() (*Attempt, error) {
	x, pick := a.x, a.pick
	x.mu.Lock()
	defer x.mu.Unlock()
	if a.superseded {
		return nil, errSuperseded
	}
	x.attempts++
	x.placements++
	x.r.Trace.Attempts = x.attempts
	a.sent, a.events = true, x.events()
	if x.current == a {
		x.traceTarget(a)
	}
	out := &Attempt{
		ID: fmt.Sprintf("%s-%d", x.r.ID, x.placements), Request: x.r, Target: pick.Target, Helpers: pick.Helpers,
		Remaining: x.remaining(), LastEventID: x.r.LastEventID, Repeated: slices.Contains(x.addresses, pick.Target.Address),
		ReportLoad:    func(l messenger.Load) { a.recordLoad(l) },
		ReportLimit:   func(rate float64) { x.cd.control.recordLimit(a.since, pick, rate) },
		ReportLeaving: func() { x.cd.control.recordLeaving(x.r.CallerID, pick) },
		ReportPause:   func(d time.Duration) { x.cd.control.recordPause(x.r.CallerID, pick, d) },
		ReportSilence: a.reportSilence, CheckEnd: a.checkEnd,
	}
	x.addresses = append(x.addresses, pick.Target.Address)
	a.reportCold(out)
	out.FirstTimeout, out.IdleTimeout = x.timeouts()
	if x.r.Answer.LastEventID != nil && x.r.Answer.LastEventID() != "" {
		out.LastEventID = x.r.Answer.LastEventID()
	}
	return out, nil
}

// recordLoad records the load that the target of an attempt reports with its answer.
func (a *attempt) recordLoad(l messenger.Load) {
	x := a.x
	x.mu.Lock()
	if x.current == a {
		x.r.Trace.Reported = l.Running
	}
	x.mu.Unlock()
	x.cd.control.recordLoad(a.pick, l)
}

// traceTarget records the target of an attempt in the trace.
func (x *execution) traceTarget(a *attempt) {
	t := &x.r.Trace
	t.Target, t.Helpers, t.TargetRequests = a.pick.Target.ID, len(a.pick.Helpers), a.pick.Running
	x.cd.countAffinity(a.pick)
	t.PeerEntries, t.PeerAge, t.Relay = a.pick.PeerEntries, a.pick.PeerAge, a.pick.Relay
	t.Prefill = a.ticket.Prefill / time.Duration(1+len(a.pick.Helpers))
}

// emit passes a chunk on to the caller, or holds it while another attempt may still be needed.
// started is called with the time since the target was picked.
func (a *attempt) emit(c messenger.Chunk, started func(time.Duration)) error {
	x := a.x
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok, err := x.holdChunk(a, c)
	if err != nil {
		return err
	}
	a.answering.Store(true)
	started(x.cd.cfg.Now().Sub(a.since))
	if !ok {
		return nil
	}
	if err := x.take(a); err != nil {
		return err
	}
	if !x.gotChunk {
		x.r.Trace.Wait = x.cd.cfg.Now().Sub(a.since)
	}
	x.observeChunk()
	if c.Status != 0 {
		a.status = c.Status
	}
	err = x.r.Answer.Chunk(c)
	a.eventsAfter = x.events()
	x.recordEvents(a)
	if err == nil {
		x.keep(a)
	}
	return err
}

// blamedPick returns the target that a failed attempt is about: the picked one, unless
// the refusal names a helper.
func (a *attempt) blamedPick() router.Pick {
	if a.blamedHelper != nil {
		return router.Pick{Target: *a.blamedHelper}
	}
	return a.pick
}

// timeouts returns how long a target may send nothing before its answer and within it,
// zero for no bound. A connection can stall permanently without being reset. Only
// streams that another target can resume are bounded.
func (x *execution) timeouts() (first, idle time.Duration) {
	path := x.r.PathConfig
	if path == nil || !path.Resume || x.cd.cfg.Disabled.Off(switcher.GiveUpSilent) {
		return 0, 0
	}
	prefill := predictor.Predictor{Engine: x.r.Spec.Engine}.Prefill(x.r.Prompt, 1)
	return max(minTimeout, firstTimeoutObjectives*seconds(path.Objective, 0)) + prefill, max(minTimeout, idleTimeoutGaps*seconds(path.Gap, 0))
}
