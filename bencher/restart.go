package bencher

import "time"

const (
	// restartDowntime is the time from the kill of all entries until they serve again.
	restartDowntime = 600 * time.Millisecond
	// maxReturnDelay bounds the time after which a caller is back once the entries serve.
	maxReturnDelay = 300 * time.Millisecond
)

// restart kills all entries. The engines cancel the calls in progress, whose callers come
// back for the rest of the answer. Entries start without any counts.
func (f *Fleet) restart() {
	f.upAt = f.now.Add(restartDowntime)
	killed := f.entries
	for _, e := range killed {
		e.killed = true
	}
	for _, c := range f.calls[:len(f.calls):len(f.calls)] {
		if c.entry == nil || c.done {
			continue
		}
		f.finish(c)
		c.cut = true
		c.entry.callerLeft(c)
		f.resume(c)
	}
	f.after(restartDowntime, func() {
		f.entries = nil
		for i := range killed {
			f.entries = append(f.entries, newFleetEntry(f, i))
		}
	})
}

// resume has the caller of a call that was cut off come back for the rest of the answer.
func (f *Fleet) resume(c *call) {
	rest := &call{
		id: c.id + "r", traffic: c.traffic, kind: c.kind, account: c.account, at: c.at, prompt: c.prompt,
		events: max(1, c.events-c.emitted), ttft: c.ttft, maxGap: c.maxGap, lastEvent: c.lastEvent,
	}
	f.calls = append(f.calls, rest)
	f.unfinished++
	f.after(restartDowntime+f.returnDelay(), func() { f.arrive(rest) })
}

func (f *Fleet) returnDelay() time.Duration {
	return time.Duration(f.rnd.Int64N(int64(maxReturnDelay)))
}
