package apportioner_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/apportioner"
	"bramleyshunt/messenger"
)

func TestApportioner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "apportioner")
}

var epoch = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return epoch.Add(d) }

// work adds work of accounts at regular times over the last twenty seconds before at: the given
// milliseconds a second each.
func work(a *apportioner.Apportioner, at time.Time, perSecond map[string]float64) {
	for i := 200; i > 0; i-- {
		for name, ms := range perSecond {
			a.Charge(at.Add(-time.Duration(i)*100*time.Millisecond), name, ms/10)
		}
	}
}

var _ = Describe("use", func() {
	It("decays by half in a half-life", func() {
		var a apportioner.Apportioner
		a.Charge(epoch, "a", 800)
		Expect(a.Use(epoch, "a")).To(BeNumerically("~", 800, 1e-6))
		Expect(a.Use(after(apportioner.HalfLife), "a")).To(BeNumerically("~", 400, 1e-6))
		Expect(a.Use(after(3*apportioner.HalfLife), "a")).To(BeNumerically("~", 100, 1e-6))
	})

	// Guards against numbers that overflow in a process that runs for weeks.
	It("stays exact over weeks", func() {
		var a apportioner.Apportioner
		for i := range 20000 {
			a.Charge(after(time.Duration(i)*time.Minute), "a", 100)
			Expect(a.Use(after(time.Duration(i)*time.Minute), "a")).To(BeNumerically("~", 100, 0.1))
		}
	})

	// Pattern: requests that are retried, hedged or cancelled. Guards against an account that pays for
	// what did not run.
	It("is taken back with what has decayed since", func() {
		var a apportioner.Apportioner
		a.Charge(epoch, "a", 800)
		a.Charge(epoch, "b", 100)
		a.Use(after(4*time.Second), "a")
		a.Charge(epoch, "a", -800)
		Expect(a.Use(after(4*time.Second), "a")).To(BeZero())
		a.Charge(epoch, "a", -800)
		Expect(a.Use(after(4*time.Second), "a")).To(BeZero())
		Expect(a.Share(after(4*time.Second), "b")).To(BeNumerically("~", a.Use(after(4*time.Second), "b"), 1e-9))
	})

	// Guards against a clock that is set back, and against absurd predictions.
	It("ignores impossible times and amounts", func() {
		var a apportioner.Apportioner
		a.Charge(after(time.Minute), "a", 100)
		a.Charge(epoch, "a", math.NaN())
		a.Charge(epoch, "a", math.Inf(1))
		Expect(a.Use(epoch, "a")).To(BeNumerically("~", 100, 1e-9))
	})
})

var _ = Describe("shares", func() {
	It("follow the weights of the active accounts", func() {
		var a apportioner.Apportioner
		a.SetWeights(map[string]int{"a": 3, "b": 1, "idle": 100})
		work(&a, epoch, map[string]float64{"a": 500, "b": 500})
		Expect(a.Share(epoch, "a") / a.Share(epoch, "b")).To(BeNumerically("~", 3, 1e-9))
		Expect(a.Above(epoch, "a")).To(BeFalse())
		Expect(a.Above(epoch, "b")).To(BeTrue())
		Expect(a.Excess(epoch, "b")).To(BeNumerically("~", a.Use(epoch, "b")/2, 1))
	})

	// Pattern: an account that appears anew beside one that has used everything. Guards against an
	// account that waits for history, and against one that may take all until it has caught up.
	It("of a new account are free, and its credit is bounded", func() {
		var a apportioner.Apportioner
		work(&a, epoch, map[string]float64{"a": 900, "b": 900})
		Expect(a.Above(epoch, "new")).To(BeFalse())
		Expect(a.Retry(epoch, "new")).To(BeZero())
		Expect(a.Rank("new")).To(BeZero())
		Expect(a.Floor()).To(BeNumerically("~", a.Rank("a")/2, a.Rank("a")/100))
	})

	// Guards against a Retry-After that is not true: with the other accounts as busy as before, the
	// account is at its share then and not earlier.
	It("are reached after the time that is told", func() {
		var a apportioner.Apportioner
		work(&a, epoch, map[string]float64{"large": 3000, "b": 1000, "c": 1000, "d": 1000})
		wait := a.Retry(epoch, "large")
		Expect(a.Above(epoch, "large")).To(BeTrue())
		Expect(wait).To(BeNumerically("~", apportioner.HalfLife, 100*time.Millisecond), "it has twice its share")
		// What the large account does not use the others do.
		for at := epoch; at.Before(epoch.Add(wait)); at = at.Add(100 * time.Millisecond) {
			for _, name := range []string{"b", "c", "d"} {
				a.Charge(at, name, 200)
			}
			if at.Before(epoch.Add(wait * 3 / 4)) {
				Expect(a.Above(at, "large")).To(BeTrue(), "after %s", at.Sub(epoch))
			}
		}
		Expect(a.Above(epoch.Add(wait), "large")).To(BeFalse())
	})
})

