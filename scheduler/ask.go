package scheduler

import (
	"cmp"
	"slices"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/queuer"
	"bramleyshunt/router"
)

const (
	// HoldAsk is how long a relay keeps the question of another entry while no target accepts
	// the request, so that the place that becomes free next goes to the request that is to be
	// served first. It is well below the 30 ms after which entries give up on an answer.
	HoldAsk = 20 * time.Millisecond
	// maxAsks bounds the questions that a relay keeps.
	maxAsks = 1024
	// maxTriedAsks bounds the kept questions of a queue that one decision tries without
	// success.
	maxTriedAsks = 16
	// maxAskFor bounds the queued tickets for which the relay is asked at a time.
	maxAskFor = 4
	// aboveShare is the use, in thousandths of the share, from which an account counts as above
	// it, as in package apportioner, and leastUse that below which uses count alike.
	aboveShare = 1100
	leastUse   = 500
)

// Ask is a question of another entry, which has the request in its queue.
type Ask struct {
	ID       string // unique among all entries
	Use      int    // of the request's account, in thousandths of the account's share
	Priority int    // higher is served first
	Ticket   *Ticket
	Queued   time.Duration // time spent in the entry's queue so far

	key queueKey
	seq uint64
}

// Grant is the answer to an Ask that a target accepts.
type Grant struct {
	ID     string
	Pick   router.Pick
	Counts []messenger.Sent // what the request adds to the counts of its targets
}

// AskUse returns the use of a ticket's account in thousandths of its share, and false where
// accounts are not served by their use.
func (s *Scheduler) AskUse(now time.Time, t *Ticket) (int, bool) {
	if s.fair == nil {
		return 0, false
	}
	share := s.fair.Share(now, t.Account)
	if share <= 0 {
		return 0, true
	}
	return int(min(1e6, 1000*s.fair.Use(now, t.Account)/share)), true
}

// KeepsAsks reports whether questions are kept while no target accepts the request.
func (s *Scheduler) KeepsAsks() bool { return s.fair != nil && len(s.asking) < maxAsks }

// Asks returns the number of questions that are kept.
func (s *Scheduler) Asks() int { return len(s.asking) }

// KeepAsk keeps a question until Grants answers it or ForgetAsk is called.
func (s *Scheduler) KeepAsk(a Ask) {
	s.ForgetAsk(a.ID)
	s.askSeq++
	a.seq, a.key = s.askSeq, s.key(a.Ticket)
	i, _ := slices.BinarySearchFunc(s.asking, &a, compareAsks)
	s.asking = slices.Insert(s.asking, i, &a)
}

// ForgetAsk removes a question and reports whether it was kept.
func (s *Scheduler) ForgetAsk(id string) bool {
	n := len(s.asking)
	s.asking = slices.DeleteFunc(s.asking, func(a *Ask) bool { return a.ID == id })
	return len(s.asking) < n
}

// compareAsks orders questions by priority, by the use of their account and by arrival.
func compareAsks(a, b *Ask) int {
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(max(a.Use, leastUse), max(b.Use, leastUse)), cmp.Compare(a.seq, b.seq))
}

// Grants answers the kept questions that targets accept now. With first, only those whose
// requests precede all that wait in the queues of this entry.
func (s *Scheduler) Grants(now time.Time, first bool) (out []Grant) {
	if len(s.asking) == 0 {
		return nil
	}
	refused, heads := map[queueKey]int{}, map[queueKey]queueHead(nil)
	if first {
		heads = s.heads(now)
	}
	s.asking = slices.DeleteFunc(s.asking, func(a *Ask) bool {
		if refused[a.key] >= maxTriedAsks || !a.precedes(heads) {
			return false
		}
		req := toRequest(a.Ticket)
		req.QueueTime = a.Queued
		pick, ok := s.Router.Pick(now, req)
		if !ok {
			refused[a.key]++
			return false
		}
		counts := s.Router.Counts(pick, req)
		s.Router.AddPeer(now, counts)
		out = append(out, Grant{ID: a.ID, Pick: pick, Counts: counts})
		return true
	})
	return out
}

// queueHead describes the first ticket of a queue.
type queueHead struct {
	priority int
	above    bool // its account is above its share
}

// heads describes the first ticket of each queue that has any.
func (s *Scheduler) heads(now time.Time) map[queueKey]queueHead {
	out := map[queueKey]queueHead{}
	for k, q := range s.queues {
		if it := q.Peek(); it != nil {
			out[k] = queueHead{priority: it.Priority, above: s.fair != nil && s.fair.Above(now, it.Account)}
		}
	}
	return out
}

// precedes reports whether a question precedes all tickets of its queue, given their heads.
func (a *Ask) precedes(heads map[queueKey]queueHead) bool {
	head, waits := heads[a.key]
	if !waits || head.priority != a.Priority {
		return !waits || a.Priority > head.priority
	}
	return a.Use <= aboveShare && head.above
}

// AskFor returns the queued tickets for which the relay should be asked now, although this entry
// knows no target that accepts them: the first ones of accounts within their shares. The counts of
// this entry are older than the relay's, which gives each free place to requests that it knows of.
// A ticket is not returned again until AskEnded is called.
func (s *Scheduler) AskFor(now time.Time) (out []*Ticket) {
	if s.fair == nil {
		return nil
	}
	for _, k := range s.keys {
		s.queues[k].EachHead(func(it *queuer.Item) bool {
			t := s.waiting[it.ID]
			if !t.asked && s.ShouldAsk(now, t) {
				t.asked = true
				out = append(out, t)
			}
			return len(out) < maxAskFor
		})
	}
	return out
}

// ShouldAsk reports whether the relay should be asked to keep a question for a ticket that it knows
// no place for: the account is within its share.
func (s *Scheduler) ShouldAsk(now time.Time, t *Ticket) bool {
	return s.fair != nil && t.Prefill > 0 && !t.firstAttempt.IsZero() && !s.fair.Above(now, t.Account)
}

// AskEnded records that the relay has answered for a ticket that AskFor returned, or has not.
func (s *Scheduler) AskEnded(t *Ticket) { t.asked = false }

// PlaceAt places a ticket that is queued or returned at targets that the relay has picked for it. It
// returns false if the ticket is neither any more or this entry may not send to them.
func (s *Scheduler) PlaceAt(now time.Time, t *Ticket, p router.Pick) bool {
	queued := s.waiting[t.ID] == t
	if !queued && s.returned[t.ID] != t || !s.Router.Accepts(now, p) || !p.InRegions(t.Regions) {
		return false
	}
	if queued {
		delete(s.waiting, t.ID)
		s.queues[s.key(t)].Take(t.ID)
	}
	delete(s.returned, t.ID)
	s.Router.Sent(now, p, toRequest(t))
	s.reserved(t, p)
	s.chargePlacement(now, t, p)
	return true
}
