package conductor

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/identifier"
	"bramleyshunt/messenger"
)

const (
	// DefaultTimeout holds when neither caller nor service names one.
	DefaultTimeout = time.Minute
	// DefaultLongest bounds what a caller may ask for when the service doesn't.
	DefaultLongest = time.Hour

	writeSlack = time.Second // beyond the deadline, for the final answer
)

// chain returns the filters in the order in which a request passes them.
func (cd *Conductor) chain() chainer.Handler {
	c := chainer.Chainer{Filters: []chainer.Filter{
		cd.allow, cd.limitTime, cd.measure, cd.quarantine, cd.limit, cd.claim, cd.admit,
	}}
	return c.Then(cd.run)
}

// allow checks the service and the account's right to it.
func (cd *Conductor) allow(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		spec, ok := r.Config.Services[r.Service]
		if !ok || r.Via == nil && (spec.Kind == "engine") != (r.Model != "") {
			return coder.Errorf(coder.UnknownService, "%.64q", r.Service)
		}
		a := r.Config.Accounts[r.Account]
		if err := (&identifier.Identifier{}).Allow(a, r.Service); err != nil {
			return err
		}
		r.Spec = spec
		r.Priority = spec.Priority + a.Priority
		r.Once = once(spec, r.Method, r.Path)
		if r.Via != nil {
			cd.byPath(r, a)
		}
		cd.label(r)
		return next(ctx, r)
	}
}

// once reports whether a call must not be repeated. Without routes a plain
// service's calls are idempotent by their method, as HTTP defines it.
func once(s configurer.Service, method, path string) bool {
	if s.Once || s.Kind == "engine" {
		return s.Once
	}
	for _, route := range s.Routes {
		if (route.Method == "" || strings.EqualFold(route.Method, method)) && strings.HasPrefix(path, route.Prefix) {
			return route.Once
		}
	}
	return method == http.MethodPost || method == http.MethodPatch
}

// limitTime sets the deadline and ends the request at it.
func (cd *Conductor) limitTime(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		longest := seconds(r.Spec.Longest, DefaultLongest)
		if r.Timeout > longest {
			return coder.Errorf(coder.BadTimeout, "more than %s", longest)
		}
		if r.Via != nil {
			r.Timeout = least(r.Timeout, seconds(r.Via.Timeout, DefaultTimeout))
		}
		if r.Timeout == 0 {
			r.Timeout = min(longest, seconds(r.Spec.Timeout, DefaultTimeout))
		}
		r.Deadline = r.Arrived.Add(r.Timeout)
		r.Answer.Until(r.Deadline.Add(writeSlack))
		ctx, stop := context.WithTimeout(ctx, r.Deadline.Sub(cd.cfg.Now()))
		defer stop()
		return next(ctx, r)
	}
}

func seconds(v float64, otherwise time.Duration) time.Duration {
	if v <= 0 {
		return otherwise
	}
	return time.Duration(v * float64(time.Second))
}

// measure predicts the tokens and learns from what the engine reports.
func (cd *Conductor) measure(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		if !r.Counted {
			cd.control.measure(r)
		}
		r.Class = messenger.ClassOf(r.Prompt)
		if w := r.Config.Models[r.Model].Window; w > 0 && r.Prompt > w {
			return coder.Errorf(coder.PromptTooLong, "about %d tokens of %d", r.Prompt, w)
		}
		return next(ctx, r)
	}
}

// quarantine refuses requests that crashed targets.
func (cd *Conductor) quarantine(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		r.Fingerprint = fingerprint(r)
		if cd.cfg.View().Blocked[r.Fingerprint] {
			return coder.Errorf(coder.Quarantined, "")
		}
		return next(ctx, r)
	}
}

// fingerprint identifies what a target would be given. Calls of plain services
// differ by path too.
func fingerprint(r *chainer.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Service, "\x00", r.Method, "\x00", r.Path, "\x00"} {
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// limit holds the account to its rate and number of requests.
func (cd *Conductor) limit(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		if err := cd.control.take(r, r.Config.Accounts[r.Account]); err != nil {
			return err
		}
		spare := r.Prompt + r.Output
		end := r.Answer.End
		r.Answer.End = func(m messenger.End) error {
			spare -= m.Usage.Prompt + m.Usage.Output
			cd.control.learn(r, m.Usage)
			return end(m)
		}
		err := next(ctx, r)
		if err != nil && coder.Of(err).Run != coder.NotRun {
			spare = 0
		}
		cd.control.give(r, spare)
		return err
	}
}

// admit refuses a request that can't finish in its time.
func (cd *Conductor) admit(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		if err := cd.control.admit(r); err != nil {
			return err
		}
		return next(ctx, r)
	}
}