var _ = Describe("uses of other entries", func() {
	report := func(uses map[string]int) (out []messenger.Use) {
		for name, work := range uses {
			out = append(out, messenger.Use{Account: apportioner.Hash(name), Work: work})
		}
		return out
	}

	// Pattern: one account bursts at one entry, or at all of them. Guards against an account that is
	// within its share at each entry and above it in the fleet.
	It("count as own ones do", func() {
		var a, alone apportioner.Apportioner
		work(&a, epoch, map[string]float64{"large": 250, "small": 250})
		Expect(a.Above(epoch, "large")).To(BeFalse())
		a.SetPeers(epoch, report(map[string]int{"large": 9000}), 100*time.Millisecond)
		Expect(a.Above(epoch, "large")).To(BeTrue())

		alone.SetPeers(epoch, report(map[string]int{"large": 9000, "small": 1000}), 0)
		Expect(alone.Above(epoch, "large")).To(BeTrue())
		Expect(alone.Above(epoch, "small")).To(BeFalse())
	})

	// Pattern: counts are seconds old. Guards against decisions by a state of long ago: each entry
	// is fair by its own uses then.
	It("are ignored if they are older than a second", func() {
		var a apportioner.Apportioner
		work(&a, epoch, map[string]float64{"large": 250, "small": 250})
		a.SetPeers(epoch, report(map[string]int{"large": 9000}), 3*time.Second)
		Expect(a.Above(epoch, "large")).To(BeFalse())

		a.SetPeers(epoch, report(map[string]int{"large": 9000}), 400*time.Millisecond)
		age, known := a.Age(after(500 * time.Millisecond))
		Expect(known).To(BeTrue())
		Expect(age).To(Equal(900 * time.Millisecond))
		Expect(a.Above(after(600*time.Millisecond), "large")).To(BeTrue())
		before := a.Generation()
		Expect(a.Above(after(601*time.Millisecond), "large")).To(BeFalse())
		Expect(a.Generation()).NotTo(Equal(before), "queues must rank all accounts anew")
		_, known = a.Age(after(601 * time.Millisecond))
		Expect(known).To(BeFalse())
	})

	// Guards against figures of a faulty entry that make every account of the fleet small.
	It("are never negative", func() {
		var a apportioner.Apportioner
		a.SetPeers(epoch, []messenger.Use{{Account: apportioner.Hash("a"), Work: -5}, {Work: math.MinInt}}, 0)
		a.SetPeers(epoch, report(map[string]int{"a": 7}), -time.Second)
		Expect(a.Use(epoch, "a")).To(BeZero())
	})
})

