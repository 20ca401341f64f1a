package conductor

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/switcher"
	"bramleyshunt/watcher"
)

// relayBed is a Conductor whose relay answers as set.
type relayBed struct {
	*holdBed
	asked  []messenger.Place
	answer func(*messenger.Place) (*messenger.Placed, error)
}

// withRelay runs f with a Conductor before two targets with engines, whose relay picks the
// second one.
func withRelay(t *testing.T, cfg Config, f func(b *relayBed)) {
	t.Helper()
	b := &relayBed{answer: func(*messenger.Place) (*messenger.Placed, error) { return placedAt("t2", 1), nil }}
	cfg.Place = func(_ context.Context, m *messenger.Place) (*messenger.Placed, error) {
		b.asked = append(b.asked, *m)
		return b.answer(m)
	}
	withHolds(t, cfg, engineTargets(), func(h *holdBed) {
		b.holdBed = h
		f(b)
		b.Expect(h.cd.Sends()).To(BeEmpty())
	})
}

func engineTargets() *watcher.View {
	v := twoTargets()
	s := v.Config.Services["s"]
	s.Engine = configurer.Engine{Slots: 4, Memory: 1000, Stride: 1, Step: 1, Read: 10000, Prompt: 100, Answer: 10}
	v.Config.Services["s"] = s
	return v
}

func placedAt(id string, incarnation uint64) *messenger.Placed {
	return &messenger.Placed{Target: &messenger.PlacedTarget{ID: id, Incarnation: incarnation}, Relay: "relay", Entries: 102, Age: 12 * time.Millisecond}
}

// Pattern: many entries that select targets by counts of different age select the same ones; the
// relay, which has placed all others of its group, selects for all of them.
func TestRelayPicksTheTarget(t *testing.T) {
	withRelay(t, Config{}, func(b *relayBed) {
		for range 20 {
			b.Expect(b.send()).To(Succeed())
		}
		for _, id := range b.targetsReached() {
			b.Expect(id).To(Equal("t2"))
		}
		b.Expect(b.asked).To(HaveLen(20))
		r, err := do(b.t, b.cd, safePath())
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(r.Trace).To(And(HaveField("Relay", "relay"), HaveField("PeerEntries", 102), HaveField("PeerAge", 12*time.Millisecond), HaveField("Target", "t2")))
		b.Expect(b.asked[0].Prefill).To(BeNumerically(">", 0))
	})
}

// Guards against requests that wait for a relay that is gone, suspended or cut off.
func TestRequestsArePlacedWithoutARelayThatFails(t *testing.T) {
	withRelay(t, Config{}, func(b *relayBed) {
		b.answer = func(*messenger.Place) (*messenger.Placed, error) {
			time.Sleep(placeTimeout)
			return nil, errors.New("no answer")
		}
		since := time.Now()
		for range 10 {
			b.Expect(b.send()).To(Succeed())
		}
		b.Expect(time.Since(since)).To(Equal(placeTimeout), "asked once")
		time.Sleep(placeBackoff)
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.asked).To(HaveLen(2))
		b.Expect(b.targetsReached()).To(HaveLen(11))
	})
}

// Guards against a relay that is not asked for a time because a caller has left.
func TestCallerThatLeavesTellsNothingOfTheRelay(t *testing.T) {
	withRelay(t, Config{}, func(b *relayBed) {
		ctx, leave := context.WithCancel(context.Background())
		b.answer = func(*messenger.Place) (*messenger.Placed, error) {
			leave()
			return nil, ctx.Err()
		}
		ticket := newTicket(&chainer.Request{ID: "r", Service: "s", Prompt: 100, Config: b.view.Load().Config, Spec: b.view.Load().Config.Services["s"]}, nil)
		pick := (<-b.cd.control.enqueue(ticket, false)).Pick
		_, err := b.cd.askRelay(ctx, ticket, pick)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(b.cd.placeAfter.Load()).To(BeZero())
		b.cd.control.prefillEnded(ticket, pick, 0)
		b.cd.control.requestEnded(ticket, pick)
	})
}

func TestRequestIsPlacedHereIfThereIsNoRelay(t *testing.T) {
	withRelay(t, Config{}, func(b *relayBed) {
		b.answer = func(*messenger.Place) (*messenger.Placed, error) { return nil, nil }
		since := time.Now()
		b.Expect(b.send()).To(Succeed())
		b.Expect(time.Since(since)).To(BeZero())
	})
}

func TestRelayIsNotAskedIfSwitchedOff(t *testing.T) {
	off, err := switcher.Parse([]string{"ask-relay"})
	if err != nil {
		t.Fatal(err)
	}
	withRelay(t, Config{Disabled: off}, func(b *relayBed) {
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.asked).To(BeEmpty())
	})
}

