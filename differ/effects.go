package differ

// addedEffects says what a new entry of a section means for callers.
var addedEffects = map[string]string{
	"paths":    "Requests below this host and prefix go there; a shorter prefix gets them no more.",
	"services": "Requests for it are served once targets announce it.",
	"models":   "Requests for it are served where a service has it.",
	"accounts": "Callers with its keys are served.",
}

// removedEffects says what the end of an entry of a section means for callers.
var removedEffects = map[string]string{
	"paths":    "Requests below this host and prefix go to a shorter prefix, or are refused with 1011.",
	"services": "Requests for it are refused with 1005.",
	"models":   "Requests for it are refused with 1006.",
	"accounts": "Callers with its keys are refused with 1003.",
}

// fieldEffects says what another value of a field means for callers.
var fieldEffects = map[string]string{
	"paths.kind":     "What may be sent again after a failure changes.",
	"paths.split":    "New requests are divided differently among the services.",
	"paths.tries":    "Failed requests are sent to more or fewer targets.",
	"paths.timeout":  "New requests end at another time.",
	"paths.aim":      "Long prompts are divided, hedged and refused by another objective.",
	"paths.gap":      "Prompts are placed beside streams by another longest gap.",
	"paths.priority": "Requests without an account go earlier or later than others.",
	"paths.open":     "Callers need a key or need none.",
	"paths.resume":   "Whether broken streams go on at another target changes.",
	"paths.tokens":   "Requests need the headers with token counts or need none.",
	"paths.regions":  "New attempts are served in these regions only; without a target there they are refused with 2015.",

	"services.kind":     "Requests are passed on in another way.",
	"services.model":    "Another model answers.",
	"services.once":     "Requests need an Idempotency-Key or need none.",
	"services.routes":   "Which calls need an Idempotency-Key may change.",
	"services.timeout":  "Requests that name no timeout end at another time.",
	"services.longest":  "Requests may ask for more or less time.",
	"services.priority": "Its requests go earlier or later than others.",

	"models.version": "Targets are to load another version.",
	"models.window":  "Prompts above it are refused with 1010.",
	"models.output":  "Requests that name no bound count as another number of tokens.",

	"accounts.token":    "Callers with the former token are refused with 1003, those with the new one served.",
	"accounts.keys":     "Callers with a removed key are refused with 1003, those with an added one served.",
	"accounts.services": "Requests for other services are refused with 1004.",
	"accounts.share":    "Its requests get another share where requests wait.",
	"accounts.priority": "Its requests go earlier or later than others.",
	"accounts.rate":     "Requests beyond it are refused with 2001.",
	"accounts.burst":    "Requests beyond it are refused with 2001.",
	"accounts.conc":     "Requests beyond it are refused with 2002.",
	"accounts.regions":  "New attempts are served in these regions only; without a target there they are refused with 2015.",

	"limits.body":    "Larger requests are refused with 1002.",
	"limits.retries": "More or fewer failed requests are sent again.",
	"limits.crashes": "Requests that crash targets are refused sooner or later.",
	"limits.banned":  "Such refusals last another time.",
	"limits.kept":    "Answers are repeated for their Idempotency-Key for another time.",
}
