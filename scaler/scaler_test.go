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

// simulation drives a Scaler once a second. Desired replicas are active at once.
type simulation struct {
	scaler.Scaler
	now         time.Time
	replicas    int
	increases   int
	reductions  int
	minReplicas int
}

func newSimulation(replicas int) *simulation {
	return &simulation{now: start, replicas: replicas, minReplicas: 2}
}

// step advances the simulation by one second in which the group uses the given tokens
// of memory, or all memory of its replicas if that is less.
func (s *simulation) step(used int) {
	s.now = s.now.Add(time.Second)
	sample := scaler.Sample{Key: key, Active: s.replicas, Used: min(used, s.replicas*memory), Memory: s.replicas * memory}
	services := map[string]configurer.Service{"s": {MinReplicas: s.minReplicas, MaxReplicas: 20}}
	desired := s.Update(s.now, []scaler.Sample{sample}, services)[0].Replicas
	if desired > s.replicas {
		s.increases++
	}
	if desired < s.replicas {
		s.reductions++
	}
	s.replicas = desired
}

func (s *simulation) run(d time.Duration, used func() int) {
	for range int(d / time.Second) {
		s.step(used())
	}
}

func constant(n int) func() int { return func() int { return n } }

var _ = Describe("Scaler", func() {
	It("scales up within seconds and down only after a stabilization window", func() {
		s := newSimulation(4)
		s.run(30*time.Second, constant(9000))
		Expect(s.replicas).To(BeNumerically(">=", 13))
		s.run(9*time.Minute, constant(1000))
		Expect(s.reductions).To(BeZero())
		s.run(time.Hour, constant(1000))
		Expect(s.replicas).To(Equal(2))
	})

	It("respects the minimum and the maximum", func() {
		s := newSimulation(4)
		s.run(time.Minute, constant(90000))
		Expect(s.replicas).To(Equal(20))
		s.run(2*time.Hour, constant(0))
		Expect(s.replicas).To(Equal(2))
	})

	It("retains one replica without a minimum, to measure the need", func() {
		s := newSimulation(4)
		s.minReplicas = 0
		s.run(2*time.Hour, constant(0))
		Expect(s.replicas).To(Equal(1))
	})

	It("starts from the announced number of replicas after a change of leader", func() {
		s := newSimulation(9)
		s.run(9*time.Minute, constant(100))
		Expect(s.replicas).To(Equal(9))
	})

	It("changes at most four times an hour under a steady noisy load", func() {
		for seed := range uint64(20) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			noisy := func() int { return int(7000 * (1 + 0.5*(2*rnd.Float64()-1))) }
			s := newSimulation(10)
			s.run(time.Hour, noisy)
			s.increases, s.reductions = 0, 0
			s.run(4*time.Hour, noisy)
			Expect(s.increases+s.reductions).To(BeNumerically("<=", 16), "seed %d", seed)
		}
	})

	It("retains the replicas for short peaks that recur within the stabilization window", func() {
		s := newSimulation(15)
		load := func() int {
			if s.now.Sub(start)%(5*time.Minute) < 20*time.Second {
				return 9000
			}
			return 2000
		}
		s.run(time.Hour, load)
		s.increases, s.reductions = 0, 0
		s.run(time.Hour, load)
		Expect(s.increases + s.reductions).To(BeZero())
		Expect(s.replicas).To(BeNumerically(">=", 11))
	})

	It("reduces at most once per reduction interval while the load falls", func() {
		s := newSimulation(18)
		s.run(40*time.Minute, func() int { return 12000 - int(s.now.Sub(start).Seconds()*5) })
		Expect(s.reductions).To(And(BeNumerically(">", 3), BeNumerically("<=", 7)))
	})

	It("divides the replicas that the bounds allow between lanes by need", func() {
		var s scaler.Scaler
		samples := []scaler.Sample{
			{Key: scaler.Key{Service: "s", Lane: "long"}, Active: 1, Used: 900, Memory: memory},
			{Key: scaler.Key{Service: "s", Lane: "short"}, Active: 1, Used: 10, Memory: memory},
		}
		desired := s.Update(start, samples, map[string]configurer.Service{"s": {MinReplicas: 5, MaxReplicas: 5}})
		Expect(desired).To(Equal([]scaler.Desired{{Key: samples[0].Key, Replicas: 4}, {Key: samples[1].Key, Replicas: 1}}))
	})
})

// TestBounds checks with random loads that the number of replicas stays within the
// bounds and that reductions are at least a reduction interval apart.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(2, 20).Draw(t, "replicas"))
		for range rapid.IntRange(1, 12).Draw(t, "parts") {
			used := rapid.IntRange(0, 30000).Draw(t, "used")
			s.run(10*time.Minute, constant(used))
			if s.replicas < 2 || s.replicas > 20 {
				t.Fatalf("got %d replicas, want 2 to 20", s.replicas)
			}
		}
		if limit := int(s.now.Sub(start)/scaler.DefaultReductionInterval) + 1; s.reductions > limit {
			t.Fatalf("got %d reductions, want at most %d", s.reductions, limit)
		}
	})
}
