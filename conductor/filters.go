package conductor

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/authenticator"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

const (
	// DefaultTimeout applies if neither the caller nor the service sets a timeout.
	DefaultTimeout = time.Minute
	// DefaultMaxTimeout bounds the timeout that a caller may request if the service
	// sets no bound.
	DefaultMaxTimeout = time.Hour

	finalWriteAllowance = time.Second // after the deadline, to write the final answer
)

// chain returns the handler that passes requests through the filters, in the order
// listed.
func (cd *Conductor) chain() chainer.Handler {
	c := chainer.Chainer{Filters: []chainer.Filter{
		cd.authorize, cd.setDeadline, cd.measure, cd.quarantine, cd.limit, cd.claim, cd.admit,
	}}
	return c.Then(cd.run)
}

// authorize checks that the service exists and that the account may use it, and sets
// the fields that their configuration determines.
func (cd *Conductor) authorize(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		spec, ok := r.Config.Services[r.Service]
		if !ok || r.PathConfig == nil && (spec.Kind == "engine") != (r.Model != "") {
			return coder.Errorf(coder.UnknownService, "%.64q", r.Service)
		}
		a := r.Config.Accounts[r.Account]
		if err := (&authenticator.Authenticator{}).Allow(a, r.Service); err != nil {
			return err
		}
		r.Spec = spec
		r.Priority = spec.Priority + a.Priority
		r.NonIdempotent = nonIdempotent(spec, r.Method, r.Path)
		if r.PathConfig != nil {
			cd.applyPathConfig(r, a)
		}
		if err := cd.restrict(r); err != nil {
			return err
		}
		cd.setCancelKeys(r)
		return next(ctx, r)
	}
}

// nonIdempotent reports whether a call must not be repeated. Calls of a plain service
// without a matching route are idempotent by their method, as HTTP defines it.
func nonIdempotent(s configurer.Service, method, path string) bool {
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

// setDeadline sets the deadline and cancels the request when it passes.
func (cd *Conductor) setDeadline(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		maxTimeout := seconds(r.Spec.MaxTimeout, DefaultMaxTimeout)
		if r.PathConfig == nil && r.Timeout > maxTimeout {
			return coder.Errorf(coder.BadTimeout, "more than %s", maxTimeout)
		}
		if r.PathConfig != nil {
			r.Timeout = min(minNonZero(r.Timeout, seconds(r.PathConfig.Timeout, DefaultTimeout)), maxTimeout)
		}
		if r.Timeout == 0 {
			r.Timeout = min(maxTimeout, seconds(r.Spec.Timeout, DefaultTimeout))
		}
		r.Deadline = r.Arrived.Add(r.Timeout)
		r.Answer.SetWriteDeadline(r.Deadline.Add(finalWriteAllowance))
		ctx, stop := context.WithTimeout(ctx, r.Deadline.Sub(cd.cfg.Now()))
		defer stop()
		return next(ctx, r)
	}
}

func seconds(v float64, fallback time.Duration) time.Duration {
	if v <= 0 {
		return fallback
	}
	return time.Duration(v * float64(time.Second))
}

// measure predicts the token counts, unless they came with the request, and rejects
// prompts longer than the context window of the model.
func (cd *Conductor) measure(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		if !r.HasTokenCounts {
			cd.control.predictTokens(r)
		}
		r.Class = messenger.ClassOf(r.Prompt)
		if window := r.Config.Models[r.Model].Window; window > 0 && r.Prompt > window {
			return coder.Errorf(coder.PromptTooLong, "about %d tokens of %d", r.Prompt, window)
		}
		return next(ctx, r)
	}
}

// quarantine rejects requests that are blocked for crashing targets, by themselves or by a
// part of their prompt.
func (cd *Conductor) quarantine(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		r.Fingerprint = fingerprint(r)
		if cd.cfg.View().Blocked[r.Fingerprint] {
			return coder.Errorf(coder.Quarantined, "")
		}
		if err := cd.admitParts(ctx, r); err != nil {
			return err
		}
		return next(ctx, r)
	}
}

// fingerprint hashes what a target would receive. Calls of plain services are also
// distinguished by method and path.
func fingerprint(r *chainer.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Service, "\x00", r.Method, "\x00", r.Path, "\x00"} {
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// limit enforces the account's rate and its number of concurrent requests. Predicted
// tokens that were not used are returned to the account, and tokens used beyond the
// prediction are charged.
func (cd *Conductor) limit(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		if err := cd.control.acquireLimit(r, r.Config.Accounts[r.Account]); err != nil {
			return err
		}
		unused := r.Prompt + r.Output
		end := r.Answer.End
		r.Answer.End = func(m messenger.End) error {
			unused -= m.Usage.Prompt + m.Usage.Output
			cd.control.recordUsage(r, m.Usage)
			return end(m)
		}
		err := next(ctx, r)
		if err != nil && coder.Of(err).Run != coder.NotRun {
			unused = 0
		}
		cd.control.releaseLimit(r, unused)
		return err
	}
}

// admit rejects a request that cannot finish by its deadline.
func (cd *Conductor) admit(next chainer.Handler) chainer.Handler {
	return func(ctx context.Context, r *chainer.Request) error {
		if err := cd.control.admit(r); err != nil {
			return err
		}
		return next(ctx, r)
	}
}
