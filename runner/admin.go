package runner

import (
	"net/http"

	"bramleyshunt/administrator"
	"bramleyshunt/reporter"
)

// status returns a view of this process for operators.
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

// admin serves operators. Only keepers take changes; every process shows its
// status and metrics.
func (r *Runner) admin() http.Handler {
	cfg := administrator.Config{
		Key: r.cfg.Key, Call: r.proposer.Call, Keepers: r.cfg.Settings.Keepers, Pool: r.pool,
		Status: r.status, Log: r.cfg.Log, Metrics: r.cfg.Metrics,
	}
	if r.Keeper != nil {
		cfg.Applier, cfg.Confirm, cfg.Targets = r.Applier, r.Keeper.Confirm, r.Publisher.Targets
	}
	return administrator.New(cfg)
}
