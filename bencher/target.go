package bencher

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/batcher"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/reserver"
	"bramleyshunt/router"
)

// Parameters of the simulated engine.
const (
	engineMemory = 400_000 // tokens
	engineBudget = 1024    // tokens per step
	engineBlock  = 256     // tokens
	engineStep   = 20 * time.Millisecond
	engineSlots  = 512
)

// maxGap is the objective for the inter-token gap.
const maxGap = 50 * time.Millisecond

// target is a simulated engine with its agent.
type target struct {
	b        *Bencher
	info     messenger.Target
	engine   *batcher.Batcher
	agent    *reserver.Reserver
	stepping bool // a step is scheduled
	down     bool
	runs     map[string]*run
}

// run is one attempt at a request on an engine, with callbacks for its progress.
type run struct {
	request   *request
	lastToken time.Time
	onFirst   func()
	onEnd     func(messenger.Usage, error)
}

func newTarget(b *Bencher, i int) *target {
	t := &target{b: b, info: messenger.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Model: "m", Incarnation: 1}}
	switch {
	case b.Deployment.ShortReplicas == 0:
	case i < b.Deployment.ShortReplicas:
		t.info.Lane = router.LaneShort
	default:
		t.info.Lane = router.LaneLong
	}
	t.startEngine()
	return t
}

// startEngine starts an empty engine and an agent with the current incarnation.
func (t *target) startEngine() {
	t.engine = &batcher.Batcher{Config: batcher.Config{
		Memory: engineMemory, Block: engineBlock, Budget: engineBudget, Step: engineStep, Model: "m", Retention: time.Second,
	}}
	t.agent = &reserver.Reserver{Incarnation: t.info.Incarnation, Memory: engineMemory, Slots: engineSlots}
	perSecond := int(time.Second / engineStep)
	t.agent.Reconcile(t.b.now, &reserver.Report{
		Requested: t.b.now, Incarnation: t.info.Incarnation,
		Memory: engineMemory, Speed: engineBudget * perSecond, Pace: perSecond,
	})
	t.runs = map[string]*run{}
	t.stepping = false
}

func (t *target) load() messenger.Load { return t.agent.Load(t.b.now) }

// announcedTargets returns the targets that are up, with their present load.
func (b *Bencher) announcedTargets() []messenger.Target {
	var out []messenger.Target
	for _, t := range b.targets {
		if t.down {
			continue
		}
		info := t.info
		info.Load = t.load()
		out = append(out, info)
	}
	return out
}

// submit starts an attempt on the engine.
func (t *target) submit(id string, r *run, priority int, remaining time.Duration) {
	t.runs[id] = r
	actions := t.engine.Step(t.b.now, batcher.Event{Kind: batcher.Submit, Request: batcher.Request{
		ID: id, Prompt: r.request.segmentPrompt(), BlockHashes: t.b.cachedHashes(r.request), Output: r.request.segmentOutput(), Priority: priority, Remaining: remaining,
	}})
	t.handle(actions)
	if !t.stepping {
		t.stepping = true
		t.scheduleStep()
	}
}

// scheduleStep runs a step of the engine after engineStep, and further ones as long as
// the engine has work. A step scheduled before a crash does nothing.
func (t *target) scheduleStep() {
	engine := t.engine
	t.b.after(engineStep, func() {
		if t.engine != engine {
			return
		}
		t.handle(engine.Step(t.b.now, batcher.Event{}))
		t.stepping = engine.Busy()
		if t.stepping {
			t.scheduleStep()
		}
	})
}

// handle passes the engine's actions on to the runs that they concern.
func (t *target) handle(actions []batcher.Action) {
	for _, a := range actions {
		r := t.runs[a.ID]
		if r == nil {
			continue
		}
		switch a.Kind {
		case batcher.Token:
			t.token(r, a)
		case batcher.Refused:
			delete(t.runs, a.ID)
			r.onEnd(a.Usage, a.Err)
		case batcher.Ended:
			delete(t.runs, a.ID)
			var err error
			if a.Err != nil {
				err = a.Err
			}
			r.onEnd(a.Usage, err)
		}
	}
}

// token records the first token, or the gap since the previous one.
func (t *target) token(r *run, a batcher.Action) {
	if a.Seq == 1 {
		t.agent.FirstToken(t.b.now, a.ID)
		r.onFirst()
	} else {
		r.request.gaps++
		if t.b.now.Sub(r.lastToken) > maxGap {
			r.request.longGaps++
		}
	}
	r.lastToken = t.b.now
}

// crash drops the engine with its state and fails all its runs with TargetLost, in
// the order of their IDs so that runs are reproducible.
func (t *target) crash() {
	t.down = true
	runs := t.runs
	t.engine, t.runs = nil, nil
	for _, id := range sortedKeys(runs) {
		runs[id].onEnd(messenger.Usage{}, coder.Errorf(coder.TargetLost, ""))
	}
}

// restart brings the target back under its next incarnation.
func (t *target) restart() {
	t.down = false
	t.info.Incarnation++
	t.startEngine()
}

// blockHashes returns the prefix hashes of a segment's full blocks. Blocks of the shared
// prefix have hashes of the request's family; the remaining ones are unique to the
// segment.
func blockHashes(r *request) []uint64 {
	n := r.segmentPrompt() / engineBlock
	out := make([]uint64, n)
	ownSeed := xxhash.Sum64String(fmt.Sprint(r.id, "/", r.segment))
	for i := range out {
		seed := ownSeed
		if (i+1)*engineBlock <= r.shared {
			seed = r.family * 0x9e3779b97f4a7c15
		}
		out[i] = seed + uint64(i+1)
	}
	return out
}

// segmentTokens is the size of the segments that a prompt above maxUnsplitTokens is
// sent in.
const segmentTokens = 170_000

// maxUnsplitTokens is the largest request, prompt and output, that is sent unsplit.
const maxUnsplitTokens = 360_000

// segmentPrompt returns the prompt tokens of the current segment. The segments of a
// prompt that exceeds the memory of one engine run one after another. The simulation
// does not model that each segment but the last keeps its memory pinned meanwhile.
func (r *request) segmentPrompt() int {
	if r.prompt+r.output <= maxUnsplitTokens {
		return r.prompt
	}
	return min(segmentTokens, r.prompt-r.segment*segmentTokens)
}

// lastSegment reports whether the current segment is the last one of the prompt.
func (r *request) lastSegment() bool {
	return r.prompt+r.output <= maxUnsplitTokens || (r.segment+1)*segmentTokens >= r.prompt
}

// segmentOutput returns the output tokens of the current segment: the answer for the
// last one, a single token for the segments before it.
func (r *request) segmentOutput() int {
	if r.lastSegment() {
		return r.output
	}
	return 1
}
