package reporter

import (
	"fmt"
	"io"
	"time"

	"bramleyshunt/messenger"
)

// latestEvacuated returns the evacuated zones that the keeper with the longest log reports, as
// the others may lag behind it.
func latestEvacuated(reports []*Report) messenger.Evacuated {
	var latest messenger.Evacuated
	applied := uint64(0)
	for _, r := range reports {
		if r == nil || r.Process == nil || r.Process.Keeper == nil {
			continue
		}
		if k := r.Process.Keeper; k.Applied >= applied {
			applied, latest.Zones = k.Applied, r.Evacuated
		}
	}
	return latest
}

// writeEvacuated writes a table of the evacuated zones, if there are any.
func writeEvacuated(w io.Writer, e messenger.Evacuated) {
	if len(e.Zones) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "\nEVACUATED ZONE\tOPERATOR\tSINCE")
	for _, z := range e.Zones {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", z.Zone, z.Operator, time.Unix(0, z.Since).UTC().Format(time.RFC3339))
	}
}
