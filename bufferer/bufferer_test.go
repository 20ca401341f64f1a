package bufferer_test

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"bramleyshunt/bufferer"
	"bramleyshunt/coder"
)

const (
	budget  = 1 << 20
	timeout = 10 * time.Second
)

// stalled is a body that ends only when it is cancelled.
type stalled struct {
	text      io.Reader
	cancelled chan struct{}
}

func newStalled(n int) *stalled {
	return &stalled{text: strings.NewReader(strings.Repeat("x", n)), cancelled: make(chan struct{})}
}

var errCancelled = errors.New("cancelled")

func (s *stalled) Read(p []byte) (int, error) {
	if n, err := s.text.Read(p); err == nil {
		return n, nil
	}
	<-s.cancelled
	return 0, errCancelled
}

func (s *stalled) body(length int64) bufferer.Body {
	return bufferer.Body{Length: length, Limit: budget, Cancel: func() { close(s.cancelled) }}
}

func expectCode(t *testing.T, err error, want coder.Code) {
	t.Helper()
	g := NewWithT(t)
	g.Expect(err).To(HaveOccurred())
	g.Expect(coder.Of(err).Code).To(Equal(want))
	g.Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
}

func used(b *bufferer.Bufferer) int64 {
	return metrics.GetOrRegisterGauge("bodies.bytes", b.Metrics).Value()
}

func newBufferer(now func() time.Time) *bufferer.Bufferer {
	return &bufferer.Bufferer{Max: budget, Metrics: metrics.NewRegistry(), Now: now}
}

func TestBodiesAreReadWhole(t *testing.T) {
	for _, n := range []int{0, 1, 4096, 4097, 100_000, budget} {
		for _, length := range []int64{int64(n), -1} {
			g := NewWithT(t)
			b := newBufferer(nil)
			text := strings.Repeat("ab", n)[:n]
			hold, err := b.Read(unevenReader{strings.NewReader(text)}, bufferer.Body{Length: length, Limit: budget})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(hold.Data)).To(Equal(text))
			g.Expect(used(b)).To(BeNumerically(">=", n), "reserved while the body is held")
			hold.Release()
			hold.Release()
			g.Expect(used(b)).To(BeZero())
		}
	}
}

// unevenReader returns odd numbers of bytes, and the end together with the last ones.
type unevenReader struct{ r *strings.Reader }

func (r unevenReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p[:min(len(p), 777)])
	if err == nil && r.r.Len() == 0 {
		return n, io.EOF
	}
	return n, err
}

func TestBodyBeyondItsLimitIsRefused(t *testing.T) {
	for _, length := range []int64{-1, 5001} {
		b := newBufferer(nil)
		_, err := b.Read(strings.NewReader(strings.Repeat("x", 5001)), bufferer.Body{Length: length, Limit: 5000})
		expectCode(t, err, coder.TooLarge)
		NewWithT(t).Expect(used(b)).To(BeZero())
	}
}

// Guards against memory of bodies that broke off.
func TestBrokenBodyHoldsNoMemory(t *testing.T) {
	b := newBufferer(nil)
	_, err := b.Read(io.MultiReader(strings.NewReader("abc"), brokenReader{}), bufferer.Body{Length: 100, Limit: 5000})
	NewWithT(t).Expect(err).To(MatchError(errCancelled))
	NewWithT(t).Expect(used(b)).To(BeZero())
}

// Guards against a message that is taken for whole although its connection ended before.
func TestBodyShorterThanAnnouncedIsNotWhole(t *testing.T) {
	b := newBufferer(nil)
	_, err := b.Read(strings.NewReader("abc"), bufferer.Body{Length: 4, Limit: 5000})
	NewWithT(t).Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	NewWithT(t).Expect(used(b)).To(BeZero())
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errCancelled }

// Guards against complete bodies that together hold more than the budget while they wait.
func TestBodiesWithoutRoomAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	b := newBufferer(nil)
	text := strings.Repeat("x", budget/2)
	first, err := b.Read(strings.NewReader(text), bufferer.Body{Length: budget / 2, Limit: budget})
	g.Expect(err).NotTo(HaveOccurred())
	for _, length := range []int64{budget / 2, -1} {
		_, err = b.Read(strings.NewReader(text), bufferer.Body{Length: length, Limit: budget})
		expectCode(t, err, coder.BodiesFull)
		g.Expect(coder.Of(err).Retry).To(BeNumerically(">", 0))
	}
	small, err := b.Read(strings.NewReader("ping"), bufferer.Body{Length: 4, Limit: budget})
	g.Expect(err).NotTo(HaveOccurred())
	small.Release()
	first.Release()
	second, err := b.Read(strings.NewReader(text), bufferer.Body{Length: -1, Limit: budget})
	g.Expect(err).NotTo(HaveOccurred())
	second.Release()
	g.Expect(used(b)).To(BeZero())
}

// Guards against clients that stop short of the end and so keep others out.
func TestStalledBodiesAreGivenUp(t *testing.T) {
	for _, length := range []int64{budget / 2, -1} {
		g := NewWithT(t)
		var mu sync.Mutex
		now := time.Unix(1000, 0)
		b := newBufferer(func() time.Time { mu.Lock(); defer mu.Unlock(); return now })
		s := newStalled(budget/2 - 1)
		done := make(chan error, 1)
		go func() {
			_, err := b.Read(s, s.body(length))
			done <- err
		}()
		g.Eventually(func() int64 { return used(b) }, timeout).Should(BeNumerically(">=", budget/2))
		mu.Lock()
		now = now.Add(2 * time.Second)
		mu.Unlock()
		hold, err := b.Read(strings.NewReader(strings.Repeat("x", budget/2)), bufferer.Body{Length: budget / 2, Limit: budget})
		g.Expect(err).NotTo(HaveOccurred())
		expectCode(t, <-done, coder.BodiesFull)
		hold.Release()
		g.Expect(used(b)).To(BeZero())
	}
}

// Guards against copies of a body, which its handler makes, that are not counted.
func TestCopiesAreReserved(t *testing.T) {
	g := NewWithT(t)
	b := newBufferer(nil)
	hold, err := b.Read(strings.NewReader(strings.Repeat("x", 1000)), bufferer.Body{Length: 1000, Limit: budget, Copies: 3})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(used(b)).To(Equal(int64(3000)))
	hold.Shrink(2000)
	g.Expect(used(b)).To(Equal(int64(2000)))
	hold.Release()
	hold.Shrink(10)
	g.Expect(used(b)).To(BeZero())
}
