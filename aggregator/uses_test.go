package aggregator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"bramleyshunt/messenger"
)

// useFleet returns a settled fleet in which each entry has used work of some accounts.
func useFleet(entries, accounts int, seed uint64) *fleet {
	f := newFleet(entries, seed)
	for _, x := range f.nodes {
		for a := range accounts {
			if work := f.rng.IntN(3000) - 500; work > 0 {
				x.uses = append(x.uses, messenger.Use{Account: uint64(a + 1), Work: work})
			}
		}
		x.uses = messenger.SumUses(x.uses)
	}
	f.run(settled)
	return f
}

// othersUses returns the uses of all live entries but one.
func (f *fleet) othersUses(x *node) []messenger.Use {
	var all [][]messenger.Use
	for _, y := range f.nodes {
		if y != x && !y.gone && !y.frozen && !y.unseen {
			all = append(all, y.uses)
		}
	}
	return messenger.SumUses(all...)
}

func total(uses []messenger.Use) (work int) {
	for _, u := range uses {
		work += u.Work
	}
	return work
}

// wrongUses describes an entry whose knowledge of the others' uses is not exact.
func (f *fleet) wrongUses() string {
	for _, x := range f.nodes {
		if x.gone || x.frozen || x.unseen {
			continue
		}
		m, _ := x.agg.Others(f.now)
		if want := f.othersUses(x); !slices.Equal(m.Uses, want) {
			return fmt.Sprintf("%s knows %v, others have %v", x.name, m.Uses, want)
		}
		if m.UsesAge > 1000 {
			return fmt.Sprintf("%s knows uses %d ms old", x.name, m.UsesAge)
		}
	}
	return ""
}

// Pattern: accounts seen at any set of entries. Guards against uses that are counted twice, lost,
// or include the receiver's own.
func TestUsesAreSumsOfTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 4, 27, 45}).Draw(t, "entries")
		f := useFleet(n, rapid.IntRange(1, messenger.MaxUses).Draw(t, "accounts"), rapid.Uint64().Draw(t, "seed"))
		if wrong := f.wrongUses(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// Pattern: many small accounts together, more than a message lists. Guards against work that is
// left out of the total.
func TestUsesBeyondTheListAreSummed(t *testing.T) {
	g, f := NewWithT(t), useFleet(27, 200, 1)
	for _, x := range f.nodes {
		m, _ := x.agg.Others(f.now)
		g.Expect(len(m.Uses)).To(BeNumerically("<=", messenger.MaxUses+1))
		var want int
		for _, y := range f.nodes {
			if y != x {
				want += total(y.uses)
			}
		}
		g.Expect(total(m.Uses)).To(Equal(want), x.name)
	}
}

// Pattern: an entry or a relay is lost. Guards against uses of a dead entry that remain, and
// against uses that are ignored everywhere because those of a dead entry are old.
func TestUsesOfALostEntryExpire(t *testing.T) {
	for name, lose := range map[string]func(*node){
		"frozen": func(x *node) { x.frozen = true }, "cut off": func(x *node) { x.unseen = true },
	} {
		t.Run(name, func(t *testing.T) {
			g, f := NewWithT(t), useFleet(30, 24, 1)
			for _, lost := range []*node{f.relays()[0], f.members()[0]} {
				lose(lost)
				for range 200 {
					f.run(10 * time.Millisecond)
					g.Expect(f.relayWithoutUses()).To(BeEmpty())
				}
				g.Expect(f.wrongUses()).To(BeEmpty())
			}
		})
	}
}

// relayWithoutUses describes a relay that knows no uses young enough to be used.
func (f *fleet) relayWithoutUses() string {
	for _, x := range f.relays() {
		if m, _ := x.agg.Others(f.now); !x.frozen && !x.unseen && (len(m.Uses) == 0 || m.UsesAge > 1000) {
			return fmt.Sprintf("%s, %d accounts, %d ms old", x.name, len(m.Uses), m.UsesAge)
		}
	}
	return ""
}

// members returns the live entries that do not relay.
func (f *fleet) members() (out []*node) {
	for _, x := range f.nodes {
		if _, member := x.agg.Relay(); member && !x.gone && !x.frozen {
			out = append(out, x)
		}
	}
	return out
}

// Guards against lists of accounts in each of the frequent messages, and against any byte that an
// entry without fairness would not send.
func TestUsesCostFewBytes(t *testing.T) {
	bytesPerSecond := func(accounts int) map[string]int {
		f := useFleet(103, accounts, 1)
		out := map[string]int{}
		f.sent = func(x *node, to int, m messenger.Share) {
			p, err := msgpack.Marshal(&messenger.Share{Uses: m.Uses, UsesAge: m.UsesAge})
			if err != nil {
				t.Fatal(err)
			}
			empty, _ := msgpack.Marshal(&messenger.Share{})
			out[x.name] += to * (len(p) - len(empty))
		}
		f.changeTenTimes(time.Second)
		return out
	}
	g := NewWithT(t)
	for _, n := range bytesPerSecond(0) {
		g.Expect(n).To(BeZero())
	}
	most, with := 0, bytesPerSecond(24)
	for _, n := range with {
		most = max(most, n)
	}
	members := 0
	f := useFleet(103, 24, 1)
	for _, x := range f.members() {
		members = max(members, with[x.name])
	}
	t.Logf("24 accounts, 103 entries: members send up to %d B/s, relays up to %d B/s", members, most)
	g.Expect(members).To(BeNumerically("<=", 2000))
	g.Expect(most).To(BeNumerically("<=", 40000))
}

// Pattern: a forged or damaged report. Guards against sums that overflow or turn negative.
func TestAbsurdUsesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uses := rapid.SliceOf(rapid.Custom(func(t *rapid.T) messenger.Use {
			return messenger.Use{Account: rapid.Uint64Range(0, 100).Draw(t, "account"), Work: rapid.Int().Draw(t, "work")}
		})).Draw(t, "uses")
		sum := messenger.SumUses(uses)
		if len(sum) > messenger.MaxUses+1 {
			t.Fatalf("%d accounts", len(sum))
		}
		for _, u := range sum {
			if u.Work <= 0 {
				t.Fatalf("use %d", u.Work)
			}
		}
	})
}

// Guards against builds side by side that can't read each other's shares.
func TestUsesOnTheWire(t *testing.T) {
	g := NewWithT(t)
	in := messenger.Share{Node: "e", Uses: []messenger.Use{{Work: 7}, {Account: 1 << 31, Work: 40000}}, UsesAge: 12}
	p, err := msgpack.Marshal(&in)
	g.Expect(err).NotTo(HaveOccurred())
	var out messenger.Share
	g.Expect(msgpack.Unmarshal(p, &out)).To(Succeed())
	g.Expect(out).To(Equal(in))

	later, err := msgpack.Marshal([]any{uint64(3), 4, "a field of a later release"})
	g.Expect(err).NotTo(HaveOccurred())
	var u messenger.Use
	g.Expect(msgpack.Unmarshal(later, &u)).To(Succeed())
	g.Expect(u).To(Equal(messenger.Use{Account: 3, Work: 4}))
}
