package conductor

import (
	"maps"
	"slices"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/watcher"
)

// restrict sets the regions where a request may be served. It returns an error with code
// NoRegion and no retry delay if its path and its account exclude each other.
func (cd *Conductor) restrict(r *chainer.Request) error {
	regions, err := regionsOf(r.Config, r.PathConfig, r.Account)
	if err != nil {
		cd.meter.count("regions.excluded")
		return err
	}
	r.Regions = regions
	return nil
}

// regionsOf returns the regions that a path and an account allow by a configuration, none if
// they allow all. The path may be nil.
func regionsOf(cfg *configurer.Configurer, path *configurer.Path, account string) ([]string, error) {
	var byPath []string
	if path != nil {
		byPath = path.Regions
	}
	regions, ok := configurer.AllowedRegions(byPath, cfg.Accounts[account].Regions)
	if !ok {
		return nil, coder.Errorf(coder.NoRegion, "the path and the account have no region in common")
	}
	return regions, nil
}

// regionsInForce returns the regions where an attempt that begins now may run: those of the
// request's arrival, further restricted by the configuration in force if that has changed.
func (cd *Conductor) regionsInForce(r *chainer.Request) ([]string, error) {
	t, err := cd.tables()
	if err != nil || t.config == r.Config {
		return r.Regions, nil // without a view the request isn't sent
	}
	path := r.PathConfig
	if path != nil {
		path = t.matcher.Match(r.Host, r.Path)
	}
	now, err := regionsOf(t.config, path, r.Account)
	if err != nil {
		return nil, err
	}
	regions, ok := configurer.AllowedRegions(r.Regions, now)
	if !ok {
		return nil, coder.Errorf(coder.NoRegion, "the configuration has changed and leaves no region")
	}
	return regions, nil
}

// followRegions queues a request again if the configuration in force allows it other regions than
// it waits for. It returns the channel of its placement, or an error if no region is left.
func (a *attempt) followRegions(placed chan scheduler.Placement, suspect bool) (chan scheduler.Placement, error) {
	cd := a.x.cd
	regions, err := cd.regionsInForce(a.x.r)
	if err == nil && slices.Equal(regions, a.ticket.Regions) {
		return placed, nil
	}
	cd.control.abandon(a.ticket, placed)
	if err != nil {
		return nil, err
	}
	a.ticket.Regions = regions
	return cd.control.enqueue(a.ticket, suspect), nil
}

// reconfigured tells waiting goroutines that another configuration is in force. The zero value
// is ready to use.
type reconfigured struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that is closed by the next call of notify.
func (r *reconfigured) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ch == nil {
		r.ch = make(chan struct{})
	}
	return r.ch
}

func (r *reconfigured) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ch != nil {
		close(r.ch)
		r.ch = nil
	}
}

// checkRegions returns errTargetHeld if a target of a pick lies outside the regions in force: the
// configuration has changed since it was picked.
func (cd *Conductor) checkRegions(r *chainer.Request, pick router.Pick) error {
	regions, err := cd.regionsInForce(r)
	if err == nil && pick.InRegions(regions) {
		return nil
	}
	cd.logOutside(r, pick.Target, regions)
	return errTargetHeld
}

// checkMemberRegions returns an error if the target of a gang's member lies outside the regions in
// force.
func (cd *Conductor) checkMemberRegions(r *chainer.Request, target string) error {
	regions, err := cd.regionsInForce(r)
	if err != nil || len(regions) == 0 {
		return err
	}
	var t messenger.Target
	cd.control.do(func() { t = cd.control.scheduler.Router.Target(target) })
	if router.InRegions(t, regions) {
		return nil
	}
	cd.logOutside(r, t, regions)
	return coder.Errorf(coder.NoRegion, "target %s", target)
}

func (cd *Conductor) logOutside(r *chainer.Request, t messenger.Target, regions []string) {
	cd.meter.count("regions.outside")
	cd.cfg.Log.WithFields(logrus.Fields{
		"request": r.CallerID, "id": r.ID, "target": t.ID, "region": t.Region, "regions": regions,
	}).Info("not sent: target outside the allowed regions")
}

// observeRegions counts the targets of a view by region, and logs the counts when they change
// where any region is known.
func (c *control) observeRegions(v *watcher.View) {
	counts := map[string]int{}
	for _, t := range v.Targets {
		if !t.Aggregates { // not another entry
			counts[t.Region]++
		}
	}
	if known := len(counts) > 1 || len(counts) == 1 && counts[""] == 0; !known && len(c.regions) == 0 || maps.Equal(counts, c.regions) {
		return
	}
	c.regions = counts
	metrics.GetOrRegisterGauge("entry.regions", c.cfg.Metrics).Update(int64(len(counts) - min(1, counts[""])))
	metrics.GetOrRegisterGauge("entry.regions.unknown", c.cfg.Metrics).Update(int64(counts[""]))
	c.cfg.Log.WithFields(logrus.Fields{"version": v.Version, "targets": maps.Clone(counts)}).Info("regions of targets changed")
}
