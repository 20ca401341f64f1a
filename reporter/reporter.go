// Package reporter defines the status of processes that operators see: JSON from the
// administration API, and tables on the command line.
package reporter

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"bramleyshunt/entry"
	"bramleyshunt/keeper"
	"bramleyshunt/messenger"
)

// Process is the status of one process.
type Process struct {
	Node    string            `json:"node"`
	Zone    string            `json:"zone"`
	Roles   []string          `json:"roles"`
	Version uint64            `json:"version"` // configuration version in force in the process
	Keeper  *keeper.Status    `json:"keeper,omitempty"`
	Entry   *entry.Status     `json:"entry,omitempty"`
	Target  *messenger.Target `json:"target,omitempty"`
}

// Report is the body of GET /v1/status.
type Report struct {
	Process *Process           `json:"process"`
	Targets []messenger.Target `json:"targets"` // announced to the process
	Claims  int                `json:"claims"`  // number of idempotency claims stored

	Evacuated []messenger.Evacuation `json:"evacuated,omitempty"` // availability zones
}

// WriteTable writes a table of processes and a table of targets. Elements i of urls,
// reports and errs belong to one listener; if errs[i] is not nil, the row of the
// process shows the error.
func WriteTable(w io.Writer, urls []string, reports []*Report, errs []error) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "LISTENER\tNODE\tZONE\tROLES\tVERSION\tKEEPER\tTERM\tAPPLIED\tVOTERS\tREPAIRED\tREADY\tACTIVE\tQUEUED\tCLAIMS")
	for i, url := range urls {
		if errs[i] != nil || reports[i].Process == nil {
			_, _ = fmt.Fprintf(t, "%s\t%v\n", url, errs[i])
			continue
		}
		p := reports[i].Process
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\n", url, p.Node, p.Zone, strings.Join(p.Roles, ","), p.Version,
			keeperCells(p.Keeper), entryCells(p.Entry), reports[i].Claims)
	}
	_, _ = fmt.Fprintln(t, "\nTARGET\tSERVICE\tZONE\tLANE\tMODEL\tSTATE\tRUNNING\tWAITING\tUSED\tMEMORY\tFENCE\tINCARNATION")
	evacuated := latestEvacuated(reports)
	for _, target := range firstTargets(reports) {
		writeTarget(t, target, evacuated)
	}
	writeEvacuated(t, evacuated)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write status: %w", err)
	}
	return nil
}

// firstTargets returns the targets of the first report that has any, as every keeper
// has received all targets.
func firstTargets(reports []*Report) []messenger.Target {
	for _, r := range reports {
		if r != nil && len(r.Targets) > 0 {
			return r.Targets
		}
	}
	return nil
}

func keeperCells(k *keeper.Status) string {
	if k == nil {
		return "-\t-\t-\t-\t-"
	}
	role, repaired := k.Role.String(), "-" // recorded by the leader only
	if k.Leader == k.Node {
		role += fmt.Sprintf(" (lease %.1fs)", max(0, time.Until(k.Lease).Seconds()))
		repaired = strconv.FormatBool(k.Repaired)
	}
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%s", role, k.Term, k.Applied, len(k.Voters), repaired)
}

func entryCells(e *entry.Status) string {
	if e == nil {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%t\t%d\t%d", e.Ready, e.Active, e.Queued)
}

func writeTarget(w io.Writer, t messenger.Target, evacuated messenger.Evacuated) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", t.ID, t.Service, t.Zone, orDash(t.Lane),
		orDash(strings.Trim(t.Model+" "+t.Version, " ")), stateOf(t, evacuated), t.Load.Running, t.Load.Waiting, t.Load.Used, t.Load.Memory, t.Fence, t.Incarnation)
}

func stateOf(t messenger.Target, evacuated messenger.Evacuated) string {
	switch {
	case evacuated.Find(t.Zone) != nil:
		return "evacuated"
	case t.Standby:
		return "standby"
	case t.Leaving:
		return "leaving"
	default:
		return "serving"
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
