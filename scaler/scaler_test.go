package scaler_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/configurer"
	"bramleyshunt/scaler"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

func TestScaler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scaler")
}

const memory = 1000

var (
	start = time.Unix(1_800_000_000, 0)
	key   = scaler.Key{Service: "s"}
)

// rig drives a Scaler once a second. Each replica wanted is there at once.
type rig struct {
	scaler.Scaler
	now   time.Time
	have  int
	ups   int
	downs int
	least int
}

func rigOf(have int) *rig { return &rig{now: start, have: have, least: 2} }

// step has the group use the given tokens, cut to what its replicas hold.
func (r *rig) step(used int) {
	r.now = r.now.Add(time.Second)
	m := scaler.Sample{Key: key, Active: r.have, Used: min(used, r.have*memory), Memory: r.have * memory}
	b := map[string]configurer.Service{"s": {Least: r.least, Most: 20}}
	n := r.Step(r.now, []scaler.Sample{m}, b)[0].Replicas
	if n > r.have {
		r.ups++
	}
	if n < r.have {
		r.downs++
	}
	r.have = n
}

func (r *rig) run(d time.Duration, used func() int) {
	for range int(d / time.Second) {
		r.step(used())
	}
}

func steady(n int) func() int { return func() int { return n } }

var _ = Describe("Scaler", func() {
	It("goes up within seconds and down only after a calm window", func() {
		r := rigOf(4)
		r.run(30*time.Second, steady(9000))
		Expect(r.have).To(BeNumerically(">=", 13))
		r.run(9*time.Minute, steady(1000))
		Expect(r.downs).To(BeZero())
		r.run(time.Hour, steady(1000))
		Expect(r.have).To(Equal(2))
	})

	It("keeps both bounds", func() {
		r := rigOf(4)
		r.run(time.Minute, steady(90000))
		Expect(r.have).To(Equal(20))
		r.run(2*time.Hour, steady(0))
		Expect(r.have).To(Equal(2))
	})

	It("keeps one replica without a bound, to see the need by", func() {
		r := rigOf(4)
		r.least = 0
		r.run(2*time.Hour, steady(0))
		Expect(r.have).To(Equal(1))
	})

	It("takes the announced number over after a change of leader", func() {
		r := rigOf(9)
		r.run(9*time.Minute, steady(100))
		Expect(r.have).To(Equal(9))
	})

	It("changes at most four times an hour under a steady noisy load", func() {
		for seed := range uint64(20) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			noisy := func() int { return int(7000 * (1 + 0.5*(2*rnd.Float64()-1))) }
			r := rigOf(10)
			r.run(time.Hour, noisy)
			r.ups, r.downs = 0, 0
			r.run(4*time.Hour, noisy)
			Expect(r.ups+r.downs).To(BeNumerically("<=", 16), "seed %d", seed)
		}
	})

	It("keeps what a short rise needs that comes back within the calm window", func() {
		r := rigOf(15)
		rise := func() int {
			if r.now.Sub(start)%(5*time.Minute) < 20*time.Second {
				return 9000
			}
			return 2000
		}
		r.run(time.Hour, rise)
		r.ups, r.downs = 0, 0
		r.run(time.Hour, rise)
		Expect(r.ups + r.downs).To(BeZero())
		Expect(r.have).To(BeNumerically(">=", 11))
	})

	It("reduces at most once a pause while the load falls", func() {
		r := rigOf(18)
		r.run(40*time.Minute, func() int { return 12000 - int(r.now.Sub(start).Seconds()*5) })
		Expect(r.downs).To(And(BeNumerically(">", 3), BeNumerically("<=", 7)))
	})

	It("splits the bounds over lanes by need", func() {
		var s scaler.Scaler
		samples := []scaler.Sample{
			{Key: scaler.Key{Service: "s", Lane: "long"}, Active: 1, Used: 900, Memory: memory},
			{Key: scaler.Key{Service: "s", Lane: "short"}, Active: 1, Used: 10, Memory: memory},
		}
		w := s.Step(start, samples, map[string]configurer.Service{"s": {Least: 5, Most: 5}})
		Expect(w).To(Equal([]scaler.Want{{Key: samples[0].Key, Replicas: 4}, {Key: samples[1].Key, Replicas: 1}}))
	})
})

func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rigOf(rapid.IntRange(2, 20).Draw(t, "have"))
		for range rapid.IntRange(1, 12).Draw(t, "parts") {
			used := rapid.IntRange(0, 30000).Draw(t, "used")
			r.run(10*time.Minute, steady(used))
			if r.have < 2 || r.have > 20 {
				t.Fatalf("%d replicas", r.have)
			}
		}
		if most := int(r.now.Sub(start)/scaler.DefaultPause) + 1; r.downs > most {
			t.Fatalf("%d reductions, at most %d", r.downs, most)
		}
	})
}
