package conductor

import (
	"time"

	"bramleyshunt/authenticator"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/matcher"
)

// tables holds the lookup tables that are built from one configuration.
type tables struct {
	config        *configurer.Configurer
	authenticator *authenticator.Authenticator
	matcher       *matcher.Matcher
}

// tables returns the lookup tables of the configuration in force. It fails with code
// NotReady if there is none.
func (cd *Conductor) tables() (*tables, error) {
	v := cd.cfg.View()
	if v == nil {
		return nil, coder.Errorf(coder.NotReady, "")
	}
	t := cd.cachedTables.Load()
	if t == nil || t.config != v.Config {
		t = &tables{
			config: v.Config, authenticator: authenticator.New(v.Config.Accounts), matcher: matcher.New(v.Config.Paths),
		}
		cd.cachedTables.Store(t)
	}
	return t, nil
}

// Identify returns the client account of a bearer token or API key.
func (cd *Conductor) Identify(token string) (string, error) {
	t, err := cd.tables()
	if err != nil {
		return "", err
	}
	return t.authenticator.Identify(token)
}

// Match sets the configuration, path, account and service of a request by its host,
// request URI and API key. It fails with code NotReady, NotFound or Unauthenticated.
func (cd *Conductor) Match(r *chainer.Request, host, uri, key string) error {
	t, err := cd.tables()
	if err != nil {
		return err
	}
	r.Config = t.config
	if r.PathConfig = t.matcher.Match(host, uri); r.PathConfig == nil {
		return coder.Errorf(coder.NotFound, "")
	}
	if !r.PathConfig.Open {
		if r.Account, err = t.authenticator.Identify(key); err != nil {
			return err
		}
	}
	r.Service = matcher.PickService(r.PathConfig, r.ID)
	return nil
}

// applyPathConfig sets the request fields that the configuration of its path
// determines.
func (cd *Conductor) applyPathConfig(r *chainer.Request, a configurer.Account) {
	r.Priority = r.PathConfig.Priority
	if r.Account != "" {
		r.Priority = a.Priority
	}
	r.Stream = r.PathConfig.Kind == configurer.KindStream
	r.SkipClaim = r.PathConfig.Kind == configurer.KindUnsafe || r.Stream && !r.PathConfig.Resume
	r.NonIdempotent = r.SkipClaim
}

// minNonZero returns the shorter of two durations, of which zero means unset.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
