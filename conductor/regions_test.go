package conductor

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/allocator"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/watcher"
)

// regionView returns a view of two targets in region a, t1 and t3, one in region b, t2, and one
// whose region is unknown, t4. The path /x/ and the account acct are restricted as given.
func regionView(path, account []string) *watcher.View {
	v := twoTargets()
	v.Targets = append(v.Targets, messenger.Target{ID: "t3", Service: "s", Incarnation: 1, Slots: 4}, messenger.Target{ID: "t4", Service: "s", Incarnation: 1, Slots: 4})
	for i, region := range []string{"a", "b", "a", ""} {
		v.Targets[i].Region = region
	}
	v.ByService = map[string][]messenger.Target{"s": v.Targets}
	v.Config.Paths = []configurer.Path{{Host: "h", Prefix: "/x/", Kind: configurer.KindSafe, MaxAttempts: 4, Regions: path, Open: true}}
	v.Config.Accounts = map[string]configurer.Account{"acct": {Regions: account}}
	return v
}

// sendRestricted sends a request of the account acct by the path /x/ of the view in force.
func (b *holdBed) sendRestricted(change func(*chainer.Request)) (*chainer.Request, error) {
	ctx, r, end, err := b.cd.Begin(context.Background())
	b.Expect(err).NotTo(HaveOccurred())
	defer end()
	r.Host, r.Path = "h", "/x/1"
	b.Expect(b.cd.Match(r, r.Host, r.Path, "")).To(Succeed())
	r.Service, r.Account = "s", "acct"
	r.Answer = chainer.Answer{
		SetWriteDeadline: func(time.Time) {}, Begin: func() bool { return true }, Resumable: func() bool { return true },
		Chunk: func(messenger.Chunk) error { return nil }, End: func(messenger.End) error { return nil },
	}
	if change != nil {
		change(r)
	}
	return r, b.cd.Do(ctx, r)
}

// Guards against a request that is sent outside the regions of its path, of its account, or of
// both, and against a restriction where there is none.
func TestRequestIsServedInItsRegionsOnly(t *testing.T) {
	for name, c := range map[string]struct {
		path, account []string
		want          []string
	}{
		"no restriction": {want: []string{"t1", "t2", "t3", "t4"}},
		"path":           {path: []string{"a"}, want: []string{"t1", "t3"}},
		"account":        {account: []string{"b"}, want: []string{"t2"}},
		"both":           {path: []string{"c", "a", "b"}, account: []string{"b", "d"}, want: []string{"t2"}},
	} {
		t.Run(name, func(t *testing.T) {
			withHolds(t, Config{}, regionView(c.path, c.account), func(b *holdBed) {
				for range 60 {
					_, err := b.sendRestricted(nil)
					b.Expect(err).NotTo(HaveOccurred())
				}
				reached := b.targetsReached()
				slices.Sort(reached)
				b.Expect(slices.Compact(reached)).To(Equal(c.want))
			})
		})
	}
}

// Guards against a request that waits although nothing may serve it, against one that is told
// to come back although the configuration leaves no region, and against the reverse.
func TestRequestWithoutARegionIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		path, account []string
		retry         bool
	}{
		"excluded":       {path: []string{"a"}, account: []string{"b"}},
		"no target":      {path: []string{"c"}, retry: true},
		"unknown region": {account: []string{"mars"}, retry: true},
	} {
		t.Run(name, func(t *testing.T) {
			withHolds(t, Config{}, regionView(c.path, c.account), func(b *holdBed) {
				since := time.Now()
				_, err := b.sendRestricted(nil)
				b.Expect(time.Since(since)).To(BeZero())
				b.Expect(coder.Of(err)).To(And(HaveField("Code", coder.NoRegion), HaveField("Run", coder.NotRun)))
				b.Expect(coder.Of(err).Retry > 0).To(Equal(c.retry))
				b.Expect(b.targetsReached()).To(BeEmpty())
			})
		})
	}
}

