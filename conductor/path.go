package conductor

import (
	"time"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/identifier"
	"bramleyshunt/matcher"
)

// tables is what is looked up for each request, of one configuration.
type tables struct {
	config     *configurer.Configurer
	identifier *identifier.Identifier
	matcher    *matcher.Matcher
}

// tables returns those of the configuration in force, code NotReady if there is none.
func (cd *Conductor) tables() (*tables, error) {
	v := cd.cfg.View()
	if v == nil {
		return nil, coder.Errorf(coder.NotReady, "")
	}
	t := cd.lookup.Load()
	if t == nil || t.config != v.Config {
		t = &tables{
			config: v.Config, identifier: identifier.New(v.Config.Accounts), matcher: matcher.New(v.Config.Paths),
		}
		cd.lookup.Store(t)
	}
	return t, nil
}

// Identify returns the client account of a token or key.
func (cd *Conductor) Identify(token string) (string, error) {
	t, err := cd.tables()
	if err != nil {
		return "", err
	}
	return t.identifier.Identify(token)
}

// Match finds the path of a request by its host and target, the account by its
// key, and the service. Errors: NotReady, NotFound, Unauthenticated.
func (cd *Conductor) Match(r *chainer.Request, host, target, key string) error {
	t, err := cd.tables()
	if err != nil {
		return err
	}
	r.Config = t.config
	if r.Via = t.matcher.Match(host, target); r.Via == nil {
		return coder.Errorf(coder.NotFound, "")
	}
	if !r.Via.Open && len(t.config.Accounts) > 0 {
		if r.Account, err = t.identifier.Identify(key); err != nil {
			return err
		}
	}
	r.Service = matcher.PickService(r.Via, r.ID)
	return nil
}

// byPath takes over what the path says of its requests.
func (cd *Conductor) byPath(r *chainer.Request, a configurer.Account) {
	r.Priority = r.Via.Priority
	if r.Account != "" {
		r.Priority = a.Priority
	}
	r.Stream = r.Via.Kind == configurer.KindStream
	r.Single = r.Via.Kind == configurer.KindUnsafe || r.Stream && !r.Via.Resume
	r.Once = r.Single
}

// least returns the shorter of two durations, of which zero is none.
func least(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
