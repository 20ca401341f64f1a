package conductor

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"bramleyshunt/allocator"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/watcher"
)

// zoned puts each target of a view into a zone of its own, named z- and the target's id.
func zoned(v *watcher.View) *watcher.View {
	v.ByService = map[string][]messenger.Target{}
	for i := range v.Targets {
		v.Targets[i].Zone = zoneOf(v.Targets[i].ID)
		v.ByService[v.Targets[i].Service] = append(v.ByService[v.Targets[i].Service], v.Targets[i])
	}
	return v
}

func zoneOf(id string) string { return "z-" + id }

// evacuate puts a view in force that differs from the present one in its evacuated zones only.
func (b *holdBed) evacuate(zones ...string) {
	v := *b.view.Load()
	e := &messenger.Evacuated{Index: 1}
	if v.Evacuated != nil {
		e.Index = v.Evacuated.Index + 1
	}
	for _, z := range zones {
		e.Zones = append(e.Zones, messenger.Evacuation{Zone: z, Operator: "office", Since: time.Now().UnixNano()})
	}
	v.Evacuated = e
	b.view.Store(&v)
}

// expectReached expects that n requests reach exactly these targets.
func (b *holdBed) expectReached(n int, ids ...string) {
	b.t.Helper()
	b.targetsReached()
	for range n {
		b.Expect(b.send()).To(Succeed())
	}
	seen := map[string]bool{}
	for _, id := range b.targetsReached() {
		seen[id] = true
	}
	b.Expect(seen).To(HaveLen(len(ids)))
	for _, id := range ids {
		b.Expect(seen).To(HaveKey(id))
	}
}

// expectEvacuated expects that a request is refused at once because its targets' zones are
// evacuated.
func (b *holdBed) expectEvacuated(err error) {
	b.t.Helper()
	c := coder.Of(err)
	b.Expect(c).NotTo(BeNil())
	b.Expect(*c).To(And(HaveField("Code", coder.NoTarget), HaveField("Run", coder.NotRun), HaveField("Retry", BeNumerically(">", 0)),
		HaveField("Text", ContainSubstring("evacuated availability zones"))))
}

// Guards against an evacuation that waits for a new configuration version, for the interval
// between two views, or for a request; and against targets that don't return after it.
func TestEvacuationIsInForceAtOnce(t *testing.T) {
	withHolds(t, Config{}, zoned(oneSlotEach()), func(b *holdBed) {
		b.expectUsed("t1", "t2")
		for range 3 {
			b.evacuate(zoneOf("t1"))
			b.expectReached(5, "t2")
			b.evacuate(zoneOf("t2"))
			b.expectReached(5, "t1")
			b.evacuate()
			b.expectUsed("t1", "t2")
		}
		b.evacuate("z-unknown")
		b.expectUsed("t1", "t2")
		b.Expect(b.view.Load().Version).To(BeEquivalentTo(1))
	})
}

// Guards against a queued request that is sent into a zone that was evacuated meanwhile, and
// against ending what runs there.
func TestQueuedRequestDoesNotReachEvacuatedZone(t *testing.T) {
	withHolds(t, Config{}, zoned(oneSlotEach()), func(b *holdBed) {
		ends := b.blocking("t1", "t2")
		running := []<-chan error{b.start(), b.start()}
		queued := b.start()
		b.Expect(b.targetsReached()).To(ConsistOf("t1", "t2"))
		b.evacuate(zoneOf("t1"))
		<-time.After(time.Second)
		b.Expect(running[0]).NotTo(Receive())
		b.Expect(running[1]).NotTo(Receive())
		close(ends["t1"])
		<-time.After(time.Second)
		b.Expect(b.targetsReached()).To(BeEmpty())
		close(ends["t2"])
		for _, done := range append(running, queued) {
			b.Expect(<-done).To(Succeed())
		}
		b.Expect(b.targetsReached()).To(Equal([]string{"t2"}))
	})
}

