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
	"bramleyshunt/merger"
	"bramleyshunt/sleeper"
)

const (
	// DefaultLimit bounds a command when its context has no deadline.
	DefaultLimit = 30 * time.Second
	tryLimit     = 10 * time.Second
	againAfter   = 200 * time.Millisecond
	// confirmLimit is how long a read waits for keepers that elect a leader.
	confirmLimit = 5 * time.Second
	idBytes      = 16
	maxAnswer    = 64 << 20 // bytes
)

// Operator asks the administration listeners of keepers, one after the other
// until one answers.
type Operator struct {
	Bases  []string // URLs of administration listeners
	Token  string   // bearer token
	Client *http.Client
}

// FleetToken returns the token that holders of the fleet key may use while no
// operator is configured.
func FleetToken(key []byte) string { return administrator.Token(key) }

// Options of Apply.
type Options struct {
	Base   uint64 // version the folder was made from; zero for the one in force
	Change string // id of the change; random if empty
}

// Apply makes a folder the configuration in force. Lost answers are asked for
// again with the same change id, so a change is accepted at most once. Errors
// carry Invalid, Conflict, Unauthenticated, or what kept the answer away.
func (o *Operator) Apply(ctx context.Context, folder string, opts Options) (administrator.Change, error) {
	var out administrator.Change
	files, err := merger.ReadFolder(folder)
	if err != nil {
		return out, coder.Errorf(coder.Invalid, "%v", err)
	}
	if opts.Change == "" {
		opts.Change = randomID()
	}
	ctx, cancel := bounded(ctx)
	defer cancel()
	if opts.Base == 0 {
		shown, err := o.Configuration(ctx)
		if err != nil {
			return out, err
		}
		opts.Base = shown.Version
	}
	err = o.do(ctx, http.MethodPost, "/v1/configuration", administrator.ProposalOf(files, opts.Base, opts.Change), &out)
	return out, err
}

func randomID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id) // never fails
	return hex.EncodeToString(id)
}

func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, DefaultLimit)
}

// Configuration returns the configuration in force. It is marked unconfirmed if
// no keeper reached a quorum.
func (o *Operator) Configuration(ctx context.Context) (administrator.Shown, error) {
	return read(ctx, o, "/v1/configuration", func(s *administrator.Shown) bool { return s.Confirmed })
}

// Nodes returns where which version is in force. It is marked unconfirmed if no
// keeper reached a quorum.
func (o *Operator) Nodes(ctx context.Context) (administrator.Nodes, error) {
	return read(ctx, o, "/v1/nodes", func(n *administrator.Nodes) bool { return n.Confirmed })
}

// read asks until a keeper has confirmed its answer with a quorum. When none
// has within confirmLimit the last answer stands, and says that it may be old.
func read[T any](ctx context.Context, o *Operator, path string, confirmed func(*T) bool) (T, error) {
	ctx, cancel := bounded(ctx)
	defer cancel()
	give := time.Now().Add(confirmLimit)
	for i := 0; ; i++ {
		var out T
		from := Operator{Bases: rotated(o.Bases, i), Token: o.Token, Client: o.Client}
		err := from.do(ctx, http.MethodGet, path, nil, &out)
		if err != nil || confirmed(&out) || time.Now().After(give) {
			return out, err
		}
		if sleeper.Sleep(ctx, againAfter) != nil {
			return out, nil
		}
	}
}

// rotated returns all beginning with the nth, so that each try asks another first.
func rotated(all []string, n int) []string {
	if len(all) == 0 {
		return nil
	}
	n %= len(all)
	return append(slices.Clone(all[n:]), all[:n]...)
}

// Drain has a target take no new work.
func (o *Operator) Drain(ctx context.Context, target string) error {
	ctx, cancel := bounded(ctx)
	defer cancel()
	var out administrator.Drained
	return o.do(ctx, http.MethodPost, "/v1/targets/"+url.PathEscape(target)+"/drain", nil, &out)
}

// do sends one request to one listener after the other until one answers it for
// good or ctx ends. All requests may be sent more than once.
func (o *Operator) do(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := bounded(ctx)
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
		err = o.once(ctx, o.Bases[i%len(o.Bases)], method, path, data, out)
		asked := i + 1
		if err == nil || !again(err, asked < len(o.Bases)) {
			return err
		}
		if sleeper.Sleep(ctx, againAfter) != nil {
			return err
		}
	}
	return err
}

// again reports whether the same request may get another answer. A target is
// unknown for good once all listeners have said so.
func again(err error, more bool) bool {
	switch coder.Of(err).Code {
	case coder.NoQuorum, coder.Unconfirmed, coder.NotLeader, coder.NotReady, coder.TargetLost:
		return true
	case coder.NoTarget:
		return more
	default:
		return false
	}
}

func (o *Operator) once(ctx context.Context, base, method, path string, data []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(data))
	if err != nil {
		return coder.Errorf(coder.Malformed, "%v", err)
	}
	req.Header.Set("Authorization", "Bearer "+o.Token)
	req.Header.Set("Content-Type", "application/json")
	client := o.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return &coder.Error{Code: coder.TargetLost, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer))
	if resp.StatusCode == http.StatusOK {
		if err := dec.Decode(out); err != nil {
			return &coder.Error{Code: coder.TargetLost, Cause: err}
		}
		return nil
	}
	return failure(resp, dec)
}

// failure reads the error of an answer.
func failure(resp *http.Response, dec *json.Decoder) error {
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
