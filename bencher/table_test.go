package bencher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc/iter"

	"bramleyshunt/bencher"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// variant is one row of a table: a named change to the run.
type variant struct {
	name string
	edit func(*bencher.Bencher)
}

// TestTables prints the tables of docs/POLICY.md selected by the -tables flag.
func TestTables(*testing.T) {
	printTable("policies", []float64{0.5, 0.8, 1, 1.3, 2}, policies())
	printTable("parts", []float64{0.8, 1.3, 2}, parts())
	printTable("lanes", []float64{0.8, 1.3}, lanes())
	printTable("faults", []float64{0.8, 1.3}, faults())
}

func printTable(name string, loads []float64, vs []variant) {
	if *tables == "" || !strings.Contains(name, *tables) {
		return
	}
	for _, d := range deployments() {
		if !strings.Contains(d.Name, *fleet) {
			continue
		}
		fmt.Printf("\n%s, %s\n\n%s\n", d.Name, name, d.TableHeader())
		for _, load := range loads {
			for _, v := range vs {
				b := bencher.Bencher{Deployment: d, Load: load, Length: 2 * time.Minute}
				v.edit(&b)
				fmt.Println(row(v.name, b))
			}
		}
	}
}

// TestParts prints the effect of each part of the policy as a mean over seeds, if the
// -tables flag is "earned".
func TestParts(*testing.T) {
	if *tables != "earned" {
		return
	}
	for _, d := range deployments() {
		for _, load := range []float64{0.8, 1.3} {
			fmt.Printf("\n%s, load %.0f %%, mean of seeds 1 to %d\n\n%s\n", d.Name, 100*load, seeds, meanHeader)
			for _, v := range append(parts(), lanes()[1:4]...) {
				fmt.Println(meanRow(v, bencher.Bencher{Deployment: d, Load: load, Length: time.Minute}))
			}
		}
	}
}

const (
	seeds      = 4
	workers    = 3 // parallel runs
	meanHeader = "| policy | short p99 ms | slowdown p99 | in 0.48 s % | huge p95 s | refused % | given up % | missed | goodput % | fairness | agent refusals |\n|---|---|---|---|---|---|---|---|---|---|---|"
)

func meanRow(v variant, b bencher.Bencher) string {
	sums := iter.Mapper[int, [10]float64]{MaxGoroutines: workers}.Map([]int{1, 2, 3, 4}, func(i *int) [10]float64 {
		x := b
		x.Seed = uint64(*i)
		v.edit(&x)
		withoutLong := x
		withoutLong.NoLong = true
		reference, r := withoutLong.Run(), x.Run()
		return [10]float64{
			float64(r.TTFT(messenger.Short, 0.99).Milliseconds()), r.Slowdown(reference, 0.99), 100 * r.InTime(),
			r.TTFT(messenger.Huge, 0.95).Seconds(), 100 * r.Refused(), 100 * r.GivenUp(), float64(r.Missed()),
			100 * r.Goodput(&x), r.Fairness(), r.Refusals(),
		}
	})
	line := "| " + v.name + " |"
	for i := range 10 {
		sum := 0.0
		for _, s := range sums {
			sum += s[i] / seeds
		}
		line += fmt.Sprintf(" %.2f |", sum)
	}
	return line
}

func policies() []variant {
	return []variant{
		{"ours", func(*bencher.Bencher) {}},
		{"round robin", func(b *bencher.Bencher) { b.Kind = bencher.RoundRobin }},
		{"least outstanding", func(b *bencher.Bencher) { b.Kind = bencher.LeastOutstanding }},
		{"least outstanding, priorities", func(b *bencher.Bencher) { b.Kind, b.BaselinePriority = bencher.LeastOutstanding, true }},
	}
}

func parts() []variant {
	return []variant{
		{"ours", func(*bencher.Bencher) {}},
		{"no engine priority", func(b *bencher.Bencher) { b.Disabled.Priority = true }},
		{"no own sends", func(b *bencher.Bencher) { b.Disabled.Router = router.Features{OwnSends: true} }},
		{"no aging of reports", func(b *bencher.Bencher) { b.Disabled.Router = router.Features{Aging: true} }},
		{"no cached prefix", func(b *bencher.Bencher) { b.Disabled.Router = router.Features{Cached: true} }},
		{"no wait by class", func(b *bencher.Bencher) { b.Disabled.Router = router.Features{ClassWait: true} }},
		{"no check at the edge", func(b *bencher.Bencher) { b.Disabled.Router = router.Features{RoomCheck: true} }},
		{"no bound on the wait", func(b *bencher.Bencher) { b.Disabled.Router = router.Features{WaitBound: true} }},
		{"no fair queue", func(b *bencher.Bencher) { b.Disabled.Fair = true }},
		{"no admission", func(b *bencher.Bencher) { b.Disabled.Admission = true }},
		{"tight", func(b *bencher.Bencher) { b.LongTimeoutFactor = 0.3 }},
		{"tight, no admission", func(b *bencher.Bencher) { b.LongTimeoutFactor, b.Disabled.Admission = 0.3, true }},
	}
}

func lanes() []variant {
	set := func(share float64) func(*bencher.Bencher) {
		return func(b *bencher.Bencher) { b.Deployment.ShortReplicas = int(share * float64(b.Deployment.Replicas)) }
	}
	return []variant{
		{"no lanes", set(0)}, {"short 20 %", set(0.2)}, {"short 35 %", set(0.35)}, {"short 50 %", set(0.5)},
		{"no engine priority", func(b *bencher.Bencher) { b.Disabled.Priority = true }},
		{"no engine priority, short 35 %", func(b *bencher.Bencher) {
			set(0.35)(b)
			b.Disabled.Priority = true
		}},
	}
}

func faults() []variant {
	return []variant{
		{"one target lost", func(b *bencher.Bencher) { b.LoseTarget = true }},
		{"one account tenfold", func(b *bencher.Bencher) { b.LastAccountFactor = 10 }},
		{"tenfold, no fair queue", func(b *bencher.Bencher) { b.LastAccountFactor, b.Disabled.Fair = 10, true }},
	}
}