// Guards against a stream that is cut because the zone of its target is evacuated.
func TestStreamInEvacuatedZoneEndsInPeace(t *testing.T) {
	withHolds(t, Config{}, zoned(oneTarget(1)), func(b *holdBed) {
		b.answer = func(ctx context.Context, a *Attempt) error {
			for range 5 {
				if err := a.Emit(messenger.Chunk{Data: []byte("x")}); err != nil {
					return err
				}
				<-time.After(time.Second)
			}
			return ctx.Err()
		}
		done := b.start()
		b.evacuate(zoneOf("t1"))
		<-time.After(2 * time.Second)
		b.expectEvacuated(b.send())
		b.Expect(<-done).To(Succeed())
		b.Expect(b.targetsReached()).To(HaveLen(1))
	})
}

// Guards against requests that wait, or are refused without a reason of their own, although all
// targets are in evacuated zones; and against that reason where another one holds.
func TestRequestsAreRefusedAtOnceWhileAllZonesAreEvacuated(t *testing.T) {
	t.Run("a new request", func(t *testing.T) {
		withHolds(t, Config{}, zoned(twoTargets()), func(b *holdBed) {
			b.expectUsed("t1", "t2")
			b.evacuate(zoneOf("t1"), zoneOf("t2"))
			since := time.Now()
			err := b.send()
			b.expectEvacuated(err)
			b.Expect(coder.Of(err).Text).To(ContainSubstring("(z-t1, z-t2)"))
			b.Expect(time.Since(since)).To(BeZero())
			b.Expect(b.targetsReached()).To(BeEmpty())
		})
	})
	t.Run("a queued request", func(t *testing.T) {
		withHolds(t, Config{}, zoned(oneSlotEach()), func(b *holdBed) {
			ends := b.blocking("t1", "t2")
			running := []<-chan error{b.start(), b.start()}
			queued := []<-chan error{b.start(), b.start(), b.start()}
			b.evacuate(zoneOf("t1"), zoneOf("t2"))
			since := time.Now()
			for _, done := range queued {
				b.expectEvacuated(<-done)
			}
			b.Expect(time.Since(since)).To(BeNumerically("<=", pollInterval))
			close(ends["t1"])
			close(ends["t2"])
			for _, done := range running {
				b.Expect(<-done).To(Succeed())
			}
			b.Expect(b.targetsReached()).To(HaveLen(2))
		})
	})
	t.Run("the rest leaves", func(t *testing.T) {
		withHolds(t, Config{}, zoned(twoTargets()), func(b *holdBed) {
			b.leave(b.target(0))
			b.evacuate(zoneOf("t2"))
			b.expectEvacuated(b.send())
			b.evacuate()
			b.expectReached(3, "t2")
		})
	})
	t.Run("all leave", func(t *testing.T) {
		withHolds(t, Config{}, zoned(oneTarget(1)), func(b *holdBed) {
			v := *b.view.Load()
			v.Targets = []messenger.Target{{ID: "t1", Service: "s", Zone: zoneOf("t1"), Incarnation: 1, Leaving: true}}
			b.view.Store(&v)
			b.evacuate(zoneOf("t1"))
			b.Expect(coder.Of(b.send()).Text).NotTo(ContainSubstring("evacuated"))
		})
	})
}

// Guards against a retry into a zone that was evacuated while the first attempt ran.
func TestRetryDoesNotReachEvacuatedZone(t *testing.T) {
	v := twoTargets()
	v.Targets = append(v.Targets, messenger.Target{ID: "t3", Service: "s", Incarnation: 1, Slots: 4})
	others := map[string][2]string{"t1": {"t2", "t3"}, "t2": {"t3", "t1"}, "t3": {"t1", "t2"}}
	withHolds(t, Config{}, zoned(v), func(b *holdBed) {
		failed := ""
		b.answer = func(_ context.Context, a *Attempt) error {
			if failed != "" {
				return nil
			}
			failed = a.Target.ID
			b.evacuate(zoneOf(others[failed][0]))
			return coder.Errorf(coder.EngineFailed, "own answer")
		}
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.targetsReached()).To(Equal([]string{failed, others[failed][1]}))
	})
}

