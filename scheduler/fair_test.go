package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// smalls is the load of sixteen small accounts at all entries.
func smalls(perS float64) (out []arrival) {
	for i := range 16 {
		out = append(out, arrival{account: fmt.Sprint("small-", i), entry: -1, perS: perS, prompt: 2000, answer: 150})
	}
	return out
}

func isSmall(account string) bool { return strings.HasPrefix(account, "small") }
func isLarge(account string) bool { return !isSmall(account) }
func anyone(string) bool          { return true }

// burst returns a load with sixteen small accounts beside which others burst from 3 s to 10 s.
func burst(others ...arrival) func(time.Duration) []arrival {
	return func(at time.Duration) []arrival {
		out := smalls(2)
		if at >= 3*time.Second && at < 10*time.Second {
			out = append(out, others...)
		}
		return out
	}
}

var (
	large    = arrival{account: "large", entry: 1, perS: 300, prompt: 3000, answer: 150}
	atRelay  = arrival{account: "large", entry: 0, perS: 300, prompt: 3000, answer: 150}
	atAll    = arrival{account: "large", entry: -1, perS: 300, prompt: 3000, answer: 150}
	newcomer = arrival{account: "small-new", entry: -1, perS: 4, prompt: 2000, answer: 150}
	newBurst = arrival{account: "new", entry: -1, perS: 200, prompt: 2000, answer: 150}
	longOnly = arrival{account: "large", entry: -1, perS: 40, prompt: 100000, answer: 150}
	fewLong  = arrival{account: "small-long", entry: -1, perS: 2, prompt: 100000, answer: 150}
)

// newcomers has accounts appear anew at 6 s, beside one that bursts since 3 s.
func newcomers(at time.Duration) []arrival {
	out := burst(atAll)(at)
	if at >= 6*time.Second && at < 10*time.Second {
		out = append(out, newcomer, newBurst)
	}
	return out
}

// manySmall has sixty accounts overload the targets together, and no large one.
func manySmall(at time.Duration) []arrival {
	out := smalls(3)
	for i := range 44 {
		out = append(out, arrival{account: fmt.Sprint("small-more-", i), entry: i % 4, perS: 3, prompt: 2000, answer: 150})
	}
	if at < 3*time.Second || at >= 10*time.Second {
		return out[:16]
	}
	return out
}

// sameWork is the part of the work served without fairness that must be served with it. Which
// requests are served differs, and so does what remains to be done at the end of the trace.
const sameWork = 0.99

// Guards against an account whose burst makes the requests of the others late or lost, at whichever
// entries it sends, and against fairness that leaves places unused: in each pattern at least as much
// work is served as without it.
func TestSmallAccountsKeepTheirWaitInABurst(t *testing.T) {
	for name, x := range map[string]struct {
		p       pattern
		late    float64 // part of the small accounts' requests that may be late or lost
		without float64 // at least that many are without fairness
	}{
		"one account bursts at one entry":               {pattern{arrivals: burst(large)}, 0.03, 0.1},
		"one account bursts at the entry that relays":   {pattern{arrivals: burst(atRelay)}, 0.03, 0.1},
		"one account bursts at all entries":             {pattern{arrivals: burst(atAll)}, 0.03, 0.1},
		"accounts appear anew":                          {pattern{arrivals: newcomers}, 0.05, 0.1},
		"counts are seconds old":                        {pattern{arrivals: burst(atAll), usesAge: 3 * time.Second}, 0.03, 0.1},
		"the relay is lost for two seconds":             {pattern{arrivals: burst(atAll), lost: func(at time.Duration) bool { return at >= 5*time.Second && at < 7*time.Second }}, 0.1, 0.1},
		"no relay picks targets":                        {pattern{arrivals: burst(atAll), noRelay: true}, 0.06, 0},
		"an account whose use is all very long prompts": {pattern{arrivals: burst(longOnly, fewLong)}, 0.06, 0},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := compare(t, x.p)
			if !after.above["large"] {
				t.Error("the large account does not count as above its share")
			}
			if got := after.small.missed(); got > x.late {
				t.Errorf("%.1f %% of the small accounts' requests late or lost, at most %.1f %% allowed", 100*got, 100*x.late)
			}
			if got := before.small.missed(); got < x.without {
				t.Errorf("%.1f %% late or lost without fairness: the pattern shows nothing", 100*got)
			}
			if with, without := after.all.work, before.all.work; with < sameWork*without {
				t.Errorf("%.0f ms served, %.0f ms without fairness", with, without)
			}
		})
	}
}

// missed returns the part of the requests that were late or not served.
func (o outcome) missed() float64 {
	return float64(o.late+o.sent-len(o.waits)) / float64(max(1, o.sent))
}

// sums are the outcomes of several seeds.
type sums struct {
	small, large, all outcome
	busy              float64
	above             map[string]bool // of the last seed
	accounts          map[string]*outcome
}

// compare plays a pattern with seeds 1 to 3, without fairness and with it, and logs what became of
// the requests.
func compare(t *testing.T, p pattern) (before, after sums) {
	t.Helper()
	p.entries, p.seconds = 4, 16
	for _, s := range []*sums{&before, &after} {
		p.fair = s == &after
		s.accounts = map[string]*outcome{}
		for p.seed = 1; p.seed <= 3; p.seed++ {
			s.add(play(p))
		}
		t.Logf("fairness %v, %.4f of the places in use\n  small: %s\n  large: %s\n  all:   %s", p.fair, s.busy/3, s.small, s.large, s.all)
	}
	return before, after
}

func (s *sums) add(f *fairFleet) {
	s.small, s.large, s.all = s.small.plus(f.of(isSmall)), s.large.plus(f.of(isLarge)), s.all.plus(f.of(anyone))
	s.busy += f.busy
	s.above = f.above
	for account, o := range f.outcomes {
		if s.accounts[account] == nil {
			s.accounts[account] = &outcome{}
		}
		*s.accounts[account] = s.accounts[account].plus(*o)
	}
}

// Pattern: many small accounts together. Guards against fairness that serves fewer where nobody is
// to blame, or starves one of many equal accounts.
func TestManySmallAccountsShareAlike(t *testing.T) {
	before, after := compare(t, pattern{arrivals: manySmall})
	if with, without := after.all.work, before.all.work; with < sameWork*without {
		t.Errorf("%.0f ms served, %.0f ms without fairness", with, without)
	}
	for account, o := range after.accounts {
		if len(o.waits) < o.sent/2 {
			t.Errorf("%s: %s", account, o)
		}
	}
}
