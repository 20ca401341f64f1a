package placer_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/placer"
	"bramleyshunt/scaler"
)

func TestPlacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placer")
}

// run lets time pass under a steady demand.
func (f *fleet) run(d time.Duration, demand float64) {
	for range int(d / time.Second) {
		f.second(demand)
	}
}

// demand is a day's curve in engines, at a time since midnight: halved at night,
// a race night from eight to half past eleven.
func (f *fleet) demand(at time.Duration) float64 {
	h := at.Hours()
	day := 4 + 4/(1+math.Exp(-4*(h-6.5))) - 4/(1+math.Exp(-4*(h-22)))
	race := 6/(1+math.Exp(-60*(h-20))) - 6/(1+math.Exp(-12*(h-23.5)))
	return (day + race) * (1 + 0.1*f.rnd.NormFloat64())
}

var _ = Describe("Placer", func() {
	var f *fleet
	BeforeEach(func() { f = fleetOf(8, 1) })

	It("gives no order once its effect is announced", func() {
		f.run(time.Hour, 3)
		n := f.total()
		f.run(time.Hour, 3)
		Expect(f.total()).To(Equal(n))
	})

	It("drains before it unloads, and activates what is loaded first", func() {
		f.run(30*time.Minute, 2)
		Expect(f.count(serves)).To(BeNumerically("<", 8))
		Expect(f.orders["unload"]).To(BeZero())
		f.run(time.Minute, 5)
		Expect(f.count(serves)).To(Equal(8))
		Expect(f.orders["load"]).To(BeZero())
	})

	It("loses no order, whether messages or leaders are lost", func() {
		f.loss = 0.7
		f.run(30*time.Minute, 2)
		Expect(f.count(serves)).To(Equal(4))
		for range 40 {
			f.run(2*time.Minute, 2)
			f.placer = placer.Placer{}
		}
		Expect(f.count(serves)).To(Equal(4))
		for range 6 {
			f.run(2*time.Minute, 6)
			f.lead()
		}
		Expect(f.count(serves)).To(Equal(8))
		Expect(f.least).To(BeNumerically(">=", 3))
	})

	It("loads at most as many at once as the weight store may serve", func() {
		f.run(3*time.Hour, 1)
		Expect(f.count(loaded)).To(Equal(3))
		f.run(time.Hour, 6)
		Expect(f.orders["load"]).To(BeNumerically(">=", 5))
		Expect(f.reading).To(Equal(placer.DefaultMaxReads))
	})

	It("rolls a version out one target at a time and keeps all serving", func() {
		f.config.Models["m"] = configurer.Model{Version: "2", Adapters: []string{"a"}}
		f.run(30*time.Minute, 5.5)
		for i := range f.targets {
			Expect(f.targets[i]).To(And(HaveField("Version", "2"), HaveField("Adapters", []string{"a"})))
		}
		Expect(f.least).To(Equal(8))
		Expect(f.rolling).To(Equal(1))
		Expect(f.orders["version"]).To(BeNumerically("<=", 8*5))
	})

	It("leaves an engine alone that does not tell its version", func() {
		for i := range f.targets {
			f.targets[i].Version = ""
		}
		f.run(time.Hour, 5.5)
		Expect(f.total()).To(BeZero())
	})

	It("leaves targets alone that an operator drained", func() {
		f.targets[0].Leaving = true
		f.run(time.Hour, 7)
		Expect(f.targets[0].Leaving).To(BeTrue())
		Expect(f.total()).To(BeZero())
	})

	It("reads the weight store no faster than its rate", func() {
		f.run(3*time.Hour, 1)
		f.placer.MaxReads, f.placer.ReadsPerMinute = 8, 0.5
		f.run(4*time.Minute, 6)
		Expect(f.reading).To(BeNumerically("<=", 2))
	})

	It("keeps the least number whatever is wanted", func() {
		wants := []scaler.Desired{{Key: scaler.Key{Service: "s"}, Replicas: 1}}
		Expect(f.placer.Reconcile(f.now, wants, f.targets, f.config)).To(HaveLen(5))
	})

	It("unloads nothing that works", func() {
		t := &f.targets[7]
		t.Leaving, t.Standby, t.Load.Running = true, true, 1
		wants := []scaler.Desired{{Key: scaler.Key{Service: "s"}, Replicas: 7}}
		f.placer.StandbyRetention = time.Second
		Expect(f.placer.Reconcile(f.now, wants, f.targets, f.config)).To(BeEmpty())
		Expect(f.placer.Reconcile(f.now.Add(time.Minute), wants, f.targets, f.config)).To(BeEmpty())
	})

	It("prefers a loaded target of another lane to loading one", func() {
		for i := range 2 {
			f.targets[i].Leaving, f.targets[i].Standby = true, true
		}
		f.targets[0].Lane, f.targets[0].Empty = "long", true
		wants := []scaler.Desired{
			{Key: scaler.Key{Service: "s"}, Replicas: 6}, {Key: scaler.Key{Service: "s", Lane: "long"}, Replicas: 1},
		}
		Expect(f.placer.Reconcile(f.now, wants, f.targets, f.config)).To(Equal([]messenger.Order{{Target: "t01", Verb: "role", Lane: "long"}}))
	})

	It("moves a target to the lane that lacks one without a pause in service", func() {
		var p placer.Placer
		f.targets[7].Lane = "long"
		wants := []scaler.Desired{
			{Key: scaler.Key{Service: "s"}, Replicas: 6}, {Key: scaler.Key{Service: "s", Lane: "long"}, Replicas: 2},
		}
		Expect(p.Reconcile(f.now, wants, f.targets, f.config)).To(Equal([]messenger.Order{{Target: "t06", Verb: "role", Lane: "long"}}))
	})

	It("gives at most eight orders an hour under a steady noisy load", func() {
		for seed := range uint64(5) {
			f := fleetOf(20, seed)
			noisy := func() float64 { return 7 * (1 + 0.3*f.rnd.NormFloat64()) }
			for range int(2 * time.Hour / time.Second) {
				f.second(noisy())
			}
			n := f.total()
			for range int(4 * time.Hour / time.Second) {
				f.second(noisy())
			}
			Expect(f.total()-n).To(BeNumerically("<=", 4*8), "seed %d: %v", seed, f.orders)
		}
	})
})