// Guards against the answer of the first attempt that is replaced by a refusal of the retry.
func TestRetryWithoutRemainingZoneKeepsItsAnswer(t *testing.T) {
	withHolds(t, Config{}, zoned(twoTargets()), func(b *holdBed) {
		b.answer = func(context.Context, *Attempt) error {
			b.evacuate(zoneOf("t1"), zoneOf("t2"))
			return coder.Errorf(coder.EngineFailed, "own answer")
		}
		b.Expect(coder.Of(b.send())).To(HaveField("Text", "own answer"))
		b.Expect(b.targetsReached()).To(HaveLen(1))
	})
}

// Guards against an attempt beside a silent target in a zone that is evacuated.
func TestHedgeDoesNotReachEvacuatedZone(t *testing.T) {
	withHolds(t, Config{}, zoned(twoTargets()), func(b *holdBed) {
		first := ""
		b.answer = func(_ context.Context, a *Attempt) error {
			if first != "" {
				return a.Emit(messenger.Chunk{Status: http.StatusOK})
			}
			first = a.Target.ID
			other := map[string]string{"t1": "t2", "t2": "t1"}[first]
			b.evacuate(zoneOf(other))
			a.ReportSilence()
			synctest.Wait()
			b.Expect(b.targetsReached()).To(Equal([]string{first}))
			b.evacuate(zoneOf(first))
			a.ReportSilence()
			synctest.Wait()
			b.Expect(b.targetsReached()).To(Equal([]string{other}))
			return coder.Errorf(coder.Silent, "")
		}
		b.Expect(b.send()).To(Succeed())
	})
}

// Guards against a request that was placed before an evacuation and is sent after it: while the
// relay was asked, and at a target that the relay has picked without knowing of it.
func TestPlacedRequestDoesNotReachEvacuatedZone(t *testing.T) {
	for _, relayed := range []string{"t1", "t2", ""} {
		t.Run("relay picks "+relayed, func(t *testing.T) {
			var b *holdBed
			cfg := Config{Place: func(context.Context, *messenger.Place) (*messenger.Placed, error) {
				b.evacuate(zoneOf("t2"))
				if relayed == "" {
					return nil, nil
				}
				return placedAt(relayed, 1), nil
			}}
			withHolds(t, cfg, zoned(engineTargets()), func(bed *holdBed) {
				b = bed
				for range 10 {
					b.Expect(b.send()).To(Succeed())
					b.Expect(b.targetsReached()).To(Equal([]string{"t1"}))
					b.evacuate()
				}
				b.Expect(b.counter("retries")).To(BeZero())
				b.Expect(b.cd.Sends()).To(BeEmpty())
			})
		})
	}
}

// Guards against a relay that picks targets in evacuated zones for other entries.
func TestRelayPicksNoTargetInEvacuatedZone(t *testing.T) {
	withHolds(t, Config{}, zoned(engineTargets()), func(b *holdBed) {
		place := &messenger.Place{Service: "s", Prompt: 100, Output: 10, Prefill: 10 * time.Millisecond, PrefillTargets: 1}
		for _, id := range []string{"t1", "t2", "t1"} {
			b.evacuate(zoneOf(id))
			out, err := b.cd.PlaceFor(place, func([]messenger.Sent) {})
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(out.Target.ID).NotTo(Equal(id))
		}
	})
}

// Guards against a request that is sent to a target, or with a helper, whose zone was evacuated
// while memory was being reserved for it; and against reservations that stay.
func TestRequestIsPlacedAgainIfZoneIsEvacuatedWhileMemoryIsReserved(t *testing.T) {
	for name, first := range map[string]bool{"of the target": true, "of a helper": false} {
		t.Run(name, func(t *testing.T) {
			m := &memory{}
			withHolds(t, Config{Allocator: m.allocator()}, zoned(splitTargets()), func(b *holdBed) {
				held := b.holdWhileReserving(m, first, func(b *holdBed, t messenger.Target) { b.evacuate(t.Zone) })
				b.expectPlacedAgain(held)
				b.expectReleased(m)
				b.Expect(b.counter("evacuated.held")).To(BeEquivalentTo(1))
			})
		})
	}
}

