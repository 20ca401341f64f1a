package applier_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"bramleyshunt/applier"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

const (
	benchClaims   = 100_000
	benchAccounts = 1300
	benchTargets  = 850
)

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkState measures the heap bytes per account, target and claim, and the size of
// a snapshot of them all.
func BenchmarkState(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	for range b.N {
		a, index := &applier.Applier{}, uint64(0)
		apply := func(c *applier.Command) {
			index++
			a.Apply(index, c.Stamp(now))
		}
		before := heapBytes()
		reportPer := func(n int, unit string) {
			after := heapBytes()
			b.ReportMetric((float64(after)-float64(before))/float64(n), unit)
			before = after
		}
		files := accountFiles(benchAccounts)
		apply(&applier.Command{Verb: applier.VerbChange, Change: &applier.Change{ID: "c", Version: 1, Digest: merger.Digest(files), Files: files}})
		if a.View().Version != 1 {
			b.Fatal("the configuration was not accepted")
		}
		reportPer(benchAccounts, "B/account")
		for i := range benchTargets {
			apply(&applier.Command{Verb: applier.VerbFence, Target: fmt.Sprintf("target-%d", i)})
		}
		reportPer(benchTargets, "B/target")
		for i := range benchClaims {
			apply(&applier.Command{Verb: applier.VerbClaim, Claim: &messenger.Claim{
				Account: "account-1", Service: "s", Key: fmt.Sprintf("key-%d", i), Owner: fmt.Sprintf("entry-1/%d", i), State: messenger.ClaimHeld,
			}})
		}
		reportPer(benchClaims, "B/claim")
		b.ReportMetric(float64(len(a.Snapshot())), "B/snapshot")
		runtime.KeepAlive(a)
	}
}

// accountFiles returns a configuration with one service and n client accounts.
func accountFiles(n int) []messenger.File {
	text := `{"services": {"s": {"kind": "engine", "model": "m", "timeout": 10, "longest": 20, "least": 1, "most": 2}},
		"models": {"m": {"version": "1", "window": 1000, "output": 10, "bytes": 4}}, "accounts": {`
	for i := range n {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`"account-%d": {"token": "%064x", "share": 2, "rate": 50000}`, i, i+1)
	}
	return []messenger.File{{Name: "10.json", Data: []byte(text + "}}")}}
}
