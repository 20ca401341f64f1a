package ganger

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/coder"
)

// retryAfter is when a refused caller may come back.
const retryAfter = 5 * time.Second

// plan chooses the fewest members that hold the job and cuts its prompt in
// proportion to their memory. It returns none if the job must wait, and an
// error if waiting can't help.
func plan(x *gang, candidates []Candidate, now time.Time) ([]member, *coder.Error) {
	need := x.Prompt + x.Prompt/marginShare + x.Output
	chosen, err := choose(x, candidates, need)
	if err != nil || chosen == nil {
		return nil, err
	}
	slices.SortFunc(chosen, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	members := cut(x, chosen)
	if now.Add(span(members)).After(x.Deadline) {
		e := coder.Errorf(coder.Overloaded, "%d tokens on %d targets take %s", x.Prompt, len(members), span(members))
		e.Retry = retryAfter
		return nil, e
	}
	return members, nil
}

// choose takes candidates until the need is met: first those that did not fail
// the gang, then by free memory. The answer must fit beside a segment on any of them.
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
		return len(slices.DeleteFunc(slices.Clone(x.avoid), func(l lost) bool { return l != lost{c.ID, c.Incarnation} }))
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

// cut gives each member its share of the prompt, in bytes and tokens.
func cut(x *gang, chosen []Candidate) []member {
	members := make([]member, len(chosen))
	total := -x.Output
	for _, c := range chosen {
		total += c.Free
	}
	done := 0
	for i, c := range chosen {
		room := c.Free
		if i == len(chosen)-1 {
			room -= x.Output
			members[i].output = x.Output
		}
		members[i].Candidate = c
		members[i].start = share(x.Text, done, total)
		first := share(x.Prompt, done, total)
		done += room
		members[i].end = share(x.Text, done, total)
		tokens := share(x.Prompt, done, total) - first
		members[i].tokens = min(tokens+tokens/marginShare+1, room)
	}
	return members
}

func share(n, part, total int) int {
	return int(int64(n) * int64(part) / int64(total))
}

// span predicts the time from the first segment to the end of the answer.
func span(members []member) time.Duration {
	var sum time.Duration
	for _, m := range members {
		sum += seconds(m.tokens, m.Speed) + seconds(m.output, m.Pace)
	}
	return sum
}

// fastest predicts the same on the best of all targets, each of them free.
func fastest(x *gang, candidates []Candidate) time.Duration {
	speed, pace := 0, 0
	for _, c := range candidates {
		speed, pace = max(speed, c.Speed), max(pace, c.Pace)
	}
	return seconds(x.Prompt, speed) + seconds(x.Output, pace)
}

func seconds(n, rate int) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(n) * time.Second / time.Duration(rate)
}
