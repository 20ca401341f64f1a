package evacuator_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/evacuator"
	"bramleyshunt/messenger"
	"bramleyshunt/sharer"
)

// bed is an Evacuator before a keeper in memory.
type bed struct {
	*WithT
	evacuator.Evacuator
	keeper  applier.Applier
	index   uint64
	logs    *logtest.Hook
	lost    int                                    // answers that are lost after the order was applied
	replace func(*applier.Command) *applier.Answer // stands for the state machine if set
}

func newBed(t *testing.T, targets ...messenger.Target) *bed {
	log, logs := logtest.NewNullLogger()
	b := &bed{WithT: NewWithT(t), logs: logs}
	b.Evacuator = evacuator.Evacuator{
		Call: b.call, Evacuated: b.keeper.Evacuated, Targets: func() []messenger.Target { return targets }, Log: logrus.NewEntry(log),
	}
	return b
}

func (b *bed) call(_ context.Context, kind messenger.Kind, v, out any) error {
	b.Expect(kind).To(Equal(messenger.KindPropose))
	c, err := applier.DecodeCommand(v.(*messenger.Propose).Data)
	b.Expect(err).NotTo(HaveOccurred())
	b.index++
	data := b.keeper.Apply(b.index, c.Stamp(time.Unix(1000, 0)))
	if b.replace != nil {
		data = b.replace(c).Encode()
	}
	if b.lost > 0 {
		b.lost--
		return &coder.Error{Code: coder.NoQuorum, Cause: errors.New("no answer")}
	}
	*out.(*messenger.Proposed) = messenger.Proposed{Index: b.index, Data: data}
	return nil
}

func (b *bed) order(o evacuator.Order) (*evacuator.Accepted, error) {
	return b.Do(context.Background(), o)
}

// Guards against a lost answer after which the order can't be repeated, or counts as refused.
func TestOrderIsAcknowledgedWhenRepeatedAfterALostAnswer(t *testing.T) {
	b := newBed(t, messenger.Target{ID: "t1", Zone: "a", Service: "s"})
	b.lost = 1
	for _, end := range []bool{false, true} {
		b.lost = 1
		_, err := b.order(evacuator.Order{Zone: "a", Operator: "office", End: end, Known: true})
		b.Expect(coder.Of(err).Code).To(Equal(coder.NoQuorum))
		out, err := b.order(evacuator.Order{Zone: "a", Operator: "office", End: end, Known: true})
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(out.Repeated).To(BeTrue())
		b.Expect(out.Targets).To(Equal(1))
		b.Expect(b.keeper.Evacuated().Find("a") == nil).To(Equal(end))
	}
}

// Guards against names that reach the log.
func TestInvalidNamesAreNotProposed(t *testing.T) {
	b := newBed(t)
	for _, zone := range []string{"", ".", "a/b", "a\nb", strings.Repeat("a", 64)} {
		_, err := b.order(evacuator.Order{Zone: zone})
		b.Expect(coder.Of(err).Code).To(Equal(coder.Malformed), "%q", zone)
	}
	b.Expect(b.index).To(BeZero())
}

// Guards against a typing error that is taken for an order, and against the refusal of an order
// for a zone whose targets have not announced themselves yet. Entries are no targets.
func TestZoneWithoutTargets(t *testing.T) {
	b := newBed(t, messenger.Target{ID: "e", Zone: "a", Service: sharer.ServiceEntries})
	_, err := b.order(evacuator.Order{Zone: "a", Known: true})
	b.Expect(coder.Of(err).Code).To(Equal(coder.NotFound))
	b.Expect(b.index).To(BeZero())
	out, err := b.order(evacuator.Order{Zone: "a"})
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(out.Targets).To(BeZero())
	b.Expect(b.logs.AllEntries()).To(HaveLen(1))
	_, err = b.order(evacuator.Order{Zone: "a", Known: true})
	b.Expect(err).NotTo(HaveOccurred(), "it is evacuated, so it is known")
	_, err = b.order(evacuator.Order{Zone: "a", End: true, Known: true})
	b.Expect(err).NotTo(HaveOccurred())
	_, err = b.order(evacuator.Order{Zone: "a", End: true, Known: true})
	b.Expect(err).NotTo(HaveOccurred(), "repeated")
}

// Guards against an order that is acknowledged although a leader of an older build has dropped
// its content.
func TestOrderIsNotAcknowledgedByALeaderOfAnOlderBuild(t *testing.T) {
	for name, a := range map[string]*applier.Answer{
		"refused":        {Code: coder.BadFrame, Text: "command without content"},
		"without result": {},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			b.replace = func(*applier.Command) *applier.Answer { return a }
			_, err := b.order(evacuator.Order{Zone: "a"})
			b.Expect(coder.Of(err)).To(HaveField("Code", coder.NotReady))
		})
	}
}

// Guards against a refusal that is not told to the caller.
func TestTooManyZonesAreRefused(t *testing.T) {
	b := newBed(t)
	b.replace = func(*applier.Command) *applier.Answer { return &applier.Answer{Code: coder.Conflict} }
	_, err := b.order(evacuator.Order{Zone: "a"})
	b.Expect(coder.Of(err)).To(HaveField("Code", coder.Conflict))
}

// Guards against a nil dereference in the zero value's optional fields.
func TestOptionalFieldsMayBeNil(t *testing.T) {
	b := newBed(t)
	b.Targets, b.Log = nil, nil
	_, err := b.order(evacuator.Order{Zone: "a"})
	b.Expect(err).NotTo(HaveOccurred())
}
