package conductor

import (
	"cmp"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/apportioner"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/scheduler"
)

const (
	// usesInterval is how long the list of uses for the other entries is not made anew. Entries
	// send it five times a second at most.
	usesInterval = 200 * time.Millisecond
	// figuresInterval is the time between two updates of the accounts' metrics.
	figuresInterval = time.Second
	// figuresAccounts is the number of accounts with metrics of their own.
	figuresAccounts = 20
	// othersName stands for the sum of the other accounts in metrics. No account can have it,
	// as names begin with a letter or a digit.
	othersName = "_others"
	// openName stands for callers without an account.
	openName = "_open"
)

// fairness is what the control goroutine keeps while accounts are served by their use.
type fairness struct {
	apportioner apportioner.Apportioner
	version     uint64 // of the configuration whose weights are in force
	uses        []messenger.Use
	usesAt      time.Time
	figuresAt   time.Time
	figures     map[string]bool                   // accounts with metrics
	asks        map[string]chan *messenger.Placed // questions of other entries that are kept, by ID
	reserve     map[string]func([]messenger.Sent) // called with the counts of the request when one is answered
	lastAsk     uint64
	askAfter    time.Time // the relay is not asked for requests without a place before
}

// configureFair puts limits.fair and the weights of the accounts in force.
func (c *control) configureFair(version uint64, cfg *configurer.Configurer) {
	if cfg == nil || !cfg.Limits.Fair {
		c.stopFair()
		return
	}
	if c.fair == nil {
		c.fair = &fairness{figures: map[string]bool{}, asks: map[string]chan *messenger.Placed{}, reserve: map[string]func([]messenger.Sent){}}
		c.scheduler.SetFair(&c.fair.apportioner)
		c.cfg.Log.WithField("accounts", len(cfg.Accounts)).Info("accounts are served by their use of the fleet")
	}
	if c.fair.version == version {
		return
	}
	c.fair.version = version
	weights := make(map[string]int, len(cfg.Accounts))
	for name, a := range cfg.Accounts {
		weights[name] = a.Share
	}
	c.fair.apportioner.SetWeights(weights)
}

func (c *control) stopFair() {
	if c.fair == nil {
		return
	}
	c.publishFigures(nil, apportioner.Figures{})
	c.fair = nil
	c.scheduler.SetFair(nil)
	c.cfg.Log.Info("accounts are no longer served by their use of the fleet")
}

// Uses returns the work that accounts have used at this process, nil unless they are served by
// it.
func (cd *Conductor) Uses() (out []messenger.Use) {
	c := cd.control
	c.do(func() {
		if c.fair == nil {
			return
		}
		if now := c.cfg.Now(); now.Sub(c.fair.usesAt) >= usesInterval {
			c.fair.uses, c.fair.usesAt = c.fair.apportioner.Report(now), now
		}
		out = c.fair.uses
	})
	return out
}

// RecordUses records the work that accounts have used at the other entries.
func (cd *Conductor) RecordUses(uses []messenger.Use, age time.Duration) {
	if len(uses) == 0 {
		return
	}
	c := cd.control
	c.do(func() {
		if c.fair != nil {
			c.fair.apportioner.SetPeers(c.cfg.Now(), uses, age)
		}
	})
}

// tickFair logs ended holds of accounts and updates the metrics of accounts.
func (c *control) tickFair() {
	if c.fair == nil {
		return
	}
	now := c.cfg.Now()
	for _, h := range c.fair.apportioner.EndedHolds(now) {
		c.holdLog(&h).WithFields(logrus.Fields{"refused": h.Refused, "since": h.Since}).Info("account no longer held back")
	}
	if now.Sub(c.fair.figuresAt) >= figuresInterval {
		c.fair.figuresAt = now
		c.publishFigures(c.fair.apportioner.Figures(now, figuresAccounts))
	}
}

// recordRefusal counts a refusal of an account that is above its share, and logs the first one.
func (c *control) recordRefusal(account string) {
	if c.fair == nil {
		return
	}
	(&meter{registry: c.cfg.Metrics}).count("fair.refused")
	if h := c.fair.apportioner.Refuse(c.cfg.Now(), account); h != nil {
		c.holdLog(h).Info("account held back: above its share")
	}
}

func (c *control) holdLog(h *apportioner.Hold) *logrus.Entry {
	age := int64(-1) // uses of other entries are not known
	if h.Known {
		age = h.Age.Milliseconds()
	}
	return c.cfg.Log.WithFields(logrus.Fields{"account": h.Account, "use": int(h.Use), "share": int(h.Share), "age": age})
}

// publishFigures sets the metrics of the given accounts and of the sum of the others, and removes
// those of accounts that are not given any more.
func (c *control) publishFigures(largest []apportioner.Figures, others apportioner.Figures) {
	names := map[string]bool{}
	if len(largest) > 0 {
		others.Account = othersName
		largest = append(largest, others)
	}
	for _, f := range largest {
		names[f.Account] = true
		c.setFigure("share", f.Account, f.Share)
		c.setFigure("use", f.Account, f.Use)
		c.setFigure("refused", f.Account, float64(f.Refused))
		c.setFigure("late", f.Account, float64(f.Late))
	}
	for name := range c.fair.figures {
		if names[name] {
			continue
		}
		for _, kind := range []string{"share", "use", "refused", "late"} {
			c.cfg.Metrics.Unregister(figureName(kind, name))
		}
	}
	c.fair.figures = names
}

func (c *control) setFigure(kind, account string, value float64) {
	metrics.GetOrRegisterGauge(figureName(kind, account), c.cfg.Metrics).Update(int64(value))
}

func figureName(kind, account string) string { return "fair." + kind + "." + cmp.Or(account, openName) }

// recordLate records a request whose first token came later than its objective, or that ended
// without one because no target was free in time.
func (x *execution) recordLate() {
	if !x.r.Config.Limits.Fair {
		return
	}
	c := x.cd.control
	c.do(func() {
		if c.fair != nil {
			c.fair.apportioner.Late(c.cfg.Now(), x.r.Account)
		}
	})
}

// settle charges the account of an attempt that has ended for what the target did.
func (a *attempt) settle() {
	if !a.x.r.Config.Limits.Fair {
		return
	}
	spent := a.spent()
	c := a.x.cd.control
	c.do(func() { c.scheduler.Settle(c.cfg.Now(), a.ticket, spent) })
}

// spent returns what the target has done for an attempt that has ended.
func (a *attempt) spent() scheduler.Spent {
	x := a.x
	x.mu.Lock()
	defer x.mu.Unlock()
	if a.sentAt.IsZero() || a.notRun {
		return scheduler.Spent{}
	}
	out := scheduler.Spent{Ran: true, Started: a.answering.Load(), Busy: x.cd.cfg.Now().Sub(a.sentAt), Output: a.output}
	if out.Output == 0 { // each event holds the tokens of a pass
		out.Output = max(0, a.eventsAfter-a.events) * max(1, x.r.Spec.Engine.Stride)
	}
	return out
}

// chargeGang charges the account of a request that several targets ran together.
func (c *control) chargeGang(r *chainer.Request, err error) {
	if err != nil && coder.Of(err).Run == coder.NotRun {
		return
	}
	c.do(func() { c.scheduler.ChargeWork(c.cfg.Now(), newTicket(r, nil)) })
}
