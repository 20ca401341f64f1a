package ganger

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/coder"
)

// retryAfter is the delay after which a refused caller may retry.
const retryAfter = 5 * time.Second

// plan chooses the smallest number of members that hold the job and splits its prompt
// in proportion to their free memory. It returns no members if the job must wait, and
// an error if waiting cannot help.
func plan(x *gang, candidates []Candidate, now time.Time) ([]member, *coder.Error) {
	need := x.Prompt + x.Prompt/marginDivisor + x.Output
	chosen, err := choose(x, candidates, need)
	if err != nil || chosen == nil {
		return nil, err
	}
	slices.SortFunc(chosen, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	members := split(x, chosen)
	if now.Add(planDuration(members)).After(x.Deadline) {
		e := coder.Errorf(coder.Overloaded, "%d tokens on %d targets take %s", x.Prompt, len(members), planDuration(members))
		e.Retry = retryAfter
		return nil, e
	}
	return members, nil
}

// choose selects candidates until they hold the needed tokens: first those that failed
// the gang least often, then those with most free memory. A candidate qualifies only
// if the answer fits beside a segment, because any of them may become the last member.
func choose(x *gang, candidates []Candidate, need int) ([]Candidate, *coder.Error) {
	var usable []Candidate
	total := 0
	for _, c := range candidates {
		total += c.Memory
		if c.Free > 2*x.Output {
			usable = append(usable, c)
		}
	}
	if len(candidates) > 0 && total < need {
		return nil, coder.Errorf(coder.PromptTooLong, "%d tokens, all targets hold %d", need, total)
	}
	failed := func(c Candidate) int {
		return len(slices.DeleteFunc(slices.Clone(x.avoid), func(l failedTarget) bool { return l != failedTarget{c.ID, c.Incarnation} }))
	}
	slices.SortFunc(usable, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(failed(a), failed(b)), cmp.Compare(b.Free, a.Free), cmp.Compare(a.ID, b.ID))
	})
	for i, c := range usable {
		need -= c.Free
		if need <= 0 {
			return usable[:i+1], nil
		}
	}
	return nil, nil
}

// split assigns each member its proportion of the prompt, in bytes and tokens.
func split(x *gang, chosen []Candidate) []member {
	members := make([]member, len(chosen))
	total := -x.Output
	for _, c := range chosen {
		total += c.Free
	}
	done := 0
	for i, c := range chosen {
		available := c.Free
		if i == len(chosen)-1 {
			available -= x.Output
			members[i].output = x.Output
		}
		members[i].Candidate = c
		members[i].start = proportion(x.TextBytes, done, total)
		first := proportion(x.Prompt, done, total)
		done += available
		members[i].end = proportion(x.TextBytes, done, total)
		tokens := proportion(x.Prompt, done, total) - first
		members[i].tokens = min(tokens+tokens/marginDivisor+1, available)
	}
	return members
}

func proportion(n, part, total int) int {
	return int(int64(n) * int64(part) / int64(total))
}

// planDuration predicts the time from the start of the first segment to the end of the
// answer.
func planDuration(members []member) time.Duration {
	var sum time.Duration
	for _, m := range members {
		sum += tokenDuration(m.tokens, m.PrefillRate) + tokenDuration(m.output, m.DecodeRate)
	}
	return sum
}

// minDuration predicts the same time for the fastest candidates, all of them idle.
func minDuration(x *gang, candidates []Candidate) time.Duration {
	prefillRate, decodeRate := 0, 0
	for _, c := range candidates {
		prefillRate, decodeRate = max(prefillRate, c.PrefillRate), max(decodeRate, c.DecodeRate)
	}
	return tokenDuration(x.Prompt, prefillRate) + tokenDuration(x.Output, decodeRate)
}

func tokenDuration(n, rate int) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(n) * time.Second / time.Duration(rate)
}
