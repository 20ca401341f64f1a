// Package operator is the client of the administration API.
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"bramleyshunt/administrator"
	"bramleyshunt/coder"
	"bramleyshunt/fetcher"
	"bramleyshunt/merger"
	"bramleyshunt/sleeper"
)

const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 30 * time.Second
	attemptTimeout = 10 * time.Second
	retryInterval  = 200 * time.Millisecond
	// confirmTimeout bounds the retries of a read whose answer is unconfirmed, for
	// instance while the keepers elect a leader.
	confirmTimeout   = 5 * time.Second
	idBytes          = 16
	maxResponseBytes = 64 << 20 // bytes
)

// Operator calls the administration API of the keepers. It tries one listener after
// the other until one answers.
type Operator struct {
	Bases  []string     // URLs of administration listeners
	Token  string       // bearer token of the operator, or the fleet token
	Client *http.Client // fetcher.DefaultClient if nil
}

// FleetToken returns the token that holders of the fleet key may use while no
// operator is configured.
func FleetToken(key []byte) string { return administrator.FleetToken(key) }

// Options are the options of Apply.
type Options struct {
	Base   uint64 // version that the folder is based on; zero for the one in force
	Change string // id of the change; random if empty
}

// Apply proposes a folder as the next configuration version. If an answer is lost, it
// repeats the request with the same change id, so that a change is accepted at most
// once. Errors carry code Invalid, Conflict or Unauthenticated, or the code of the
// last failed attempt.
func (o *Operator) Apply(ctx context.Context, folder string, opts Options) (administrator.Change, error) {
	var out administrator.Change
	files, err := merger.ReadFolder(folder)
	if err != nil {
		return out, coder.Errorf(coder.Invalid, "%v", err)
	}
	if opts.Change == "" {
		opts.Change = randomID()
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	if opts.Base == 0 {
		shown, err := o.Configuration(ctx)
		if err != nil {
			return out, err
		}
		opts.Base = shown.Version
	}
	err = o.do(ctx, http.MethodPost, "/v1/configuration", administrator.NewProposal(files, opts.Base, opts.Change), &out)
	return out, err
}

func randomID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id) // never fails
	return hex.EncodeToString(id)
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultTimeout)
}

// Configuration returns the configuration in force. Its field Confirmed is false if no
// keeper reached a quorum.
func (o *Operator) Configuration(ctx context.Context) (administrator.Configuration, error) {
	return readConfirmed(ctx, o, "/v1/configuration", func(s *administrator.Configuration) bool { return s.Confirmed })
}

// Nodes returns the version in force on each node. Its field Confirmed is false if no
// keeper reached a quorum.
func (o *Operator) Nodes(ctx context.Context) (administrator.Nodes, error) {
	return readConfirmed(ctx, o, "/v1/nodes", func(n *administrator.Nodes) bool { return n.Confirmed })
}

// readConfirmed repeats a GET until a keeper has confirmed its answer with a quorum.
// After confirmTimeout it returns the last answer, which is marked as unconfirmed.
func readConfirmed[T any](ctx context.Context, o *Operator, path string, confirmed func(*T) bool) (T, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	deadline := time.Now().Add(confirmTimeout)
	for i := 0; ; i++ {
		var out T
		from := Operator{Bases: rotate(o.Bases, i), Token: o.Token, Client: o.Client}
		err := from.do(ctx, http.MethodGet, path, nil, &out)
		if err != nil || confirmed(&out) || time.Now().After(deadline) {
			return out, err
		}
		if sleeper.Sleep(ctx, retryInterval) != nil {
			return out, nil
		}
	}
}

// rotate returns all rotated to begin with element n modulo the length, so that each
// attempt begins with another listener.
func rotate(all []string, n int) []string {
	if len(all) == 0 {
		return nil
	}
	n %= len(all)
	return append(slices.Clone(all[n:]), all[:n]...)
}

// Drain stops a target from accepting new work.
func (o *Operator) Drain(ctx context.Context, target string) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	var out administrator.Drained
	return o.do(ctx, http.MethodPost, "/v1/targets/"+url.PathEscape(target)+"/drain", nil, &out)
}

// do sends a request to one listener after the other until it gets a result or an
// error that is not retryable, or ctx ends. Every request is safe to repeat.
func (o *Operator) do(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	err := error(coder.Errorf(coder.Malformed, "no administration listener is named"))
	for i := 0; len(o.Bases) > 0; i++ {
		err = o.attempt(ctx, o.Bases[i%len(o.Bases)], method, path, data, out)
		attempts := i + 1
		if err == nil || !retryable(err, attempts < len(o.Bases)) {
			return err
		}
		if sleeper.Sleep(ctx, retryInterval) != nil {
			return err
		}
	}
	return err
}

// retryable reports whether repeating the request may succeed. NoTarget and NotFound are
// final once every listener has returned them; more reports whether listeners are left.
func retryable(err error, more bool) bool {
	switch coder.Of(err).Code {
	case coder.NoQuorum, coder.Unconfirmed, coder.NotLeader, coder.NotReady, coder.TargetLost:
		return true
	case coder.NoTarget, coder.NotFound: // another listener may know the target or zone, or be a keeper
		return more
	default:
		return false
	}
}

func (o *Operator) attempt(ctx context.Context, base, method, path string, data []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(data))
	if err != nil {
		return coder.Errorf(coder.Malformed, "%v", err)
	}
	req.Header.Set("Authorization", "Bearer "+o.Token)
	req.Header.Set("Content-Type", "application/json")
	client := o.Client
	if client == nil {
		client = fetcher.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return &coder.Error{Code: coder.TargetLost, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode == http.StatusOK {
		if err := dec.Decode(out); err != nil {
			return &coder.Error{Code: coder.TargetLost, Cause: err}
		}
		return nil
	}
	return decodeFailure(resp, dec)
}

// decodeFailure returns the error that a response describes.
func decodeFailure(resp *http.Response, dec *json.Decoder) error {
	var f administrator.Failure
	if err := dec.Decode(&f); err != nil || f.Error.Code == coder.OK {
		return &coder.Error{Code: coder.TargetLost, Cause: errors.New(resp.Status)}
	}
	text := strings.TrimPrefix(f.Error.Message, fmt.Sprintf("%d %s: ", f.Error.Code, f.Error.Code.Title()))
	if w := f.Error.Winner; w != nil {
		text += fmt.Sprintf(" (version %d is change %q of operator %q with digest %s)", w.Version, w.Change, w.Operator, w.Digest)
	}
	return coder.Errorf(f.Error.Code, "%s", text)
}