// Guards against a retry or a resumed stream outside the regions once the targets there have
// failed, and against an outcome that hides that the request may have run.
func TestRetriesAndResumedStreamsStayInTheRegions(t *testing.T) {
	for name, last := range map[string]string{"retry": "", "resumed stream": "7"} {
		t.Run(name, func(t *testing.T) {
			withHolds(t, Config{}, regionView([]string{"a"}, nil), func(b *holdBed) { b.expectTriedInside(last) })
		})
	}
}

// expectTriedInside sends a request that fails at each target, after the event with the given id
// unless that is empty, and expects attempts at the targets of region a only.
func (b *holdBed) expectTriedInside(last string) {
	sent := ""
	var resumedAfter []string
	b.answer = func(_ context.Context, a *Attempt) error {
		resumedAfter = append(resumedAfter, a.LastEventID)
		if last != "" {
			sent = last
			b.Expect(a.Emit(messenger.Chunk{Status: http.StatusOK, Data: []byte("x")})).To(Succeed())
		}
		return &coder.Error{Code: coder.EngineFailed, Run: coder.Unknown}
	}
	_, err := b.sendRestricted(func(r *chainer.Request) { r.Answer.LastEventID = func() string { return sent } })
	b.Expect(coder.Of(err)).To(And(HaveField("Code", coder.EngineFailed), HaveField("Run", coder.Unknown)))
	b.Expect(b.targetsReached()).To(ConsistOf("t1", "t3"))
	b.Expect(resumedAfter).To(Equal([]string{"", last}))
}

// Guards against a hedge beside a silent target that is sent outside the regions, as all others
// inside have been tried.
func TestHedgesStayInTheRegions(t *testing.T) {
	v := regionView([]string{"a"}, nil)
	v.Targets = v.Targets[:2]
	withHolds(t, Config{}, v, func(b *holdBed) {
		b.answer = func(_ context.Context, a *Attempt) error {
			for range 5 {
				a.ReportSilence()
				synctest.Wait()
				<-time.After(time.Second)
			}
			return nil
		}
		_, err := b.sendRestricted(nil)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(b.targetsReached()).To(Equal([]string{"t1"}))
		b.Expect(b.lines("target silent, trying another one beside it")).To(HaveLen(1))
	})
}

// Guards against a part of a split prompt, or memory for it, at a helper outside the regions.
func TestHelpersLieInTheRegions(t *testing.T) {
	v := splitTargets()
	for i, region := range []string{"a", "b", "a"} {
		v.Targets[i].Region = region
	}
	m := &memory{during: func(allocator.Reservation, []string) {}}
	withHolds(t, Config{Allocator: m.allocator()}, v, func(b *holdBed) {
		var used []string
		b.answer = func(_ context.Context, a *Attempt) error {
			used = append(used, a.Target.ID)
			for _, h := range a.Helpers {
				used = append(used, h.ID)
			}
			return nil
		}
		v.Config.Accounts = map[string]configurer.Account{"acct": {Regions: []string{"a"}}}
		v.Config.Paths = []configurer.Path{{Host: "h", Prefix: "/x/", Kind: configurer.KindSafe, Open: true}}
		_, err := b.sendRestricted(func(r *chainer.Request) { r.HasTokenCounts, r.Prompt, r.Output = true, 1700, 10 })
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(used).To(ConsistOf("t1", "t3"))
		b.Expect(m.helpers).To(HaveEach(Or(Equal("t1"), Equal("t3"))))
	})
}

// Guards against a target outside the regions that a relay of an older release picks, and
// against a relay that is not told of the regions.
func TestTargetOfTheRelayOutsideTheRegionsIsNotUsed(t *testing.T) {
	withRelay(t, Config{}, func(b *relayBed) {
		v := engineTargets()
		v.Targets[0].Region, v.Targets[1].Region = "a", "b"
		v.Config.Paths = []configurer.Path{{Host: "h", Prefix: "/x/", Kind: configurer.KindSafe, Regions: []string{"a"}, Open: true}}
		b.view.Store(v)
		_, err := b.sendRestricted(nil)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(b.targetsReached()).To(Equal([]string{"t1"}))
		b.Expect(b.asked).To(HaveLen(1))
		b.Expect(b.asked[0].Regions).To(Equal([]string{"a"}))
		b.Expect(b.counter("relay.unusable")).To(BeEquivalentTo(1))
	})
}

