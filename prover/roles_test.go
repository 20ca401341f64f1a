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
	ticksPerSecond = 100 // of the processor times in /proc on Linux
	pageBytes      = 4096
	idleTime       = 10 * time.Second
)

// cost is what a process has used so far.
type cost struct {
	cpu    time.Duration
	memory int // bytes resident
}

// cost reads what the process has used from /proc.
func (p *process) cost() cost {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest) // from the third field on
	number := func(i int) int {
		n, err := strconv.Atoi(fields[i-3])
		Expect(err).NotTo(HaveOccurred())
		return n
	}
	ticks := number(14) + number(15)
	return cost{time.Duration(ticks) * time.Second / ticksPerSecond, number(24) * pageBytes}
}

// shape is one load whose cost by role is measured.
type shape struct {
	name     string
	requests int
	tokens   int // of each prompt
	output   int // tokens of each answer
}

// BenchmarkRoles gives processor time and memory of each role for loads of
// different shapes, as separate processes: the slopes of docs/CAPACITY.md.
func BenchmarkRoles(b *testing.B) {
	RegisterTestingT(b)
	SetDefaultEventuallyTimeout(patience)
	build()
	defer gexec.CleanupBuildArtifacts()
	f := newFleet(b)
	one, two := f.engine(1), f.engine(2)
	f.served(0, "letters")
	f.served(1, "letters")
	roles := map[string][]*process{
		"entry": f.entries, "agent": {f.agents[one], f.agents[two]}, "keeper": f.keepers,
	}
	for _, s := range []shape{{"short", 1000, 1000, 16}, {"talkative", 1000, 1000, 116}, {"long", 200, 64000, 16}} {
		b.Run(s.name, func(b *testing.B) {
			f.tb = b
			for range b.N {
				f.measure(b, s, roles)
			}
		})
	}
	b.Run("idle", func(b *testing.B) { idle(b, roles) })
}

func (f *fleet) measure(b *testing.B, s shape, roles map[string][]*process) {
	before := costs(roles)
	r := f.load(loader.Plan{
		Requests: s.requests, MaxInFlight: 16, Output: s.output, Timeout: 20 * time.Second, Seed: uint64(b.N),
		Mix: []loader.Share{{Weight: 1, Min: s.tokens, Max: s.tokens + 1}},
	}, 0, 1)
	expectWhole(r)
	for role, now := range costs(roles) {
		b.ReportMetric(float64((now.cpu-before[role].cpu).Microseconds())/float64(s.requests), role+"-us/request")
		b.ReportMetric(float64(now.memory)/float64(len(roles[role]))/1e6, role+"-MB")
	}
}

func idle(b *testing.B, roles map[string][]*process) {
	for range b.N {
		before := costs(roles)
		<-time.After(idleTime)
		for role, now := range costs(roles) {
			used := (now.cpu - before[role].cpu).Seconds() / idleTime.Seconds() / float64(len(roles[role]))
			b.ReportMetric(100*used, role+"-%core")
		}
	}
}

// costs sums the costs of the processes of each role.
func costs(roles map[string][]*process) map[string]cost {
	all := map[string]cost{}
	for role, processes := range roles {
		sum := cost{}
		for _, p := range processes {
			c := p.cost()
			sum.cpu += c.cpu
			sum.memory += c.memory
		}
		all[role] = sum
	}
	return all
}
