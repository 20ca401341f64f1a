package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"bramleyshunt/administrator"
	"bramleyshunt/reporter"
)

// showOutput is the JSON that Show prints.
type showOutput struct {
	administrator.Configuration
	Nodes administrator.Nodes `json:"nodes"`
}

// Show prints as JSON the configuration in force and, for each node, its version and
// whether it lags.
func (o *Operator) Show(ctx context.Context, w io.Writer) error {
	cfg, err := o.Configuration(ctx)
	if err != nil {
		return err
	}
	nodes, err := o.Nodes(ctx)
	if err != nil {
		return err
	}
	return printJSON(w, showOutput{Configuration: cfg, Nodes: nodes})
}

// Status prints the status of the process at each listener as tables. It fails if
// no listener answers.
func (o *Operator) Status(ctx context.Context, w io.Writer) error {
	reports, errs := o.reports(ctx)
	if err := reporter.WriteTable(w, o.Bases, reports, errs); err != nil {
		return err
	}
	if slices.Contains(errs, nil) {
		return nil
	}
	return errors.Join(errs...)
}

// StatusJSON prints the status of the process at each listener as a JSON object by
// URL. It fails if no listener answers.
func (o *Operator) StatusJSON(ctx context.Context, w io.Writer) error {
	reports, errs := o.reports(ctx)
	all := map[string]any{}
	for i, base := range o.Bases {
		all[base] = reports[i]
		if errs[i] != nil {
			all[base] = errs[i].Error()
		}
	}
	if err := printJSON(w, all); err != nil {
		return err
	}
	if slices.Contains(errs, nil) {
		return nil
	}
	return errors.Join(errs...)
}

func (o *Operator) reports(ctx context.Context) ([]*reporter.Report, []error) {
	reports, errs := make([]*reporter.Report, len(o.Bases)), make([]error, len(o.Bases))
	for i, base := range o.Bases {
		reports[i] = &reporter.Report{}
		errs[i] = o.attempt(ctx, base, http.MethodGet, "/v1/status", nil, reports[i])
	}
	return reports, errs
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
