package ramper_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/ramper"
)

var start = time.Unix(0, 0)

var riga = ramper.Limit{Cold: 26, Bound: 44, ColdTime: 3 * time.Second}

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("10.0.0.", i))
	}
	return out
}

// settled returns a Ramper that has been in its view for long enough.
func settled(self string, entries []string) *ramper.Ramper {
	r := &ramper.Ramper{}
	r.SetEntries(start.Add(-time.Minute), self, entries)
	return r
}

// send sends as many requests as the share allows.
func send(r *ramper.Ramper, now time.Time, id string, l ramper.Limit) (n int) {
	t := r.Target(id)
	for r.Free(now, t, l) > 0 {
		r.Reserve(t)
		r.Sent(now, t)
		r.Answered(t)
		n++
	}
	return n
}

// Guards against entries that together exceed the bound because their lists of the entries
// differ: each list holds all entries that send, and any number of others that have gone.
func TestSharesOfUnlikeListsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.Float64Range(0.1, 200).Draw(t, "bound")
		senders := rapid.IntRange(1, 130).Draw(t, "senders")
		all := names(senders + rapid.IntRange(0, 40).Draw(t, "gone"))
		l := ramper.Limit{Cold: bound / 2, Bound: bound}
		sum := 0
		for i := range senders {
			list := append([]string{}, all[:senders]...)
			for _, e := range all[senders:] {
				if rapid.Bool().Draw(t, "known") {
					list = append(list, e)
				}
			}
			sum += send(settled(all[i], list), start, "target", l)
		}
		if most := max(1, int(bound)); sum > most {
			t.Fatalf("%d senders send %d requests at once, want at most %d", senders, sum, most)
		}
	})
}

// sequence is a random sequence of reservations, sends and withdrawals at one target.
type sequence struct {
	r        *ramper.Ramper
	target   *ramper.Target
	now      time.Time
	reserved int
	sent     []time.Time
}

func (s *sequence) step(t *rapid.T) {
	switch kind := rapid.IntRange(0, 3).Draw(t, "step"); {
	case kind == 0:
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
	case kind == 1 && s.r.Free(s.now, s.target, riga) > 0:
		s.r.Reserve(s.target)
		s.reserved++
	case kind == 2 && s.reserved > 0:
		s.r.Sent(s.now, s.target)
		s.sent = append(s.sent, s.now)
		s.reserved--
	case kind == 3 && s.reserved > 0:
		s.r.Withdraw(s.target)
		s.reserved--
	}
}

// most returns the largest number of sends in any one second, both ends included.
func (s *sequence) most() (most int) {
	for i, from := range s.sent {
		n := 0
		for i+n < len(s.sent) && !s.sent[i+n].After(from.Add(time.Second)) {
			n++
		}
		most = max(most, n)
	}
	return most
}

// Guards against a share that a sequence of sends, withdrawals and pauses lets an entry exceed
// in some second, and against one that it never uses again.
func TestShareHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "entries")
		all := names(n)
		s := &sequence{r: settled(all[0], all), now: start}
		s.target = s.r.Target("target")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.step(t)
		}
		if share := ramper.Share(riga.Bound, n, 0); s.most() > share {
			t.Fatalf("%d requests in a second, the share is %d", s.most(), share)
		}
		for range s.reserved {
			s.r.Withdraw(s.target)
		}
		if got, want := s.r.Free(s.now.Add(ramper.Window), s.target, riga), send(settled(all[0], all), start, "target", riga); got != want {
			t.Fatalf("%d requests are free after a pause, want %d", got, want)
		}
	})
}

// Guards against shares that leave the bound unused for want of a sender.
func TestSharesUseTheBound(t *testing.T) {
	g := NewWithT(t)
	for n, want := range map[int]int{1: 44, 4: 44, 27: 27, 31: 31, 44: 44, 45: 44, 103: 44} {
		sum := 0
		for _, self := range names(n) {
			sum += send(settled(self, names(n)), start, "target", riga)
		}
		g.Expect(sum).To(Equal(want), "%d entries", n)
	}
}

// Guards against targets to which the same entries send, so that some entries send nowhere.
func TestSendersDifferByTarget(t *testing.T) {
	g := NewWithT(t)
	all := names(103)
	for _, self := range all {
		r, n := settled(self, all), 0
		for i := range 112 {
			n += send(r, start, fmt.Sprint("target-", i), riga)
		}
		g.Expect(n).To(And(BeNumerically(">", 20), BeNumerically("<", 80)), "targets of entry %s", self)
	}
}

