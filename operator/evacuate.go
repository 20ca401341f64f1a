package operator

import (
	"context"
	"net/http"
	"net/url"

	"bramleyshunt/administrator"
)

// EvacuateOptions are the options of Evacuate.
type EvacuateOptions struct {
	End   bool // end the evacuation
	Force bool // also start it for a zone in which no target is known
}

// Evacuate starts or ends the evacuation of an availability zone. If an answer is lost, it
// repeats the request, which does no harm. Errors carry code Malformed, NotFound, Conflict or
// Unauthenticated, or the code of the last failed attempt.
func (o *Operator) Evacuate(ctx context.Context, zone string, opts EvacuateOptions) (administrator.Evacuated, error) {
	var out administrator.Evacuated
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	path := "/v1/evacuations/" + url.PathEscape(zone) + "/start"
	if opts.End {
		path = "/v1/evacuations/" + url.PathEscape(zone) + "/end"
	}
	if opts.Force {
		path += "?force=true"
	}
	err := o.do(ctx, http.MethodPost, path, nil, &out)
	return out, err
}