var _ = Describe("holds", func() {
	// Guards against a log line for each refused request.
	It("begin and end once and are bounded in number", func() {
		var a apportioner.Apportioner
		begun := 0
		for i := range 1000 {
			if a.Refuse(after(time.Duration(i)*time.Millisecond), fmt.Sprint("a", i%100)) != nil {
				begun++
			}
		}
		Expect(begun).To(Equal(apportioner.MaxHeld))
		Expect(a.EndedHolds(after(5 * time.Second))).To(BeEmpty())
		ended := a.EndedHolds(after(time.Minute))
		Expect(ended).To(HaveLen(apportioner.MaxHeld))
		Expect(ended[0].Refused).To(Equal(10))
		Expect(a.EndedHolds(after(time.Hour))).To(BeEmpty())
		largest, others := a.Figures(after(time.Hour), 20)
		refused := others.Refused
		for _, f := range largest {
			refused += f.Refused
		}
		Expect(refused).To(Equal(1000))
	})
})

// Pattern: more accounts than are kept. Guards against memory that grows with the accounts seen, and
// against work that is lost from the totals.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	var a apportioner.Apportioner
	for i := range 3 * apportioner.MaxAccounts {
		a.Charge(epoch, fmt.Sprint("a", i), float64(10+i))
		a.Late(epoch, fmt.Sprint("a", i))
	}
	largest, others := a.Figures(epoch, 1<<20)
	g.Expect(largest).To(HaveLen(apportioner.MaxAccounts))
	g.Expect(largest[0].Account).To(Equal(fmt.Sprint("a", 3*apportioner.MaxAccounts-1)))
	sum, late := others.Use, others.Late
	for _, f := range largest {
		sum += f.Use
		late += f.Late
	}
	n := 3 * apportioner.MaxAccounts
	g.Expect(sum).To(BeNumerically("~", 10*n+n*(n-1)/2, 1))
	g.Expect(late).To(Equal(n))
}

// Guards against reports that miss or invent work, whatever is charged and taken back.
func TestReportsSumToTheUses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a apportioner.Apportioner
		exact := map[string]float64{}
		at := epoch
		for range rapid.IntRange(1, 200).Draw(t, "charges") {
			d := time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond
			at = at.Add(d)
			for name := range exact {
				exact[name] *= math.Exp2(-float64(d) / float64(apportioner.HalfLife))
			}
			name := fmt.Sprint("a", rapid.IntRange(0, 90).Draw(t, "account"))
			ms := rapid.Float64Range(-500, 5000).Draw(t, "ms")
			a.Charge(at, name, ms)
			if _, known := exact[name]; known || ms > 0 {
				exact[name] = max(0, exact[name]+ms)
			}
		}
		checkUses(t, &a, at, exact)
	})
}

func checkUses(t *rapid.T, a *apportioner.Apportioner, at time.Time, exact map[string]float64) {
	sum := 0.0
	for name, want := range exact {
		sum += want
		if got := a.Use(at, name); math.Abs(got-want) > 1e-3 {
			t.Fatalf("%s has %f, want %f", name, got, want)
		}
	}
	reported := 0
	for _, u := range a.Report(at) {
		reported += u.Work
	}
	if math.Abs(float64(reported)-sum) > float64(len(exact)) {
		t.Fatalf("%d ms reported of %f", reported, sum)
	}
}

// Guards against shares that don't add up: all active accounts together have exactly what was used.
func TestSharesSumToTheUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a apportioner.Apportioner
		weights := rapid.MapOfN(rapid.StringMatching("[a-z]{3}"), rapid.IntRange(0, 20), 1, 40).Draw(t, "weights")
		a.SetWeights(weights)
		total, shares := 0.0, 0.0
		for name := range weights {
			ms := rapid.Float64Range(2, 10000).Draw(t, name)
			a.Charge(epoch, name, ms)
			total += ms
		}
		for name := range weights {
			shares += a.Share(epoch, name)
			if a.Above(epoch, name) && a.Retry(epoch, name) <= 0 {
				t.Fatalf("%s is above its share and may come back at once", name)
			}
		}
		if math.Abs(shares-total) > 1e-6*total {
			t.Fatalf("shares of %f, use of %f", shares, total)
		}
	})
}
