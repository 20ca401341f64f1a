package conductor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
)

// Guards against a queue that stalls for all requests because two attempts of one request
// are in it at a time: one that has been cancelled but is not removed yet, and the next one.
func TestTwoAttemptsOfOneRequestAreQueuedApart(t *testing.T) {
	for name, abandonFirst := range map[string]bool{"the first one is removed before a slot is free": true, "it is removed after that": false} {
		t.Run(name, func(t *testing.T) {
			withHolds(t, Config{}, oneTarget(1), func(b *holdBed) {
				b.takeSlots(4)
				r := &chainer.Request{ID: "r", Service: "s", Prompt: 1, Config: b.view.Load().Config, Deadline: time.Now().Add(time.Minute)}
				x := &execution{cd: b.cd, r: r}
				first, second := x.newAttempt(context.Background(), nil), x.newAttempt(context.Background(), nil)
				ends := []chan error{b.place(first), b.place(second)}
				if abandonFirst {
					first.cancel(errSuperseded)
					b.Expect(coder.Of(<-ends[0])).To(HaveField("Run", coder.NotRun))
				}
				b.freeSlots()
				synctest.Wait()
				b.Expect(ends[1]).To(Receive(BeNil()))
				b.Expect(b.cd.control.queued()).To(BeZero())
			})
		})
	}
}

// takeSlots has requests run in all slots until freeSlots.
func (b *holdBed) takeSlots(n int) {
	b.slots = make(chan struct{})
	b.answer = func(context.Context, *Attempt) error {
		<-b.slots
		return nil
	}
	for range n {
		b.start()
	}
}

func (b *holdBed) freeSlots() { close(b.slots) }

// place queues an attempt and returns the result of its wait.
func (b *holdBed) place(a *attempt) chan error {
	done := make(chan error, 1)
	go func() { done <- a.place() }()
	synctest.Wait()
	return done
}