// Guards against a request sent to a target that has told this entry to stop (DRAIN, BUDGET), or
// that this entry does not know, as the relay knows of neither.
func TestTargetOfTheRelayIsUsedOnlyIfThisEntryMaySendToIt(t *testing.T) {
	for name, prepare := range map[string]func(b *relayBed){
		"paused":  func(b *relayBed) { b.pause(b.target(1), time.Minute) },
		"leaving": func(b *relayBed) { b.leave(b.target(1)) },
		"other incarnation": func(b *relayBed) {
			b.answer = func(*messenger.Place) (*messenger.Placed, error) { return placedAt("t2", 2), nil }
		},
		"unknown": func(b *relayBed) {
			b.answer = func(*messenger.Place) (*messenger.Placed, error) { return placedAt("t9", 1), nil }
		},
		"unknown helper": func(b *relayBed) {
			b.answer = func(*messenger.Place) (*messenger.Placed, error) {
				out := placedAt("t1", 1)
				out.Helpers = []messenger.PlacedTarget{{ID: "t9", Incarnation: 1}}
				return out, nil
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withRelay(t, Config{}, func(b *relayBed) {
				b.Expect(b.send()).To(Succeed())
				b.targetsReached()
				prepare(b)
				b.Expect(b.send()).To(Succeed())
				b.Expect(b.asked).To(HaveLen(2))
				b.Expect(b.targetsReached()).To(Or(Equal([]string{"t1"}), Equal([]string{"t2"})))
			})
		})
	}
}

// Guards against requests sent to targets that are full by the counts of the relay, which wait
// there behind others.
func TestRequestWaitsWhileNoTargetAcceptsIt(t *testing.T) {
	withRelay(t, Config{}, func(b *relayBed) {
		free := time.Now().Add(time.Second)
		b.answer = func(*messenger.Place) (*messenger.Placed, error) {
			if time.Now().Before(free) {
				return &messenger.Placed{}, nil
			}
			return placedAt("t2", 1), nil
		}
		b.Expect(b.send()).To(Succeed())
		b.Expect(time.Now()).To(BeTemporally("~", free, 2*placeInterval))
		b.Expect(b.asked[len(b.asked)-1].Queued).To(BeNumerically(">", time.Second/2))
		b.Expect(b.targetsReached()).To(Equal([]string{"t2"}))
	})
}

// Guards against requests held to their deadline although nothing accepts them.
func TestRequestThatNoTargetAcceptsIsRefusedInTime(t *testing.T) {
	withRelay(t, Config{}, func(b *relayBed) {
		b.answer = func(*messenger.Place) (*messenger.Placed, error) { return &messenger.Placed{}, nil }
		since := time.Now()
		err := b.send()
		b.Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
		b.Expect(time.Since(since)).To(BeNumerically("<", 10*time.Second), "the service's timeout")
		b.Expect(b.targetsReached()).To(BeEmpty())
	})
}

// Guards against two requests that the relay places at the same target, as the entry that sends
// the first one has not reported it yet.
func TestRelayCountsWhatItHasPlaced(t *testing.T) {
	withHolds(t, Config{}, engineTargets(), func(b *holdBed) {
		var reserved []messenger.Sent
		used := map[string]int{}
		for range 9 {
			out, err := b.cd.PlaceFor(&messenger.Place{Service: "s", Prompt: 100, Output: 10, Prefill: 10 * time.Millisecond, PrefillTargets: 1}, func(s []messenger.Sent) {
				reserved = append(reserved, s...)
			})
			b.Expect(err).NotTo(HaveOccurred())
			if out.Target != nil {
				used[out.Target.ID]++
			}
			synctest.Wait()
		}
		b.Expect(used).To(Equal(map[string]int{"t1": 4, "t2": 4}), "their slots")
		b.Expect(reserved).To(HaveLen(8))
		b.Expect(reserved[0]).To(And(HaveField("InFlight", 1), HaveField("PendingPrefill", 10), HaveField("Memory", 110), HaveField("Unsplit", 1)))
		b.Expect(b.cd.Sends()).To(BeEmpty(), "others report them")
	})
}

// Guards against requests that wait at other entries because the relay has just started, can't
// confirm its view, or may not send to a target itself.
func TestRelayThatKnowsNoBetterFails(t *testing.T) {
	place := &messenger.Place{Service: "s", Prompt: 100, Output: 10, Prefill: 10 * time.Millisecond, PrefillTargets: 1, Exclude: []string{"t1"}}
	expectFailure := func(b *holdBed) {
		_, err := b.cd.PlaceFor(place, func([]messenger.Sent) {})
		b.Expect(coder.Of(err)).To(HaveField("Code", Or(Equal(coder.NotReady), Equal(coder.Stale))), "%v", err)
	}
	t.Run("stale", func(t *testing.T) {
		withHolds(t, Config{Ready: func() error { return coder.Errorf(coder.Stale, "") }}, engineTargets(), expectFailure)
	})
	t.Run("without targets", func(t *testing.T) {
		v := engineTargets()
		v.Targets = nil
		withHolds(t, Config{}, v, expectFailure)
	})
	t.Run("paused", func(t *testing.T) {
		withHolds(t, Config{}, engineTargets(), func(b *holdBed) {
			b.Expect(b.send()).To(Succeed())
			b.pause(b.target(1), time.Minute)
			expectFailure(b)
		})
	})
}