// Guards against reservations at helpers of a running request that an evacuation ends.
func TestMemoryOfRunningRequestIsRenewedInEvacuatedZones(t *testing.T) {
	m := &memory{during: func(allocator.Reservation, []string) {}}
	withHolds(t, Config{Allocator: m.allocator()}, zoned(splitTargets()), func(b *holdBed) {
		b.answer = func(context.Context, *Attempt) error {
			b.evacuate(zoneOf("t1"), zoneOf("t2"), zoneOf("t3"))
			m.mu.Lock()
			before := len(m.reserved)
			m.mu.Unlock()
			<-time.After(5 * time.Second)
			m.mu.Lock()
			defer m.mu.Unlock()
			b.Expect(len(m.reserved)).To(BeNumerically(">", before), "renewed")
			b.Expect(m.released).To(BeEmpty())
			return nil
		}
		_, err := b.sendLong()
		b.Expect(err).NotTo(HaveOccurred())
	})
}

// Guards against a start at a target with an agent after its zone was evacuated while the
// reservation or the claim was under way, and against a gang's member there.
func TestAgentsInEvacuatedZonesStartNothing(t *testing.T) {
	withHolds(t, Config{}, zoned(twoTargets()), func(b *holdBed) {
		b.expectUsed("t1", "t2")
		r := &chainer.Request{Service: "s"}
		x, g := &execution{cd: b.cd, r: r}, &gang{cd: b.cd, r: r}
		check := func(want error) {
			t.Helper()
			b.Expect(x.beforeRun(t.Context(), b.target(0))).To(MatchError(want))
			b.Expect(g.checkMember(&segment{zone: zoneOf("t1")})).To(MatchError(want))
			b.Expect(x.beforeRun(t.Context(), b.target(1))).To(Succeed())
		}
		b.evacuate(zoneOf("t1"))
		check(errTargetHeld)
		b.cd.control.do(func() {
			b.Expect(b.cd.control.scheduler.Router.Targets("s")).To(ConsistOf(HaveField("ID", "t2")))
		})
		b.evacuate()
		b.Expect(g.checkMember(&segment{zone: zoneOf("t1")})).To(Succeed())
		b.Expect(g.checkMember(&segment{})).To(Succeed(), "a target without a zone")
	})
}

// Guards against a suspect request that is kept from the last target because others, in
// evacuated zones, count as left.
func TestEvacuatedTargetsAreNotLeftForSuspectRequests(t *testing.T) {
	withHolds(t, Config{}, zoned(twoTargets()), func(b *holdBed) {
		c := b.cd.control
		c.do(func() {
			c.refreshView()
			c.suspects["other"] = "t1"
			b.Expect(c.excludeSuspectTargets("s", nil)).To(Equal([]string{"t1"}))
			b.evacuate(zoneOf("t2"))
			c.refreshView()
			b.Expect(c.excludeSuspectTargets("s", nil)).To(BeEmpty())
		})
	})
}

// Guards against a change of an entry's view without a line, also where no request arrives.
func TestEvacuationIsLoggedAndCounted(t *testing.T) {
	withHolds(t, Config{}, zoned(twoTargets()), func(b *holdBed) {
		gauge := func() int64 { return metrics.GetOrRegisterGauge("entry.evacuated", b.counters).Value() }
		b.evacuate(zoneOf("t1"), "z-other")
		<-time.After(2 * partsPollInterval)
		lines := b.lines("zone evacuated")
		b.Expect(lines).To(HaveLen(2))
		b.Expect(lines[0]).To(And(HaveKeyWithValue("zone", "z-t1"), HaveKeyWithValue("targets", 1), HaveKeyWithValue("operator", "office"), HaveKey("age")))
		b.Expect(lines[1]).To(And(HaveKeyWithValue("zone", "z-other"), HaveKeyWithValue("targets", 0)))
		b.Expect(gauge()).To(BeEquivalentTo(2))
		b.evacuate("z-other")
		<-time.After(2 * partsPollInterval)
		b.Expect(b.lines("zone evacuated")).To(HaveLen(2))
		b.Expect(b.lines("zone returned")).To(ConsistOf(HaveKeyWithValue("zone", "z-t1")))
		b.Expect(gauge()).To(BeEquivalentTo(1))
	})
}
