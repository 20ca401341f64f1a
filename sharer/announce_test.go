package sharer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"bramleyshunt/messenger"
)

// Guards against entries that lose sight of each other, and of the relay that places their
// requests, while a minority of the keepers is frozen or has no power: each call to one of
// those takes its whole timeout.
func TestLeaseOutlastsSilentKeepers(t *testing.T) {
	for _, c := range []struct{ keepers, silent int }{{3, 1}, {5, 1}, {5, 2}, {9, 4}} {
		for node := range 8 {
			t.Run(fmt.Sprintf("%d of %d silent, node %d", c.silent, c.keepers, node), func(t *testing.T) {
				expectLeaseHeld(t, fmt.Sprint("entry-", node), c.keepers, c.silent)
			})
		}
	}
}

// expectLeaseHeld announces an entry for a minute of virtual time, in which some keepers don't
// answer, and expects that its lease never ends.
func expectLeaseHeld(t *testing.T, node string, keepers, silent int) {
	g := NewWithT(t)
	var addresses []string
	for n := range keepers {
		addresses = append(addresses, fmt.Sprint("keeper-", n))
	}
	ctx, cancel := context.WithCancel(context.Background())
	now, until := time.Duration(0), announceLease
	s := &Sharer{ctx: ctx, cfg: Config{Node: node, Log: logrus.NewEntry(logrus.New()), Keepers: func() []string { return addresses }}}
	s.cfg.Announce = func(_ context.Context, addr string, a *messenger.Announce) error {
		if slices.Contains(addresses[:silent], addr) {
			now += callTimeout
			return errors.New("no answer")
		}
		g.Expect(now).To(BeNumerically("<", until))
		until = now + a.Lease
		return nil
	}
	s.announce(func(_ context.Context, d time.Duration) error {
		if now += d; now > time.Minute {
			cancel()
		}
		return nil
	})
}
