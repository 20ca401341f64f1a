package coder

import (
	"fmt"
	"io"
	"net/http"
	"slices"
)

// doc describes one code for callers and operators.
type doc struct {
	Status int
	Title  string
	Text   string
	Since  string
}

const first = "0.1"

var table = map[Code]doc{
	OK: {http.StatusOK, "success", "The request ran to its end.", first},

	Malformed:        {http.StatusBadRequest, "malformed request", "The body or a header can't be parsed. Correct it before sending it again.", first},
	TooLarge:         {http.StatusRequestEntityTooLarge, "request too large", "The body exceeds the configured size.", first},
	Unauthenticated:  {http.StatusUnauthorized, "unknown token", "The Authorization header names no client account.", first},
	Forbidden:        {http.StatusForbidden, "service not allowed", "The client account may not use this service.", first},
	UnknownService:   {http.StatusNotFound, "unknown service", "The configuration in force has no such service.", first},
	UnknownModel:     {http.StatusNotFound, "unknown model", "The configuration in force has no service for this model.", first},
	KeyRequired:      {http.StatusBadRequest, "Idempotency-Key required", "The service or route is not idempotent, so each request needs a key.", first},
	KeyReused:        {http.StatusUnprocessableEntity, "Idempotency-Key reused", "The key was claimed by a request with another body.", first},
	BadTimeout:       {http.StatusBadRequest, "bad Request-Timeout", "The header is not a positive number of seconds within the service's bound.", first},
	PromptTooLong:    {http.StatusRequestEntityTooLarge, "prompt too long", "The prompt exceeds the model's window.", first},
	NotFound:         {http.StatusNotFound, "no such path", "The path is not served here.", first},
	Quarantined:      {http.StatusUnprocessableEntity, "request quarantined", "Targets that ran this request crashed. It is refused until the quarantine expires.", first},
	MethodNotAllowed: {http.StatusMethodNotAllowed, "method not allowed", "The path does not take this method.", first},

	RateLimited:      {http.StatusTooManyRequests, "token rate exceeded", "The client account has used its tokens for now.", first},
	ConcLimited:      {http.StatusTooManyRequests, "too many requests at once", "The client account has its configured number of requests in flight.", first},
	Overloaded:       {http.StatusServiceUnavailable, "can't finish in time", "The predicted completion lies beyond the request's time.", first},
	NoTarget:         {http.StatusServiceUnavailable, "no target", "No live target serves this model or service now.", first},
	Leaving:          {http.StatusServiceUnavailable, "target leaving", "The target takes no new work.", first},
	Stale:            {http.StatusServiceUnavailable, "configuration not confirmed", "The node can't confirm that its configuration is in force.", first},
	NoQuorum:         {http.StatusServiceUnavailable, "no keeper quorum", "A claim can't be recorded. The request did not run.", first},
	MemoryFull:       {http.StatusServiceUnavailable, "engine memory full", "The target can't hold the request now.", first},
	WrongIncarnation: {http.StatusServiceUnavailable, "target restarted", "The attempt was meant for an earlier incarnation of the target.", first},
	LeaseExpired:     {http.StatusServiceUnavailable, "lease expired", "The reservation ended before the run was asked for.", first},
	Busy:             {http.StatusServiceUnavailable, "target busy", "The target has no free slot.", first},
	NotReady:         {http.StatusServiceUnavailable, "node not ready", "The node is starting or shutting down.", first},
	ClaimHeld:        {http.StatusConflict, "request in progress", "A request with this key is being worked on. Come back for its answer.", first},
	RetryBudget:      {http.StatusServiceUnavailable, "retry budget spent", "The service's share of retries is used up. The request did not run.", first},

	DeadlineExceeded: {http.StatusGatewayTimeout, "time exceeded", "The request's time ended before its answer was whole.", first},
	TargetLost:       {http.StatusBadGateway, "target lost", "The target was lost while the request was on it.", first},
	EngineFailed:     {http.StatusBadGateway, "target failed", "The target reported a failure while running the request.", first},
	Cancelled:        {499, "cancelled", "The caller or an operator cancelled the request.", first},
	OutcomeUnknown:   {http.StatusBadGateway, "outcome unknown", "The request may have run. A non-idempotent request is not sent again.", first},
	Voided:           {http.StatusServiceUnavailable, "voided before start", "The attempt was withdrawn before it started.", first},
	AlreadyRan:       {http.StatusConflict, "already ran", "A request with this key ran, and its answer is no longer kept.", first},
	GangLost:         {http.StatusBadGateway, "gang member lost", "A member of the gang serving a long prompt was lost.", first},

	Conflict:    {http.StatusConflict, "configuration conflict", "Another change was accepted for this version.", first},
	Invalid:     {http.StatusBadRequest, "configuration invalid", "The folder was refused and nothing changed.", first},
	Fenced:      {http.StatusConflict, "order fenced", "A newer fencing number has been seen.", first},
	NotLeader:   {http.StatusServiceUnavailable, "not the leader", "Another keeper leads.", first},
	Unconfirmed: {http.StatusServiceUnavailable, "outcome not confirmed", "The keeper lost its leadership before a quorum confirmed the change. Send it again with the same change id.", first},

	BadFrame:       {http.StatusBadGateway, "bad frame", "A frame between processes could not be parsed.", first},
	BadVersion:     {http.StatusBadGateway, "protocol version", "The peer speaks another protocol version.", first},
	BadProof:       {http.StatusBadGateway, "fleet key proof", "The peer could not prove that it holds the fleet key.", first},
	Silent:         {http.StatusBadGateway, "connection silent", "The peer sent no heartbeat in time.", first},
	Internal:       {http.StatusInternalServerError, "internal fault", "A fault of the system itself; see its log.", first},
	UnknownAttempt: {http.StatusBadGateway, "unknown attempt", "The target has no record of the attempt.", first},
	Damaged:        {http.StatusInternalServerError, "data folder refused", "The data folder is damaged or belongs to another node. The keeper does not start on it.", first},
	DiskFailed:     {http.StatusInternalServerError, "disk failed", "A write or sync of the data folder failed. The keeper ends.", first},
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

// WriteTable writes the code table as the Markdown page docs/CODES.md.
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
