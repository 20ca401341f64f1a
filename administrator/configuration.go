package administrator

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"bramleyshunt/applier"
	"bramleyshunt/checker"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

// historyLength is the maximum number of past changes in a Configuration.
const historyLength = 50

// File is one file of a configuration folder.
type File struct {
	Name string `json:"name"`
	Data string `json:"data"`
}

// Proposal is the body of POST /v1/configuration.
type Proposal struct {
	Base    uint64 `json:"base"`    // version that the folder is based on
	Version uint64 `json:"version"` // proposed version, greater than base
	Change  string `json:"change"`  // id of the change, equal in every resend
	Digest  string `json:"digest"`  // merger.Digest of the files, in hex
	Files   []File `json:"files"`
}

// Change describes an accepted configuration change.
type Change struct {
	Version  uint64    `json:"version"`
	Base     uint64    `json:"base"`
	Change   string    `json:"change"`
	Operator string    `json:"operator"`
	Digest   string    `json:"digest"`
	Index    uint64    `json:"index"` // in the keepers' log
	Time     time.Time `json:"time"`
}

func newChange(r *applier.Record) *Change {
	if r == nil {
		return nil
	}
	return &Change{
		Version: r.Version, Base: r.Base, Change: r.Change, Operator: r.Operator,
		Digest: hex.EncodeToString(r.Digest), Index: r.Index, Time: time.Unix(0, r.Time).UTC(),
	}
}

// Configuration is the body of GET /v1/configuration.
type Configuration struct {
	Version   uint64                 `json:"version"`
	Confirmed bool                   `json:"confirmed"` // a quorum confirmed that this answer is current
	Digest    string                 `json:"digest"`
	Merged    *configurer.Configurer `json:"merged"`
	Files     []File                 `json:"files"`
	History   []Change               `json:"history"` // oldest first
	Evacuated []Evacuation           `json:"evacuated,omitempty"`
}

func (a *Administrator) apply(r *request) (any, error) {
	var p Proposal
	if err := decodeBody(r.body, &p); err != nil {
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
		return nil, &detailedError{err: coder.Of(err), version: answer.Version, winner: newChange(answer.Winner)}
	}
	a.cfg.Log.WithField("version", answer.Version).WithField("operator", r.operator).Info("configuration accepted")
	return newChange(answer.Winner), nil
}

// decodeBody decodes a JSON body into v. It rejects unknown fields and data after
// the first value.
func decodeBody(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	switch {
	case err != nil:
		return coder.Errorf(coder.Malformed, "%v", err)
	case dec.More():
		return coder.Errorf(coder.Malformed, "more after the end of the body")
	default:
		return nil
	}
}

// command checks the proposal and returns the command to append to the keepers' log.
func (p *Proposal) command(operator string) (*applier.Command, error) {
	files := make([]messenger.File, 0, len(p.Files))
	for _, f := range p.Files {
		files = append(files, messenger.File{Name: f.Name, Data: []byte(f.Data)})
	}
	if _, faults := checker.Check(files); len(faults) > 0 {
		return nil, &detailedError{err: coder.Errorf(coder.Invalid, "%v", faults), faults: strings.Split(faults.Error(), "\n")}
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

// confirm reports whether a quorum confirms within confirmTimeout that the state of
// this keeper is current.
func (a *Administrator) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if a.cfg.Confirm == nil {
		return false
	}
	_, err := a.cfg.Confirm(ctx)
	return err == nil
}

func (a *Administrator) show(r *request) (any, error) {
	out := Configuration{Confirmed: a.confirm(r.ctx)}
	v := a.cfg.Applier.View()
	out.Version, out.Digest, out.Merged = v.Version, hex.EncodeToString(v.Digest), v.Config
	for _, f := range v.Files {
		out.Files = append(out.Files, File{Name: f.Name, Data: string(f.Data)})
	}
	for _, r := range a.cfg.Applier.History(historyLength) {
		out.History = append(out.History, *newChange(&r))
	}
	for _, z := range a.cfg.Applier.Evacuated().Zones {
		out.Evacuated = append(out.Evacuated, newEvacuation(z))
	}
	return out, nil
}

// NewProposal returns the proposal of a folder as version base+1.
func NewProposal(files []messenger.File, base uint64, change string) *Proposal {
	p := &Proposal{Base: base, Version: base + 1, Change: change, Digest: hex.EncodeToString(merger.Digest(files))}
	for _, f := range files {
		p.Files = append(p.Files, File{Name: f.Name, Data: string(f.Data)})
	}
	return p
}
