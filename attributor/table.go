package attributor

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// timeLayout shows the start of a row's step.
const timeLayout = "15:04:05.000"

// WriteTable writes the totals by class and then the rows by time and class.
func (a *Attributor) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%d requests, %d other lines, steps of %s\n\n", a.Lines, a.Foreign, a.Step)
	writeHeader(t, "class")
	for _, r := range a.Totals() {
		writeRow(t, r.Class.String(), r)
	}
	_, _ = fmt.Fprintln(t)
	writeHeader(t, "from\tclass")
	for _, r := range a.Rows() {
		writeRow(t, r.From.Format(timeLayout)+"\t"+r.Class.String(), r)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func writeHeader(w io.Writer, first string) {
	_, _ = fmt.Fprintf(w, "%s\trequests\t", first)
	for o := range Outcomes {
		_, _ = fmt.Fprintf(w, "%s\t", Outcome(o))
	}
	_, _ = fmt.Fprint(w, "late by:\t")
	for p := range Parts {
		_, _ = fmt.Fprintf(w, "%s\t", Part(p))
	}
	_, _ = fmt.Fprintln(w)
}

func writeRow(w io.Writer, first string, r Row) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t", first, r.Requests())
	for _, n := range r.Outcomes {
		_, _ = fmt.Fprintf(w, "%s\t", blankZero(n))
	}
	_, _ = fmt.Fprint(w, "\t")
	for _, n := range r.LateBy {
		_, _ = fmt.Fprintf(w, "%s\t", blankZero(n))
	}
	_, _ = fmt.Fprintln(w)
}

func blankZero(n int) string {
	if n == 0 {
		return "."
	}
	return fmt.Sprint(n)
}

// jsonRow is the JSON form of a row.
type jsonRow struct {
	From     *time.Time     `json:"from,omitempty"`
	Class    string         `json:"class"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	LateBy   map[string]int `json:"lateby"`
}

// jsonReport is the JSON form of all counts.
type jsonReport struct {
	Step    float64   `json:"step"` // seconds
	Lines   int       `json:"lines"`
	Foreign int       `json:"foreign"`
	Totals  []jsonRow `json:"totals"`
	Rows    []jsonRow `json:"rows"`
}

// WriteJSON writes the same counts as WriteTable, as one JSON object.
func (a *Attributor) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	r := jsonReport{Step: a.Step.Seconds(), Lines: a.Lines, Foreign: a.Foreign, Totals: jsonRows(a.Totals()), Rows: jsonRows(a.Rows())}
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func jsonRows(rows []Row) []jsonRow {
	out := make([]jsonRow, 0, len(rows))
	for _, r := range rows {
		j := jsonRow{Class: r.Class.String(), Requests: r.Requests(), Outcomes: map[string]int{}, LateBy: map[string]int{}}
		if !r.From.IsZero() {
			j.From = &r.From
		}
		for o, n := range r.Outcomes {
			j.Outcomes[Outcome(o).String()] = n
		}
		for p, n := range r.LateBy {
			j.LateBy[Part(p).String()] = n
		}
		out = append(out, j)
	}
	return out
}
