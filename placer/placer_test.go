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

// run advances the simulation under a constant demand.
func (f *fleet) run(d time.Duration, demand float64) {
	for range int(d / time.Second) {
		f.step(demand)
	}
}

// demand returns the demand at a time since midnight, in engines, with random noise. It
// is halved at night and has an evening peak from 20:00 to 23:30.
func (f *fleet) demand(at time.Duration) float64 {
	h := at.Hours()
	daytime := 4 + 4/(1+math.Exp(-4*(h-6.5))) - 4/(1+math.Exp(-4*(h-22)))
	evening := 6/(1+math.Exp(-60*(h-20))) - 6/(1+math.Exp(-12*(h-23.5)))
	return (daytime + evening) * (1 + 0.1*f.rnd.NormFloat64())
}

var _ = Describe("Placer", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(8, 1) })

	It("repeats no order whose effect has been announced", func() {
		f.run(time.Hour, 3)
		n := f.totalOrders()
		f.run(time.Hour, 3)
		Expect(f.totalOrders()).To(Equal(n))
	})

	It("drains targets before it unloads them, and activates loaded targets first", func() {
		f.run(30*time.Minute, 2)
		Expect(f.count(serves)).To(BeNumerically("<", 8))
		Expect(f.orders["unload"]).To(BeZero())
		f.run(time.Minute, 5)
		Expect(f.count(serves)).To(Equal(8))
		Expect(f.orders["load"]).To(BeZero())
	})

	It("reaches the desired state when orders are lost and leaders change", func() {
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
			f.changeLeader()
		}
		Expect(f.count(serves)).To(Equal(8))
		Expect(f.minServing).To(BeNumerically(">=", 3))
	})

	It("limits the concurrent reads of the weight store", func() {
		f.run(3*time.Hour, 1)
		Expect(f.count(loaded)).To(Equal(3))
		f.run(time.Hour, 6)
		Expect(f.orders["load"]).To(BeNumerically(">=", 5))
		Expect(f.maxReads).To(Equal(placer.DefaultMaxReads))
	})

	It("changes the version of one target at a time while all continue to serve", func() {
		f.config.Models["m"] = configurer.Model{Version: "2", Adapters: []string{"a"}}
		f.run(30*time.Minute, 5.5)
		for i := range f.targets {
			Expect(f.targets[i]).To(And(HaveField("Version", "2"), HaveField("Adapters", []string{"a"})))
		}
		Expect(f.minServing).To(Equal(8))
		Expect(f.maxUpdates).To(Equal(1))
		Expect(f.orders["version"]).To(BeNumerically("<=", 8*5))
	})

	It("sends no orders to engines that do not report their version", func() {
		for i := range f.targets {
			f.targets[i].Version = ""
		}
		f.run(time.Hour, 5.5)
		Expect(f.totalOrders()).To(BeZero())
	})

	It("sends no orders to targets that an operator has drained", func() {
		f.targets[0].Leaving = true
		f.run(time.Hour, 7)
		Expect(f.targets[0].Leaving).To(BeTrue())
		Expect(f.totalOrders()).To(BeZero())
	})

	It("limits the rate of reads of the weight store", func() {
		f.run(3*time.Hour, 1)
		f.placer.MaxReads, f.placer.ReadsPerMinute = 8, 0.5
		f.run(4*time.Minute, 6)
		Expect(f.maxReads).To(BeNumerically("<=", 2))
	})

	It("keeps the configured minimum even if fewer replicas are desired", func() {
		desired := []scaler.Desired{{Key: scaler.Key{Service: "s"}, Replicas: 1}}
		Expect(f.placer.Reconcile(f.now, desired, f.targets, f.config)).To(HaveLen(5))
	})

	It("does not unload a target with running requests", func() {
		t := &f.targets[7]
		t.Leaving, t.Standby, t.Load.Running = true, true, 1
		desired := []scaler.Desired{{Key: scaler.Key{Service: "s"}, Replicas: 7}}
		f.placer.StandbyRetention = time.Second
		Expect(f.placer.Reconcile(f.now, desired, f.targets, f.config)).To(BeEmpty())
		Expect(f.placer.Reconcile(f.now.Add(time.Minute), desired, f.targets, f.config)).To(BeEmpty())
	})

	It("prefers a loaded target of another lane to one that has to load the model", func() {
		for i := range 2 {
			f.targets[i].Leaving, f.targets[i].Standby = true, true
		}
		f.targets[0].Lane, f.targets[0].Empty = "long", true
		desired := []scaler.Desired{
			{Key: scaler.Key{Service: "s"}, Replicas: 6}, {Key: scaler.Key{Service: "s", Lane: "long"}, Replicas: 1},
		}
		Expect(f.placer.Reconcile(f.now, desired, f.targets, f.config)).To(Equal([]messenger.Order{{Target: "t01", Verb: "role", Lane: "long"}}))
	})

	It("moves a serving target to another lane without putting it on standby", func() {
		var p placer.Placer
		f.targets[7].Lane = "long"
		desired := []scaler.Desired{
			{Key: scaler.Key{Service: "s"}, Replicas: 6}, {Key: scaler.Key{Service: "s", Lane: "long"}, Replicas: 2},
		}
		Expect(p.Reconcile(f.now, desired, f.targets, f.config)).To(Equal([]messenger.Order{{Target: "t06", Verb: "role", Lane: "long"}}))
	})

	It("sends at most eight orders an hour under a steady noisy load", func() {
		for seed := range uint64(5) {
			f := newFleet(20, seed)
			noisy := func() float64 { return 7 * (1 + 0.3*f.rnd.NormFloat64()) }
			for range int(2 * time.Hour / time.Second) {
				f.step(noisy())
			}
			n := f.totalOrders()
			for range int(4 * time.Hour / time.Second) {
				f.step(noisy())
			}
			Expect(f.totalOrders()-n).To(BeNumerically("<=", 4*8), "seed %d: %v", seed, f.orders)
		}
	})
})

