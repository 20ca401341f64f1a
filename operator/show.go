package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"bramleyshunt/administrator"
)

// shown is what Show prints.
type shown struct {
	administrator.Shown
	Nodes administrator.Nodes `json:"nodes"`
}

// Show prints the configuration in force, where it is in force and which nodes
// lag, as JSON.
func (o *Operator) Show(ctx context.Context, w io.Writer) error {
	cfg, err := o.Configuration(ctx)
	if err != nil {
		return err
	}
	nodes, err := o.Nodes(ctx)
	if err != nil {
		return err
	}
	return printJSON(w, shown{Shown: cfg, Nodes: nodes})
}

// Status prints the status of each listener's process, as JSON by URL.
func (o *Operator) Status(ctx context.Context, w io.Writer) error {
	all := map[string]any{}
	var last error
	for _, base := range o.Bases {
		one := Operator{Bases: []string{base}, Token: o.Token, Client: o.Client}
		var out administrator.Status
		if last = one.once(ctx, base, http.MethodGet, "/v1/status", nil, &out); last != nil {
			all[base] = last.Error()
			continue
		}
		all[base] = out
	}
	if err := printJSON(w, all); err != nil {
		return err
	}
	if len(o.Bases) == 1 {
		return last
	}
	return nil
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