// Guards against shares that rise because a view has lost entries that still send.
func TestEntryCountsUntilItIsLongGone(t *testing.T) {
	g := NewWithT(t)
	r := settled("10.0.0.0", names(31))
	r.SetEntries(start, "10.0.0.0", names(1))
	r.SetEntries(start.Add(ramper.KnownTime-time.Millisecond), "10.0.0.0", names(1))
	g.Expect(r.Known()).To(Equal(31))
	r.SetEntries(start.Add(ramper.KnownTime), "10.0.0.0", names(1))
	g.Expect(r.Known()).To(Equal(1))
}

// Guards against a process that has just started and uses a share that the others have not
// left to it yet.
func TestProcessThatHasStartedWaitsForItsShare(t *testing.T) {
	g := NewWithT(t)
	most := func(after time.Duration, entries []string, l ramper.Limit) (n int) {
		r := &ramper.Ramper{}
		r.SetEntries(start, "10.0.0.0", entries)
		for i := range 100 {
			n = max(n, send(r, start.Add(after), fmt.Sprint("target-", i), l))
		}
		return n
	}
	absent := &ramper.Ramper{}
	absent.SetEntries(start, "10.0.0.0", names(31)[1:])
	absent.SetEntries(start.Add(time.Millisecond), "10.0.0.0", names(31))
	for i := range 100 {
		g.Expect(send(absent, start.Add(ramper.Window), fmt.Sprint("target-", i), riga)).To(BeZero(), "others may not count it yet")
	}
	g.Expect(most(ramper.Window, names(31), riga)).To(Equal(1))
	g.Expect(most(ramper.Window, names(5), riga)).To(BeZero(), "four others use all of the bound")
	g.Expect(most(ramper.Window, names(103), riga)).To(BeZero())
	g.Expect(most(ramper.Window, names(4)[1:], riga)).To(BeZero(), "it is not in its own view")
	g.Expect(most(ramper.SettleTime, names(4), riga)).To(Equal(11))
	r := &ramper.Ramper{}
	r.SetEntries(start, "10.0.0.0", names(31))
	x := r.Target("target")
	g.Expect(r.Wait(start, x, riga)).To(Equal(ramper.SettleTime))
	r.RecordAnswer(start, x, time.Hour)
	g.Expect(r.Free(start.Add(2*time.Second), x, riga)).To(BeZero())
}

// Pattern: all entries return at once from a loss of power, and an earlier process of each has just
// used its share. Guards against callers that wait for a second then, and against targets that
// get more than the bound. A twelfth of 54 targets lets an entry send 4.5 requests a second; 27
// entries get 2.7 each on average there.
func TestEntriesThatReturnSendAtOnce(t *testing.T) {
	const targets = 200
	for _, n := range []int{4, 27, 31, 103} {
		g := NewWithT(t)
		sent, reached := map[string]int{}, 0
		for _, self := range names(n) {
			r := &ramper.Ramper{}
			r.SetEntries(start, self, names(n))
			for i := range targets {
				id := fmt.Sprint("target-", i)
				k := send(r, start, id, riga)
				g.Expect(k).To(BeNumerically("<=", 1))
				sent[id] += k
				reached += k
			}
		}
		earlier := min(int(riga.Bound), n*ramper.Share(riga.Bound, n, 0))
		for id, k := range sent {
			g.Expect(k+earlier).To(BeNumerically("<=", riga.Bound), "%d entries, %s", n, id)
		}
		if n == 27 || n == 31 {
			g.Expect(reached/n).To(BeNumerically(">", targets/12), "%d entries", n)
		}
	}
}

// Guards against a wait that ends before or after the moment at which the share is free.
func TestWaitIsExact(t *testing.T) {
	g := NewWithT(t)
	r := settled("10.0.0.0", names(4))
	x := r.Target("target")
	for i := range 11 {
		r.Reserve(x)
		r.Sent(start.Add(time.Duration(i)*10*time.Millisecond), x)
	}
	now := start.Add(200 * time.Millisecond)
	wait := r.Wait(now, x, riga)
	g.Expect(wait).To(Equal(ramper.Window - 200*time.Millisecond))
	g.Expect(r.Free(now.Add(wait-1), x, riga)).To(BeZero())
	g.Expect(r.Free(now.Add(wait), x, riga)).To(Equal(1))
}
