package conductor

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/chainer"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// sendTo sends a request with prefixes to engines that keep finished prompts of so many tokens.
func (b *relayBed) sendTo(cache int, prefixes ...uint64) {
	v := *engineTargets()
	s := v.Config.Services["s"]
	s.Engine.Cache = cache
	v.Config.Services["s"] = s
	b.view.Store(&v)
	path := safePath()
	ctx, r, end, err := b.cd.Begin(b.t.Context())
	b.Expect(err).NotTo(HaveOccurred())
	defer end()
	r.Config, r.Service, r.PathConfig = v.Config, "s", &path
	r.HasTokenCounts, r.Prompt, r.Output, r.PrefixHashes, r.PromptBytes = true, 400, 10, prefixes, 1600
	r.Answer = emptyAnswer()
	b.Expect(b.cd.Do(ctx, r)).To(Succeed())
}

func emptyAnswer() chainer.Answer {
	return chainer.Answer{
		SetWriteDeadline: func(time.Time) {}, Begin: func() bool { return true }, Resumable: func() bool { return true },
		Chunk: func(messenger.Chunk) error { return nil }, End: func(messenger.End) error { return nil },
	}
}

// Guards against a relay that places without the prefixes that it needs, and against their cost
// where engines keep no prompt.
func TestRelayLearnsPrefixesOnlyWhereEnginesKeepPrompts(t *testing.T) {
	for cache, want := range map[int]int{-1: 0, 0: 0, 100_000: 2} {
		t.Run(fmt.Sprint(cache), func(t *testing.T) {
			withRelay(t, Config{}, func(b *relayBed) {
				b.sendTo(cache, 11, 12)
				b.Expect(b.asked).To(HaveLen(1))
				b.Expect(b.asked[0].PrefixHashes).To(HaveLen(want))
				b.Expect(b.asked[0].Cache).To(Equal(max(0, cache)))
			})
		})
	}
}

// Guards against a relay that forgets the prefixes of requests that it placed for other entries,
// so that it places the next one elsewhere.
func TestRelayRemembersPrefixesThatItPlaced(t *testing.T) {
	for cache, want := range map[int]bool{0: false, 100_000: true} {
		withHolds(t, Config{}, engineTargets(), func(b *holdBed) {
			m := &messenger.Place{
				Service: "s", Prompt: 400, Output: 10, Prefill: 20 * time.Millisecond, PrefillTargets: 1,
				PrefixHashes: []uint64{11}, PromptBytes: 1600, Cache: cache,
			}
			var before *messenger.Placed
			for n := range 2 {
				out, err := b.cd.PlaceFor(m, func([]messenger.Sent) {})
				b.Expect(err).NotTo(HaveOccurred())
				b.Expect(out.Cached > 0).To(Equal(want && n > 0))
				if want && before != nil {
					b.Expect(out.Target).To(Equal(before.Target))
				}
				before = out
			}
		})
	}
}

// Guards against fields that a relay of an older build would have to know.
func TestPlaceWithoutPrefixesIsThatOfOlderBuilds(t *testing.T) {
	for _, v := range []any{&messenger.Place{Service: "s"}, &messenger.Placed{Relay: "r"}} {
		data, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]any
		if err := msgpack.Unmarshal(data, &fields); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"prefixes", "bytes", "cache", "cached"} {
			if _, ok := fields[name]; ok {
				t.Errorf("%T has the field %q", v, name)
			}
		}
	}
}

// Guards against cached tokens that a forged or faulty answer of the relay invents: the prefill
// that is counted at a target must stay positive and return to zero.
func TestCachedTokensOfTheRelayAreBounded(t *testing.T) {
	for _, cached := range []int{-5, 399, 1 << 40} {
		withRelay(t, Config{}, func(b *relayBed) {
			b.answer = func(*messenger.Place) (*messenger.Placed, error) {
				p := placedAt("t2", 1)
				p.Cached = cached
				return p, nil
			}
			b.sendTo(100_000, 11)
			b.Expect(b.cd.Sends()).To(BeEmpty())
		})
	}
}

// Guards against wrong hints that an operator does not see, and against answers without a usage
// that count as wrong hints.
func TestCachedTokensAreCompared(t *testing.T) {
	for name, c := range map[string]struct {
		expected     int
		usage        messenger.Usage
		wrong, ratio int64
	}{
		"right":                {8192, messenger.Usage{Prompt: 10_000, Cached: 8192}, 0, 100},
		"wrong":                {8192, messenger.Usage{Prompt: 10_000, Cached: 2048}, 1, 25},
		"nothing expected":     {0, messenger.Usage{Prompt: 10_000}, 0, -1},
		"answer without usage": {8192, messenger.Usage{}, 0, -1},
	} {
		t.Run(name, func(t *testing.T) {
			withHolds(t, Config{}, engineTargets(), func(b *holdBed) {
				b.cd.recordCached(&chainer.Request{ID: "r"}, router.Pick{Target: b.target(0), Cached: c.expected, Hinted: c.expected}, c.usage)
				wrong := metrics.GetOrRegisterCounter("entry.affinity.wrong", b.counters).Count()
				b.Expect(wrong).To(Equal(c.wrong))
				ratio, ok := b.counters.Get("entry.affinity.ratio").(metrics.Histogram)
				b.Expect(ok).To(Equal(c.ratio >= 0))
				if ok {
					b.Expect(ratio.Max()).To(Equal(c.ratio))
				}
				line := b.logs.LastEntry()
				b.Expect(line != nil && line.Message == "fewer tokens cached than expected").To(Equal(c.wrong > 0))
			})
		})
	}
}

// Guards against a request with a cached prefix that is not counted, and others that are.
func TestPicksByAffinityAreCounted(t *testing.T) {
	withHolds(t, Config{}, engineTargets(), func(b *holdBed) {
		b.cd.countAffinity(router.Pick{})
		b.cd.countAffinity(router.Pick{Cached: 5})
		b.Expect(metrics.GetOrRegisterCounter("entry.affinity.picked", b.counters).Count()).To(Equal(int64(1)))
	})
}
