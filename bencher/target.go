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

// The stand-in engine of every run.
const (
	engineMemory = 400_000 // tokens
	engineBudget = 1024    // tokens a step
	engineBlock  = 256     // tokens
	engineStep   = 20 * time.Millisecond
	engineSlots  = 512
)

const gapBound = 50 * time.Millisecond

// target is an engine with its agent.
type target struct {
	b       *Bencher
	info    messenger.Target
	engine  *batcher.Batcher
	agent   *reserver.Reserver
	beating bool
	down    bool
	runs    map[string]*run
}

// run is one attempt on an engine.
type run struct {
	r     *request
	last  time.Time
	first func()
	end   func(messenger.Usage, error)
}

func newTarget(b *Bencher, i int) *target {
	t := &target{b: b, info: messenger.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Model: "m", Incarnation: 1}}
	switch {
	case b.Deployment.Shorts == 0:
	case i < b.Deployment.Shorts:
		t.info.Lane = router.LaneShort
	default:
		t.info.Lane = router.LaneLong
	}
	t.boot()
	return t
}

func (t *target) boot() {
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
	t.beating = false
}

func (t *target) load() messenger.Load { return t.agent.Load(t.b.now) }

func (b *Bencher) view() []messenger.Target {
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

// submit gives an attempt to the engine.
func (t *target) submit(id string, x *run, priority int, remaining time.Duration) {
	t.runs[id] = x
	acts := t.engine.Step(t.b.now, batcher.Event{Kind: batcher.Submit, Request: batcher.Request{
		ID: id, Prompt: x.r.part(), BlockHashes: blocks(x.r), Output: x.r.out(), Priority: priority, Remaining: remaining,
	}})
	t.take(acts)
	if !t.beating {
		t.beating = true
		t.beat()
	}
}

func (t *target) beat() {
	engine := t.engine
	t.b.after(engineStep, func() {
		if t.engine != engine {
			return
		}
		t.take(engine.Step(t.b.now, batcher.Event{}))
		t.beating = engine.Busy()
		if t.beating {
			t.beat()
		}
	})
}

func (t *target) take(acts []batcher.Action) {
	for _, a := range acts {
		x := t.runs[a.ID]
		if x == nil {
			continue
		}
		switch a.Kind {
		case batcher.Token:
			t.token(x, a)
		case batcher.Refused:
			delete(t.runs, a.ID)
			x.end(a.Usage, a.Err)
		case batcher.Ended:
			delete(t.runs, a.ID)
			var err error
			if a.Err != nil {
				err = a.Err
			}
			x.end(a.Usage, err)
		}
	}
}

func (t *target) token(x *run, a batcher.Action) {
	if a.Seq == 1 {
		t.agent.FirstToken(t.b.now, a.ID)
		x.first()
	} else {
		x.r.gaps++
		if t.b.now.Sub(x.last) > gapBound {
			x.r.wide++
		}
	}
	x.last = t.b.now
}

// kill loses the engine and its agent with all they held.
func (t *target) kill() {
	t.down = true
	runs := t.runs
	t.engine, t.runs = nil, nil
	for _, id := range sorted(runs) {
		runs[id].end(messenger.Usage{}, coder.Errorf(coder.TargetLost, ""))
	}
}

func (t *target) restart() {
	t.down = false
	t.info.Incarnation++
	t.boot()
}

// blocks returns the prefix hashes of a prompt's whole blocks: those of the
// shared beginning are the family's, the others its own.
func blocks(r *request) []uint64 {
	n := r.part() / engineBlock
	out := make([]uint64, n)
	own := xxhash.Sum64String(fmt.Sprint(r.id, "/", r.segment))
	for i := range out {
		seed := own
		if (i+1)*engineBlock <= r.shared {
			seed = r.family * 0x9e3779b97f4a7c15
		}
		out[i] = seed + uint64(i+1)
	}
	return out
}

// segmentTokens is the part of a longer prompt that one engine gets at a time.
const segmentTokens = 170_000

// wholeTokens is the largest request that one engine gets whole.
const wholeTokens = 360_000

// part returns the tokens of the segment being worked on. Segments of a prompt
// beyond one engine's memory run one after another; that each but the last pins
// its engine's memory meanwhile is not modelled.
func (r *request) part() int {
	if r.prompt+r.output <= wholeTokens {
		return r.prompt
	}
	return min(segmentTokens, r.prompt-r.segment*segmentTokens)
}

func (r *request) lastPart() bool {
	return r.prompt+r.output <= wholeTokens || (r.segment+1)*segmentTokens >= r.prompt
}

func (r *request) out() int {
	if r.lastPart() {
		return r.output
	}
	return 1
}
