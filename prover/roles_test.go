package prover_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"bramleyshunt/loader"
)

const (
	ticksPerSecond = 100 // unit of the processor times in /proc on Linux
	pageBytes      = 4096
	idleDuration   = 10 * time.Second
)

// usage is the resource usage of one or more processes since their start.
type usage struct {
	cpu    time.Duration
	memory int // resident set size in bytes
}

// usage reads the resource usage of the process from /proc.
func (p *process) usage() usage {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest) // from the third field on, as proc(5) counts
	number := func(i int) int {
		n, err := strconv.Atoi(fields[i-3])
		Expect(err).NotTo(HaveOccurred())
		return n
	}
	ticks := number(14) + number(15)
	return usage{time.Duration(ticks) * time.Second / ticksPerSecond, number(24) * pageBytes}
}

// workload is a load whose resource usage is measured by role.
type workload struct {
	name     string
	requests int
	tokens   int // of each prompt
	output   int // tokens of each answer
}

// BenchmarkRoles measures processor time and memory of each role, which runs in
// processes of its own, for different workloads. docs/CAPACITY.md derives its slopes
// from the results.
func BenchmarkRoles(b *testing.B) {
	RegisterTestingT(b)
	SetDefaultEventuallyTimeout(eventTimeout)
	build()
	defer gexec.CleanupBuildArtifacts()
	f := newFleet(b)
	first, second := f.engine(1), f.engine(2)
	f.waitServed(0, "letters")
	f.waitServed(1, "letters")
	roles := map[string][]*process{
		"entry": f.entries, "agent": {f.agents[first], f.agents[second]}, "keeper": f.keepers,
	}
	for _, load := range []workload{{"short", 1000, 1000, 16}, {"talkative", 1000, 1000, 116}, {"long", 200, 64000, 16}} {
		b.Run(load.name, func(b *testing.B) {
			f.tb = b
			for range b.N {
				f.measure(b, load, roles)
			}
		})
	}
	b.Run("idle", func(b *testing.B) { measureIdle(b, roles) })
}

// measure runs a workload and reports processor time per request and resident memory
// per process of each role.
func (f *fleet) measure(b *testing.B, load workload, roles map[string][]*process) {
	before := usageByRole(roles)
	r := f.load(loader.Plan{
		Requests: load.requests, MaxInFlight: 16, Output: load.output, Timeout: 20 * time.Second, Seed: uint64(b.N),
		Mix: []loader.Share{{Weight: 1, Min: load.tokens, Max: load.tokens + 1}},
	}, 0, 1)
	expectComplete(r)
	for role, now := range usageByRole(roles) {
		b.ReportMetric(float64((now.cpu-before[role].cpu).Microseconds())/float64(load.requests), role+"-us/request")
		b.ReportMetric(float64(now.memory)/float64(len(roles[role]))/1e6, role+"-MB")
	}
}

// measureIdle reports the processor usage per process of each role without load.
func measureIdle(b *testing.B, roles map[string][]*process) {
	for range b.N {
		before := usageByRole(roles)
		<-time.After(idleDuration)
		for role, now := range usageByRole(roles) {
			used := (now.cpu - before[role].cpu).Seconds() / idleDuration.Seconds() / float64(len(roles[role]))
			b.ReportMetric(100*used, role+"-%core")
		}
	}
}

// usageByRole returns the total usage of the processes of each role.
func usageByRole(roles map[string][]*process) map[string]usage {
	all := map[string]usage{}
	for role, processes := range roles {
		sum := usage{}
		for _, p := range processes {
			c := p.usage()
			sum.cpu += c.cpu
			sum.memory += c.memory
		}
		all[role] = sum
	}
	return all
}