// dayResult is the result of a simulated day, in engine seconds except for orders and
// loads. bound is the smallest number of engines that serves the demand; boundAtFill is
// the smallest that serves it at the default memory utilization.
type dayResult struct {
	demand, unserved, serving, loaded, bound, boundAtFill float64

	orders, loads int
}

// simulateDay runs the demand of a day, with an additional demand of eight engines
// between 03:00 and 04:00 if spike is set.
func (f *fleet) simulateDay(spike bool) dayResult {
	var r dayResult
	for range int(24 * time.Hour / time.Second) {
		at := f.now.Sub(f.start)
		d := f.demand(at)
		if spike && at > 3*time.Hour && at < 4*time.Hour {
			d += 8
		}
		r.demand += d
		r.unserved += f.step(d)
		r.serving += float64(f.count(serves))
		r.loaded += float64(f.count(loaded))
		r.bound += max(3, math.Ceil(d))
		r.boundAtFill += max(3, math.Ceil(d/scaler.DefaultMemoryUtilization))
	}
	r.orders, r.loads = f.totalOrders(), f.orders["load"]
	return r
}

// BenchmarkDay simulates a day with variants of the parameters and reports the unserved
// demand and the engine hours used.
func BenchmarkDay(b *testing.B) {
	const seed = 20261203
	for _, v := range []struct {
		name  string
		set   func(f *fleet)
		spike bool
	}{
		{name: "default", set: func(*fleet) {}},
		{name: "spike", set: func(*fleet) {}, spike: true},
		{name: "spike retention 6h", set: func(f *fleet) { f.placer.StandbyRetention = 6 * time.Hour }, spike: true},
		{name: "retention 5m", set: func(f *fleet) { f.placer.StandbyRetention = 5 * time.Minute }},
		{name: "retention 6h", set: func(f *fleet) { f.placer.StandbyRetention = 6 * time.Hour }},
		{name: "utilization 0.85", set: func(f *fleet) { f.scaler.MemoryUtilization = 0.85 }},
		{name: "window 2m", set: func(f *fleet) { f.scaler.StabilizationWindow, f.scaler.ReductionInterval = 2*time.Minute, time.Minute }},
		{name: "window 30m", set: func(f *fleet) { f.scaler.StabilizationWindow = 30 * time.Minute }},
		{name: "margin 0.01", set: func(f *fleet) { f.scaler.ReductionMargin = 0.01 }},
	} {
		b.Run(v.name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet(20, seed)
				v.set(f)
				r := f.simulateDay(v.spike)
				b.ReportMetric(100*r.unserved/r.demand, "unserved-%")
				b.ReportMetric(r.serving/3600, "serving-h")
				b.ReportMetric(r.loaded/3600, "loaded-h")
				b.ReportMetric(r.bound/3600, "bound-h")
				b.ReportMetric(r.boundAtFill/3600, "bound-at-fill-h")
				b.ReportMetric(float64(r.orders), "orders")
				b.ReportMetric(float64(r.loads), "loads")
			}
		})
	}
}
