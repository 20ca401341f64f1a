package controller_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/controller"
	"bramleyshunt/messenger"
)

// fleet simulates one target. It loses the given number of orders, then executes the
// others.
type fleet struct {
	mu      sync.Mutex
	leading bool
	fence   uint64
	losses  int // number of orders still to be lost
	targets []messenger.Target
	orders  []messenger.Order
}

func (f *fleet) config() controller.Config {
	c := &configurer.Configurer{
		Services: map[string]configurer.Service{"s": {Model: "m", MinReplicas: 1}},
		Models:   map[string]configurer.Model{"m": {Version: "2"}},
	}
	return controller.Config{
		Targets: func() []messenger.Target { return locked(f, func() []messenger.Target { return f.targets }) },
		Leading: func() bool { return locked(f, func() bool { return f.leading }) },
		View:    func() *configurer.Configurer { return c },
		Fence: func(context.Context, string) (uint64, error) {
			return locked(f, func() uint64 { f.fence++; return f.fence }), nil
		},
		Send: f.send,
	}
}

// locked returns the result of get, called with the mutex held.
func locked[T any](f *fleet, get func() T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return get()
}

func (f *fleet) send(_ context.Context, addr string, o messenger.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.losses--; f.losses >= 0 {
		return coder.Errorf(coder.NoTarget, "lost")
	}
	f.orders = append(f.orders, o)
	t := f.targets[0]
	if addr == t.Address && o.Verb == "version" {
		t.Version = o.Version
		f.targets = []messenger.Target{t}
	}
	return nil
}

// TestController checks that the controller sends orders only after its keeper has led
// for the settle time, repeats a lost order with a new fencing token, and stops when the
// effect is announced.
func TestController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fleet{losses: 1, targets: []messenger.Target{{ID: "t", Service: "s", Model: "m", Version: "1", Address: "a"}}}
		_, stop := controller.New(f.config())
		defer stop()
		ordersAfter := func(d time.Duration) []messenger.Order {
			<-time.After(d)
			synctest.Wait()
			return locked(f, func() []messenger.Order { return f.orders })
		}
		g.Expect(ordersAfter(time.Minute)).To(BeEmpty(), "this keeper does not lead")
		locked(f, func() bool { f.leading = true; return true })
		g.Expect(ordersAfter(controller.SettleTime)).To(BeEmpty(), "targets may not have announced themselves yet")
		want := messenger.Order{Fence: 2, Target: "t", Verb: "version", Model: "m", Version: "2"}
		g.Expect(ordersAfter(30 * time.Second)).To(Equal([]messenger.Order{want}))
		g.Expect(ordersAfter(time.Hour)).To(HaveLen(1), "the target has announced the new version")
	})
}
