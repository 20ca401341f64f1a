package budgeter_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/budgeter"
)

const (
	budget = 4 << 20
	large  = 1 << 20
)

var start = time.Unix(1000, 0)

// The seed is fixed so that each run has the same result. The flags -rapid.seed and
// -rapid.checks on the command line take precedence.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// open adds a reservation that began at a time and has a size.
func open(t *testing.T, b *budgeter.Budgeter, at time.Time, bytes int) uint64 {
	t.Helper()
	id := b.Open(at)
	expectVerdict(t, b, at, id, bytes, budgeter.Granted)
	return id
}

func expectVerdict(t *testing.T, b *budgeter.Budgeter, now time.Time, id uint64, bytes int, want budgeter.Verdict, victims ...uint64) {
	t.Helper()
	g := NewWithT(t)
	got, gone := b.Resize(now, id, bytes)
	g.Expect(got).To(Equal(want))
	g.Expect(gone).To(Equal(victims))
}

func TestBudgeter(t *testing.T) {
	later := start.Add(2 * time.Second)

	// Guards against a single message within the limits that is refused.
	t.Run("grants any size while nothing else is reserved", func(t *testing.T) {
		b := &budgeter.Budgeter{Max: budget}
		open(t, b, start, 2*budget)
	})

	// Guards against small requests that are refused while large ones wait for targets.
	t.Run("keeps a part for small messages", func(t *testing.T) {
		b := &budgeter.Budgeter{Max: budget}
		for range 3 {
			NewWithT(t).Expect(b.Complete(open(t, b, start, large))).To(BeTrue())
		}
		expectVerdict(t, b, later, b.Open(later), budgeter.SmallBytes+1, budgeter.Refused)
		for range (budget - 3*large) / budgeter.SmallBytes {
			open(t, b, later, budgeter.SmallBytes)
		}
		expectVerdict(t, b, later, b.Open(later), 1, budgeter.Refused)
	})

	// Guards against clients that keep memory by stopping short of the end of a body.
	t.Run("gives up the incomplete message that has occupied most for longest", func(t *testing.T) {
		b := &budgeter.Budgeter{Max: budget}
		open(t, b, start, large/2)
		oldest := open(t, b, start, large)
		open(t, b, start.Add(time.Second), large)
		newcomer := b.Open(later)
		expectVerdict(t, b, later, newcomer, large, budgeter.Wait, oldest)
		NewWithT(t).Expect(b.GivenUp(oldest)).To(BeTrue())
		expectVerdict(t, b, later, newcomer, large, budgeter.Wait) // nobody else meanwhile
		NewWithT(t).Expect(b.Complete(oldest)).To(BeFalse())
		b.Close(oldest)
		expectVerdict(t, b, later, newcomer, large, budgeter.Granted)
	})

	// Guards against a burst of honest uploads in which each newcomer ends the one before.
	t.Run("refuses newcomers rather than uploads that have just begun", func(t *testing.T) {
		b := &budgeter.Budgeter{Max: budget}
		for range 3 {
			open(t, b, start, large)
		}
		soon := start.Add(time.Second)
		expectVerdict(t, b, soon, b.Open(soon), large, budgeter.Refused)
	})

	// Guards against a request that is ended although it has arrived completely, and may run.
	t.Run("never gives up complete messages", func(t *testing.T) {
		b := &budgeter.Budgeter{Max: budget}
		for range 3 {
			b.Complete(open(t, b, start, large))
		}
		expectVerdict(t, b, later, b.Open(later), large, budgeter.Refused)
	})

	t.Run("refuses the growth of the message that would be given up itself", func(t *testing.T) {
		b := &budgeter.Budgeter{Max: budget}
		first := open(t, b, start, large)
		open(t, b, start.Add(time.Second), large)
		open(t, b, start.Add(time.Second), large)
		expectVerdict(t, b, later, first, 2*large, budgeter.Refused)
	})
}

// model checks a Budgeter against the reservations that a test knows of.
type model struct {
	b     budgeter.Budgeter
	sizes map[uint64]int
	done  map[uint64]bool // complete
}

func (m *model) total() int {
	n := 0
	for _, size := range m.sizes {
		n += size
	}
	return n
}

// Guards against a sum above the budget, complete messages that are given up and memory that
// is never free again.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{b: budgeter.Budgeter{Max: budget}, sizes: map[uint64]int{}, done: map[uint64]bool{}}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			m.step(t, now)
			if m.total() != m.b.Used() {
				t.Fatalf("%d bytes used, %d reserved", m.b.Used(), m.total())
			}
		}
		for id := range m.sizes {
			m.b.Close(id)
		}
		if m.b.Used() != 0 {
			t.Fatalf("%d bytes are never released", m.b.Used())
		}
	})
}

func (m *model) step(t *rapid.T, now time.Time) {
	id := uint64(rapid.IntRange(0, len(m.sizes)).Draw(t, "id"))
	if _, ok := m.sizes[id]; !ok {
		id = m.b.Open(now)
		m.sizes[id] = 0
	}
	switch rapid.IntRange(0, 4).Draw(t, "action") {
	case 0:
		m.b.Close(id)
		delete(m.sizes, id)
		delete(m.done, id)
	case 1:
		if m.b.Complete(id) {
			m.done[id] = true
		}
	default:
		m.resize(t, now, id, rapid.IntRange(0, budget).Draw(t, "bytes"))
	}
}

func (m *model) resize(t *rapid.T, now time.Time, id uint64, bytes int) {
	before, others := m.sizes[id], m.total()-m.sizes[id]
	verdict, victims := m.b.Resize(now, id, bytes)
	if verdict == budgeter.Granted {
		m.sizes[id] = bytes
		if bytes > before && others > 0 && others+bytes > budget {
			t.Fatalf("%d bytes granted beside %d", bytes, others)
		}
	}
	for _, v := range victims {
		if m.done[v] || verdict != budgeter.Wait {
			t.Fatalf("reservation %d given up, complete: %t, verdict %s", v, m.done[v], verdict)
		}
	}
}
