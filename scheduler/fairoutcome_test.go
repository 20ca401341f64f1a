package scheduler_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// outcome is what became of the requests of an account.
type outcome struct {
	sent, served, late, refused, given int
	work                               float64 // milliseconds at targets, of requests that were served
	waits                              []time.Duration
}

// measure adds the places in use in this step to the mean over the time of a burst, without its
// first second.
func (f *fairFleet) measure() {
	const from, to, middle = 4 * time.Second, 10 * time.Second, 8 * time.Second
	if f.elapsed() == middle {
		f.above = map[string]bool{}
		for _, n := range f.nodes {
			for account := range f.outcomes {
				f.above[account] = f.above[account] || n.a != nil && n.a.Above(f.at, account)
			}
		}
	}
	if at := f.elapsed(); at >= from && at < to {
		places := len(f.targets) * declaredEngine.Slots
		running := 0
		for _, c := range f.flying {
			if !f.at.Before(c.start) {
				running++
			}
		}
		f.busy += float64(running) / float64(places) / float64((to-from)/simStep)
	}
}

// of adds up the outcomes of the accounts that satisfy a condition.
func (f *fairFleet) of(ok func(string) bool) (sum outcome) {
	for account, o := range f.outcomes {
		if ok(account) {
			sum = sum.plus(*o)
		}
	}
	return sum
}

func (o outcome) plus(p outcome) outcome {
	o.sent += p.sent
	o.served += p.served
	o.late += p.late
	o.refused += p.refused
	o.given += p.given
	o.work += p.work
	o.waits = slices.Sorted(slices.Values(append(slices.Clone(o.waits), p.waits...)))
	return o
}

func (o outcome) String() string {
	return fmt.Sprintf("sent %d, served %d (%.0f ms), late %d, refused %d, given up %d, wait p50 %s p95 %s",
		o.sent, o.served, o.work, o.late, o.refused, o.given, o.wait(0.5), o.wait(0.95))
}

// wait returns a quantile of the waits for the start of the prefill.
func (o outcome) wait(q float64) time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	return o.waits[int(q*float64(len(o.waits)-1))].Round(time.Millisecond)
}

// exchange tells each entry what the others have in flight and have used.
func (f *fairFleet) exchange() {
	old := f.reported()
	if f.lost != nil && f.lost(f.elapsed()) {
		return
	}
	for i, n := range f.nodes {
		var sends []messenger.Sent
		for j, o := range f.nodes {
			if j != i {
				sends = append(sends, o.s.Router.Sends()...)
			}
		}
		n.s.Router.RecordPeers(f.at, router.Peers{Sends: sumSends(sends), Entries: f.entries - 1})
		if n.a != nil {
			others := slices.Delete(slices.Clone(old.uses), i, i+1)
			n.a.SetPeers(f.at, messenger.SumUses(others...), f.at.Sub(old.at))
		}
	}
}

// reported records the uses of all entries and returns those that reach the others now.
func (f *fairFleet) reported() usesReport {
	now := usesReport{at: f.at}
	for _, n := range f.nodes {
		if n.a != nil {
			now.uses = append(now.uses, n.a.Report(f.at))
		}
	}
	f.reports = append(f.reports, now)
	for len(f.reports) > 1 && f.at.Sub(f.reports[0].at) > f.usesAge {
		f.reports = f.reports[1:]
	}
	return f.reports[0]
}

func sumSends(all []messenger.Sent) (out []messenger.Sent) {
	sums := map[uint64]messenger.Sent{}
	for _, s := range all {
		sums[s.Target] = sums[s.Target].Plus(s)
	}
	for _, s := range sums {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b messenger.Sent) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
