package applier_test

import (
	"fmt"
	"testing"
	"time"

	"bramleyshunt/applier"
	"bramleyshunt/messenger"
)

// completeClaim moves one claim from held to done.
func completeClaim(l *log, n int) {
	for _, s := range []messenger.State{messenger.ClaimHeld, messenger.ClaimRun, messenger.ClaimDone} {
		c := claimCommand("owner-0123456789", 7, s)
		c.Claim.Key = fmt.Sprintf("ping-%012d", n)
		c.Claim.Answer = []byte(`{"recorded": true}`)
		l.apply(c)
	}
}

// BenchmarkClaim measures the three commands of one claim. The commands are stamped
// with times at 600 claims per second, so that the claims of ten minutes are kept.
func BenchmarkClaim(b *testing.B) {
	l := newLog()
	n := 0
	for b.Loop() {
		completeClaim(l, n)
		l.now = l.now.Add(time.Second / 600)
		n++
	}
	b.ReportMetric(float64(l.applier.Claims()), "kept")
}

// BenchmarkSnapshot measures taking and restoring a snapshot of many claims.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range []int{1000, 100000} {
		b.Run(fmt.Sprint("claims=", claims), func(b *testing.B) {
			l := newLog()
			for n := range claims {
				completeClaim(l, n)
			}
			var snapshot []byte
			for b.Loop() {
				snapshot = l.applier.Snapshot()
			}
			b.ReportMetric(float64(len(snapshot))/float64(claims), "B/claim")
			start := time.Now()
			var fresh applier.Applier
			if err := fresh.Restore(snapshot); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(start).Microseconds()), "us/restore")
		})
	}
}

// BenchmarkChange measures changes of one file in a folder of 100 files with 50
// accounts each.
func BenchmarkChange(b *testing.B) {
	var files []messenger.File
	for i := range 100 {
		text := []byte(`{"accounts": {`)
		for j := range 50 {
			if j > 0 {
				text = append(text, ',')
			}
			text = fmt.Appendf(text, `"account-%d": {"token": "%064x", "share": 4}`, i*50+j, i*50+j)
		}
		files = append(files, messenger.File{Name: fmt.Sprintf("%03d.json", i), Data: append(text, "}}"...)})
	}
	l := newLog()
	version := uint64(0)
	for b.Loop() {
		files[0] = messenger.File{Name: "000.json", Data: fmt.Appendf(nil, `{"limits": {"body": %d}}`, version+1)}
		if a := l.apply(changeCommand(fmt.Sprint(version), version, version+1, files)); a.Version != version+1 {
			b.Fatal(a.Text)
		}
		version++
	}
}