// Guards against a relay that places another entry's request outside its regions.
func TestRelayPlacesInTheRegions(t *testing.T) {
	v := engineTargets()
	v.Targets[0].Region, v.Targets[1].Region = "a", "b"
	withHolds(t, Config{}, v, func(b *holdBed) {
		place := &messenger.Place{Service: "s", Prompt: 100, Output: 10, Prefill: 10 * time.Millisecond, PrefillTargets: 1, Regions: []string{"b"}}
		for range 4 {
			out, err := b.cd.PlaceFor(place, func([]messenger.Sent) {})
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(out.Target).To(HaveValue(HaveField("ID", "t2")))
		}
		out, err := b.cd.PlaceFor(place, func([]messenger.Sent) {})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(out.Target).To(BeNil(), "its slots are taken")
		place.Regions = []string{"c"}
		_, err = b.cd.PlaceFor(place, func([]messenger.Sent) {})
		b.Expect(coder.Of(err)).To(HaveField("Code", coder.NotReady))
	})
}

// Guards against a queued request that is sent by the restriction of its arrival after a
// configuration in force has excluded the region.
func TestQueuedRequestFollowsTheConfigurationInForce(t *testing.T) {
	withHolds(t, Config{}, twoRegions(), func(b *holdBed) {
		running, queued, ends := b.queueBehindTwo()
		b.restrictTo("b")
		close(ends["t1"])
		<-time.After(time.Second)
		b.Expect(b.targetsReached()).To(BeEmpty(), "t1 is free and outside")
		close(ends["t2"])
		for _, done := range append(running, queued) {
			b.Expect(<-done).To(Succeed())
		}
		b.Expect(b.targetsReached()).To(Equal([]string{"t2"}))
	})
}

// Guards against a queued request that is sent, or held, after a configuration in force has
// excluded all of its regions.
func TestQueuedRequestIsRefusedIfTheConfigurationLeavesNoRegion(t *testing.T) {
	withHolds(t, Config{}, twoRegions(), func(b *holdBed) {
		running, queued, ends := b.queueBehindTwo()
		b.restrictTo("c")
		since := time.Now()
		err := <-queued
		b.Expect(time.Since(since)).To(BeNumerically("<=", 2*pollInterval))
		b.Expect(coder.Of(err)).To(And(HaveField("Code", coder.NoRegion), HaveField("Run", coder.NotRun)))
		close(ends["t1"])
		close(ends["t2"])
		for _, done := range running {
			b.Expect(<-done).To(Succeed())
		}
		b.Expect(b.targetsReached()).To(BeEmpty())
	})
}

// Guards against a request that is sent to a target, or with a helper, that a configuration has
// excluded while memory was being reserved for it.
func TestRequestIsPlacedAgainIfItsRegionsChangeWhileMemoryIsReserved(t *testing.T) {
	v := splitTargets()
	for i, region := range []string{"a", "a", "b"} {
		v.Targets[i].Region = region
	}
	v.Config.Paths = []configurer.Path{{Host: "h", Prefix: "/x/", Kind: configurer.KindSafe, Open: true}}
	m := &memory{}
	withHolds(t, Config{Allocator: m.allocator()}, v, func(b *holdBed) {
		m.during = func(_ allocator.Reservation, _ []string) {
			next := *v
			cfg := *v.Config
			cfg.Paths = []configurer.Path{{Host: "h", Prefix: "/x/", Kind: configurer.KindSafe, Open: true, Regions: []string{"a"}}}
			next.Version, next.Config = 2, &cfg
			b.view.Store(&next)
		}
		b.cd.control.do(func() { // t3 is in the first placement
			b.cd.control.refreshView()
			b.cd.control.scheduler.Router.Pause(time.Now(), v.Targets[0], time.Second)
		})
		var used []string
		b.answer = func(_ context.Context, a *Attempt) error {
			used = append(used, a.Target.ID)
			for _, h := range a.Helpers {
				used = append(used, h.ID)
			}
			return nil
		}
		_, err := b.sendRestricted(func(r *chainer.Request) { r.HasTokenCounts, r.Prompt, r.Output = true, 1700, 10 })
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(used).To(ConsistOf("t1", "t2"))
		b.Expect(b.lines("not sent: target outside the allowed regions")).To(HaveLen(1))
		b.Expect(b.counter("retries")).To(BeZero())
	})
}

