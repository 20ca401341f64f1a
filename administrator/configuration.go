package administrator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"bramleyshunt/applier"
	"bramleyshunt/checker"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

// historyCount is the number of changes that a configuration is shown with.
const historyCount = 50

// File is one file of the folder.
type File struct {
	Name string `json:"name"`
	Data string `json:"data"`
}

// Proposal is the body of POST /v1/configuration.
type Proposal struct {
	Base    uint64 `json:"base"`    // version that the folder was made from
	Version uint64 `json:"version"` // wanted, above base
	Change  string `json:"change"`  // id of the change, the same in each resend
	Digest  string `json:"digest"`  // hex, by merger.Digest
	Files   []File `json:"files"`
}

// Change tells of one accepted change.
type Change struct {
	Version  uint64    `json:"version"`
	Base     uint64    `json:"base"`
	Change   string    `json:"change"`
	Operator string    `json:"operator"`
	Digest   string    `json:"digest"`
	Index    uint64    `json:"index"` // of the keepers' log
	Time     time.Time `json:"time"`
}

func changeOf(r *applier.Record) *Change {
	if r == nil {
		return nil
	}
	return &Change{
		Version: r.Version, Base: r.Base, Change: r.Change, Operator: r.Operator,
		Digest: hex.EncodeToString(r.Digest), Index: r.Index, Time: time.Unix(0, r.Time).UTC(),
	}
}

// Shown is the body of GET /v1/configuration.
type Shown struct {
	Version   uint64                 `json:"version"`
	Confirmed bool                   `json:"confirmed"` // by a quorum, for this answer
	Digest    string                 `json:"digest"`
	Merged    *configurer.Configurer `json:"merged"`
	Files     []File                 `json:"files"`
	History   []Change               `json:"history"` // oldest first
}

func (a *Administrator) apply(r *request) (any, error) {
	var p Proposal
	if err := decode(r.r, &p); err != nil {
		return nil, err
	}
	c, err := p.command(r.operator)
	if err != nil {
		return nil, err
	}
	var out messenger.Proposed
	if err := a.cfg.Call(r.ctx, messenger.KindPropose, &messenger.Propose{Data: c.Encode()}, &out); err != nil {
		return nil, err
	}
	answer, err := applier.DecodeAnswer(out.Data)
	if err != nil {
		return nil, err
	}
	if err := answer.Err(); err != nil {
		return nil, &refusal{err: coder.Of(err), version: answer.Version, winner: changeOf(answer.Winner)}
	}
	a.cfg.Log.WithField("version", answer.Version).WithField("operator", r.operator).Info("configuration accepted")
	return changeOf(answer.Winner), nil
}

// decode reads a JSON body strictly.
func decode(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return coder.Errorf(coder.TooLarge, "more than %d bytes", large.Limit)
	case err != nil:
		return coder.Errorf(coder.Malformed, "%v", err)
	case dec.More():
		return coder.Errorf(coder.Malformed, "more after the end of the body")
	default:
		return nil
	}
}

// command checks the proposal before it goes to the log.
func (p *Proposal) command(operator string) (*applier.Command, error) {
	files := make([]messenger.File, 0, len(p.Files))
	for _, f := range p.Files {
		files = append(files, messenger.File{Name: f.Name, Data: []byte(f.Data)})
	}
	if _, faults := checker.Check(files); len(faults) > 0 {
		return nil, &refusal{err: coder.Errorf(coder.Invalid, "%v", faults), faults: strings.Split(faults.Error(), "\n")}
	}
	digest, err := hex.DecodeString(p.Digest)
	if err != nil {
		return nil, coder.Errorf(coder.Malformed, "digest: %v", err)
	}
	return &applier.Command{Verb: applier.VerbChange, Change: &applier.Change{
		ID: p.Change, Base: p.Base, Version: p.Version, Digest: digest,
		Operator: operator, Rules: checker.Rules, Files: files,
	}}, nil
}

// confirmed reports whether a quorum confirms that this keeper's state is current.
func (a *Administrator) confirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	if a.cfg.Confirm == nil {
		return false
	}
	_, err := a.cfg.Confirm(ctx)
	return err == nil
}

func (a *Administrator) show(r *request) (any, error) {
	out := Shown{Confirmed: a.confirmed(r.ctx)}
	v := a.cfg.Applier.View()
	out.Version, out.Digest, out.Merged = v.Version, hex.EncodeToString(v.Digest), v.Config
	for _, f := range v.Files {
		out.Files = append(out.Files, File{Name: f.Name, Data: string(f.Data)})
	}
	for _, r := range a.cfg.Applier.History(historyCount) {
		out.History = append(out.History, *changeOf(&r))
	}
	return out, nil
}

// ProposalOf makes the proposal of a folder.
func ProposalOf(files []messenger.File, base uint64, change string) *Proposal {
	p := &Proposal{Base: base, Version: base + 1, Change: change, Digest: hex.EncodeToString(merger.Digest(files))}
	for _, f := range files {
		p.Files = append(p.Files, File{Name: f.Name, Data: string(f.Data)})
	}
	return p
}
