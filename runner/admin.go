package runner

import (
	"net/http"

	"bramleyshunt/administrator"
	"bramleyshunt/reporter"
)

// status returns the status of this process that the administration API reports.
func (r *Runner) status() *reporter.Process {
	s := r.cfg.Settings
	st := &reporter.Process{Node: s.Node, Zone: s.Zone, Roles: s.Roles, Version: r.Version()}
	if r.Keeper != nil {
		k := r.Keeper.Status()
		st.Keeper = &k
	}
	if r.Entry != nil {
		e := r.Entry.Status()
		st.Entry = &e
	}
	if r.Agent != nil {
		t := r.Agent.Target()
		st.Target = &t
	}
	return st
}

// adminHandler returns the handler of the administration API. Every process
// serves its status and metrics; only keepers accept changes.
func (r *Runner) adminHandler() http.Handler {
	cfg := administrator.Config{
		Key: r.cfg.Key, Bodies: r.Bodies, Call: r.proposer.Call, Keepers: r.cfg.Settings.Keepers, Pool: r.pool,
		Status: r.status, Log: r.cfg.Log, Metrics: r.cfg.Metrics,
	}
	if r.Keeper != nil {
		cfg.Applier, cfg.Confirm, cfg.Targets = r.Applier, r.Keeper.Confirm, r.Publisher.Targets
	}
	return administrator.New(cfg)
}