// tally is what one day came to, in engine seconds but for orders and loads.
type tally struct {
	asked, unserved, serving, loaded, bound, filled float64

	orders, loads int
}

func (f *fleet) day(steep bool) tally {
	var t tally
	for range int(24 * time.Hour / time.Second) {
		at := f.now.Sub(f.start)
		d := f.demand(at)
		if steep && at > 3*time.Hour && at < 4*time.Hour {
			d += 8
		}
		t.asked += d
		t.unserved += f.second(d)
		t.serving += float64(f.count(serves))
		t.loaded += float64(f.count(loaded))
		t.bound += max(3, math.Ceil(d))
		t.filled += max(3, math.Ceil(d/scaler.DefaultMemoryUtilization))
	}
	t.orders, t.loads = f.total(), f.orders["load"]
	return t
}

// BenchmarkDay measures a day in virtual time, with variants of the parameters.
func BenchmarkDay(b *testing.B) {
	const seed = 20261203
	for _, v := range []struct {
		name  string
		set   func(f *fleet)
		steep bool
	}{
		{name: "default", set: func(*fleet) {}},
		{name: "steep", set: func(*fleet) {}, steep: true},
		{name: "steep warm 6h", set: func(f *fleet) { f.placer.StandbyRetention = 6 * time.Hour }, steep: true},
		{name: "warm 5m", set: func(f *fleet) { f.placer.StandbyRetention = 5 * time.Minute }},
		{name: "warm 6h", set: func(f *fleet) { f.placer.StandbyRetention = 6 * time.Hour }},
		{name: "fill 0.85", set: func(f *fleet) { f.scaler.MemoryUtilization = 0.85 }},
		{name: "calm 2m", set: func(f *fleet) { f.scaler.StabilizationWindow, f.scaler.ReductionInterval = 2*time.Minute, time.Minute }},
		{name: "calm 30m", set: func(f *fleet) { f.scaler.StabilizationWindow = 30 * time.Minute }},
		{name: "margin 0.01", set: func(f *fleet) { f.scaler.ReductionMargin = 0.01 }},
	} {
		b.Run(v.name, func(b *testing.B) {
			for b.Loop() {
				f := fleetOf(20, seed)
				v.set(f)
				t := f.day(v.steep)
				b.ReportMetric(100*t.unserved/t.asked, "unserved-%")
				b.ReportMetric(t.serving/3600, "serving-h")
				b.ReportMetric(t.loaded/3600, "loaded-h")
				b.ReportMetric(t.bound/3600, "bound-h")
				b.ReportMetric(t.filled/3600, "bound-at-fill-h")
				b.ReportMetric(float64(t.orders), "orders")
				b.ReportMetric(float64(t.loads), "loads")
			}
		})
	}
}
