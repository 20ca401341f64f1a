package coder

import (
	"fmt"
	"io"
	"net/http"
	"slices"
)

// doc is the documentation of one code. Title and Text are shown to callers and
// operators.
type doc struct {
	Status int
	Title  string
	Text   string
	Since  string
}

// firstRelease is the version in which the oldest codes were introduced.
const firstRelease = "0.1"

var table = map[Code]doc{
	OK: {http.StatusOK, "success", "The request ran to its end.", firstRelease},

	Malformed:        {http.StatusBadRequest, "malformed request", "The body or a header can't be parsed. Correct it before sending it again.", firstRelease},
	TooLarge:         {http.StatusRequestEntityTooLarge, "request too large", "The body exceeds the configured size.", firstRelease},
	Unauthenticated:  {http.StatusUnauthorized, "unknown token", "The Authorization header names no client account.", firstRelease},
	Forbidden:        {http.StatusForbidden, "service not allowed", "The client account may not use this service.", firstRelease},
	UnknownService:   {http.StatusNotFound, "unknown service", "The configuration in force has no such service.", firstRelease},
	UnknownModel:     {http.StatusNotFound, "unknown model", "The configuration in force has no service for this model.", firstRelease},
	KeyRequired:      {http.StatusBadRequest, "Idempotency-Key required", "The service or route is not idempotent, so each request needs a key.", firstRelease},
	KeyReused:        {http.StatusUnprocessableEntity, "Idempotency-Key reused", "The key was claimed by a request with another body.", firstRelease},
	BadTimeout:       {http.StatusBadRequest, "bad Request-Timeout", "The header is not a positive number of seconds within the service's bound.", firstRelease},
	PromptTooLong:    {http.StatusRequestEntityTooLarge, "prompt too long", "The prompt exceeds the model's window.", firstRelease},
	NotFound:         {http.StatusNotFound, "no such path", "The path is not served here.", firstRelease},
	Quarantined:      {http.StatusUnprocessableEntity, "request quarantined", "Targets that ran this request crashed. It is refused until the quarantine expires.", firstRelease},
	PartQuarantined:  {http.StatusUnprocessableEntity, "part of the prompt quarantined", "Targets crashed under requests with a part that the prompt has. Such requests are refused until the quarantine of the part expires.", firstRelease},
	MethodNotAllowed: {http.StatusMethodNotAllowed, "method not allowed", "The path does not take this method.", firstRelease},

	RateLimited:      {http.StatusTooManyRequests, "token rate exceeded", "The client account has used its tokens for now.", firstRelease},
	ConcLimited:      {http.StatusTooManyRequests, "too many requests at once", "The client account has its configured number of requests in flight.", firstRelease},
	Overloaded:       {http.StatusServiceUnavailable, "can't finish in time", "The predicted completion lies beyond the request's time.", firstRelease},
	NoTarget:         {http.StatusServiceUnavailable, "no target", "No live target serves this model or service now.", firstRelease},
	Leaving:          {http.StatusServiceUnavailable, "target leaving", "The target takes no new work.", firstRelease},
	Stale:            {http.StatusServiceUnavailable, "configuration not confirmed", "The node can't confirm that its configuration is in force.", firstRelease},
	NoQuorum:         {http.StatusServiceUnavailable, "no keeper quorum", "A claim can't be recorded. The request did not run.", firstRelease},
	MemoryFull:       {http.StatusServiceUnavailable, "engine memory full", "The target can't hold the request now.", firstRelease},
	WrongIncarnation: {http.StatusServiceUnavailable, "target restarted", "The attempt was meant for an earlier incarnation of the target.", firstRelease},
	LeaseExpired:     {http.StatusServiceUnavailable, "lease expired", "The reservation ended before the run was asked for.", firstRelease},
	Busy:             {http.StatusServiceUnavailable, "target busy", "The target has no free slot.", firstRelease},
	NotReady:         {http.StatusServiceUnavailable, "node not ready", "The node is starting or shutting down.", firstRelease},
	ClaimHeld:        {http.StatusConflict, "request in progress", "A request with this key is being worked on. Come back for its answer.", firstRelease},
	RetryBudget:      {http.StatusServiceUnavailable, "retry budget spent", "The service's share of retries is used up. The request did not run.", firstRelease},
	NoRegion:         {http.StatusServiceUnavailable, "no target in the allowed regions", "No live target lies in a region where the path and the client account allow the request. Without Retry-After, they allow no region at all.", firstRelease},
	BodiesFull:       {http.StatusServiceUnavailable, "no memory for the body", "The bodies of all requests together fill the memory that the node sets aside for them.", firstRelease},

	DeadlineExceeded: {http.StatusGatewayTimeout, "time exceeded", "The request's time ended before its answer was whole.", firstRelease},
	TargetLost:       {http.StatusBadGateway, "target lost", "The target was lost while the request was on it.", firstRelease},
	EngineFailed:     {http.StatusBadGateway, "target failed", "The target reported a failure while running the request.", firstRelease},
	Cancelled:        {499, "cancelled", "The caller or an operator cancelled the request.", firstRelease},
	OutcomeUnknown:   {http.StatusBadGateway, "outcome unknown", "The request may have run. A non-idempotent request is not sent again.", firstRelease},
	Voided:           {http.StatusServiceUnavailable, "voided before start", "The attempt was withdrawn before it started.", firstRelease},
	AlreadyRan:       {http.StatusConflict, "already ran", "A request with this key ran, and its answer is no longer kept.", firstRelease},
	GangLost:         {http.StatusBadGateway, "gang member lost", "A member of the gang serving a long prompt was lost.", firstRelease},

	Conflict:    {http.StatusConflict, "configuration conflict", "Another change was accepted for this version.", firstRelease},
	Invalid:     {http.StatusBadRequest, "configuration invalid", "The folder was refused and nothing changed.", firstRelease},
	Fenced:      {http.StatusConflict, "order fenced", "A newer fencing number has been seen.", firstRelease},
	NotLeader:   {http.StatusServiceUnavailable, "not the leader", "Another keeper leads.", firstRelease},
	Unconfirmed: {http.StatusServiceUnavailable, "outcome not confirmed", "The keeper lost its leadership before a quorum confirmed the change. Send it again with the same change id.", firstRelease},

	BadFrame:       {http.StatusBadGateway, "bad frame", "A frame between processes could not be parsed.", firstRelease},
	BadVersion:     {http.StatusBadGateway, "protocol version", "The peer speaks another protocol version.", firstRelease},
	BadProof:       {http.StatusBadGateway, "fleet key proof", "The peer could not prove that it holds the fleet key.", firstRelease},
	Silent:         {http.StatusBadGateway, "connection silent", "The peer sent no heartbeat in time.", firstRelease},
	Internal:       {http.StatusInternalServerError, "internal fault", "A fault of the system itself; see its log.", firstRelease},
	UnknownAttempt: {http.StatusBadGateway, "unknown attempt", "The target has no record of the attempt.", firstRelease},
	Damaged:        {http.StatusInternalServerError, "data folder refused", "The data folder is damaged or belongs to another node. The keeper does not start on it.", firstRelease},
	DiskFailed:     {http.StatusInternalServerError, "disk failed", "A write or sync of the data folder failed. The keeper ends.", firstRelease},
}

// All returns every code in ascending order.
func All() []Code {
	all := make([]Code, 0, len(table))
	for c := range table {
		all = append(all, c)
	}
	slices.Sort(all)
	return all
}

// WriteTable writes the code table as Markdown, the contents of docs/CODES.md.
func WriteTable(w io.Writer) error {
	const head = `# Result codes

The header ` + "`Bramleyshunt-Code`" + ` carries the number, ` + "`Bramleyshunt-Run`" + ` what is known of
the execution. Numbers are stable. This page is generated by ` + "`go generate ./coder`" + `.

| Code | Name | HTTP | Run | Title | Meaning | Since |
|---|---|---|---|---|---|---|
`
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, c := range All() {
		d := table[c]
		_, err := fmt.Fprintf(w, "| %d | %s | %d | %s | %s | %s | %s |\n", c, c, d.Status, c.Run().Header(), d.Title, d.Text, d.Since)
		if err != nil {
			return err
		}
	}
	return nil
}