// twoRegions returns a view of a target of one slot in each of the regions a and b.
func twoRegions() *watcher.View {
	v := regionView([]string{"a", "b"}, nil)
	v.Targets = v.Targets[:2]
	for i := range v.Targets {
		v.Targets[i].Slots = 1
	}
	return v
}

// queueBehindTwo sends two requests, which run until ends are closed, and one that is queued.
func (b *holdBed) queueBehindTwo() (running []<-chan error, queued <-chan error, ends map[string]chan struct{}) {
	ends = b.blocking("t1", "t2")
	start := func() <-chan error {
		done := make(chan error, 1)
		go func() {
			_, err := b.sendRestricted(nil)
			done <- err
		}()
		synctest.Wait()
		return done
	}
	running = []<-chan error{start(), start()}
	queued = start()
	b.Expect(b.targetsReached()).To(ConsistOf("t1", "t2"))
	return running, queued, ends
}

// restrictTo puts a configuration in force that restricts the path to a region.
func (b *holdBed) restrictTo(region string) {
	v := regionView([]string{region}, nil)
	v.Version, v.Targets = 2, b.view.Load().Targets
	b.view.Store(v)
}

// Guards against a refusal of a suspect request because only targets outside its regions are
// left beside those that run other suspects.
func TestTargetsOutsideAreNotLeftForSuspectRequests(t *testing.T) {
	v := regionView(nil, nil)
	v.Targets = v.Targets[:2]
	v.ByService["s"] = v.Targets
	withHolds(t, Config{}, v, func(b *holdBed) {
		c := b.cd.control
		c.do(func() {
			c.refreshView()
			c.suspects["other"] = "t1"
			b.Expect(c.excludeSuspectTargets("s", nil, "a", "b")).To(Equal([]string{"t1"}))
			b.Expect(c.excludeSuspectTargets("s", nil, "a")).To(BeEmpty())
		})
	})
}

// Guards against a view whose regions operators can't see in the log, and against a line with
// each view.
func TestRegionsOfTargetsAreLoggedWhenTheyChange(t *testing.T) {
	withHolds(t, Config{}, regionView(nil, nil), func(b *holdBed) {
		b.Expect(b.send()).To(Succeed())
		v := regionView(nil, nil)
		v.Version = 2
		b.view.Store(v)
		b.Expect(b.send()).To(Succeed())
		lines := b.lines("regions of targets changed")
		b.Expect(lines).To(HaveLen(1))
		b.Expect(lines[0]["targets"]).To(Equal(map[string]int{"a": 2, "b": 1, "": 1}))
	})
	withHolds(t, Config{}, twoTargets(), func(b *holdBed) {
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.lines("regions of targets changed")).To(BeEmpty())
	})
}

// Guards against a segment of a gang that is sent to a member that a configuration has excluded
// since the gang was planned.
func TestSegmentsAreCheckedByTheConfigurationInForce(t *testing.T) {
	withHolds(t, Config{}, regionView([]string{"a", "b"}, nil), func(b *holdBed) {
		r, err := b.sendRestricted(nil) // adopts the view
		b.Expect(err).NotTo(HaveOccurred())
		segment := func(target string) error { return b.cd.checkMemberRegions(r, target) }
		b.Expect(segment("t1")).To(Succeed())
		b.Expect(segment("t2")).To(Succeed())
		b.Expect(coder.Of(segment("t4"))).To(HaveField("Code", coder.NoRegion), "of unknown region")
		b.restrictTo("b")
		b.Expect(coder.Of(segment("t1"))).To(HaveField("Code", coder.NoRegion))
		b.Expect(segment("t2")).To(Succeed())
		b.restrictTo("c")
		b.Expect(coder.Of(segment("t2"))).To(HaveField("Code", coder.NoRegion))
	})
}
