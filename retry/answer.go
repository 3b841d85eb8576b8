package retry

import (
	"net/http"
	"time"

	"chestnutstep.example/chestnutstep"
)

// scope is the set of targets to which a reason applies.
type scope uint8

const (
	// scopeAll: every target would give the same reason.
	scopeAll scope = iota
	// scopeTarget: the reason applies to this target, and another one may accept the request.
	scopeTarget
	// scopeFailed: the target or the link failed during the run.
	scopeFailed
)

// Reply is the HTTP reply to the caller for a reason.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Title of the problem document.
	Title string
	// Retryable reports whether the caller can repeat the same request, so that Retry-After is
	// useful.
	Retryable bool
	// RetryAfter is the default time after which the caller can retry.
	RetryAfter time.Duration

	scope scope
}

const (
	// shortRetryAfter is for conditions that pass within about a second: a place becomes free, or a
	// link is restored.
	shortRetryAfter = time.Second
	// longRetryAfter is for conditions that last as long as a cold start or an operator's
	// intervention.
	longRetryAfter = 5 * time.Second
)

// replyByReason maps every reason to the reply to the caller.
//
// 422 is for condemned content: the request is well formed but will never be served in this form.
// 409 is for a ticket that was used by another request or has a tombstone: the caller's state
// conflicts with the recorded one. 410 is for a ticket whose agent or slot is gone permanently, so
// that a retry gives no other result. A refusal because of the ticket is never 503, as clients
// retry that automatically.
var replyByReason = map[chestnutstep.Reason]Reply{
	chestnutstep.ReasonFull:    {503, "The targets are at their load cap.", true, shortRetryAfter, scopeTarget},
	chestnutstep.ReasonCold:    {503, "The target is in cold start.", true, longRetryAfter, scopeTarget},
	chestnutstep.ReasonLeaving: {503, "The target is leaving.", true, shortRetryAfter, scopeTarget},
	chestnutstep.ReasonOut:     {503, "The target is out of service.", true, longRetryAfter, scopeTarget},
	chestnutstep.ReasonLate:    {503, "The wait would exceed the time limit.", true, shortRetryAfter, scopeTarget},
	chestnutstep.ReasonQueue:   {503, "The queue is full.", true, shortRetryAfter, scopeTarget},
	chestnutstep.ReasonSuspect: {503, "The request runs alone and has to wait.", true, longRetryAfter, scopeTarget},
	chestnutstep.ReasonVersion: {503, "The processes' configurations differ.", true, shortRetryAfter, scopeTarget},
	chestnutstep.ReasonBuild:   {503, "No target can continue the stream.", true, shortRetryAfter, scopeTarget},
	chestnutstep.ReasonModel:   {503, "The target does not serve the model.", true, shortRetryAfter, scopeTarget},
	chestnutstep.ReasonDown:    {503, "The target does not answer.", true, longRetryAfter, scopeTarget},
	chestnutstep.ReasonPaused:  {503, "The target asked for a pause.", true, shortRetryAfter, scopeTarget},
	chestnutstep.ReasonMoved:   {503, "The request runs at another target.", true, shortRetryAfter, scopeTarget},

	chestnutstep.ReasonShare:     {429, "The workspace has used its share.", true, shortRetryAfter, scopeTarget},
	chestnutstep.ReasonCondemned: {422, "The content has crashed targets.", false, 0, scopeAll},
	chestnutstep.ReasonTicket:    {428, "The request needs a ticket.", true, 0, scopeAll},
	chestnutstep.ReasonDead:      {410, "The ticket's agent is gone; the outcome is unknown.", false, 0, scopeAll},
	chestnutstep.ReasonExpired:   {410, "The ticket has expired.", false, 0, scopeAll},
	chestnutstep.ReasonSpent:     {409, "Another request has used the ticket.", false, 0, scopeAll},
	chestnutstep.ReasonForged:    {400, "The ticket is not valid.", false, 0, scopeAll},
	chestnutstep.ReasonDropped:   {409, "The ticket was given up; it never runs.", false, 0, scopeAll},

	chestnutstep.ReasonCrashed:  {502, "The target crashed.", true, shortRetryAfter, scopeFailed},
	chestnutstep.ReasonCrossed:  {502, "The target answered another request.", true, shortRetryAfter, scopeFailed},
	chestnutstep.ReasonShort:    {502, "The target's answer ended early.", true, shortRetryAfter, scopeFailed},
	chestnutstep.ReasonUnknown:  {502, "The agent does not know the request.", true, shortRetryAfter, scopeFailed},
	chestnutstep.ReasonLink:     {502, "The link to the agent broke.", true, shortRetryAfter, scopeFailed},
	chestnutstep.ReasonGone:     {410, "The answer is no longer kept.", false, 0, scopeAll},
	chestnutstep.ReasonTimeout:  {504, "The time limit has passed.", true, shortRetryAfter, scopeAll},
	chestnutstep.ReasonCanceled: {statusCanceled, "The caller gave up.", false, 0, scopeAll},

	chestnutstep.ReasonKey:     {401, "The key is not known.", false, 0, scopeAll},
	chestnutstep.ReasonHeader:  {400, "A header is malformed.", false, 0, scopeAll},
	chestnutstep.ReasonProfile: {404, "The profile is not known.", false, 0, scopeAll},
	chestnutstep.ReasonLarge:   {413, "The body is too large.", false, 0, scopeAll},
	chestnutstep.ReasonRate:    {429, "The workspace is over its rate.", true, shortRetryAfter, scopeAll},
	chestnutstep.ReasonTarget:  {503, "No target takes the request.", true, shortRetryAfter, scopeAll},
	chestnutstep.ReasonBudget:  {503, "Too many requests are failing to repeat this one.", true, longRetryAfter, scopeAll},
	chestnutstep.ReasonStop:    {503, "The process is stopping.", true, shortRetryAfter, scopeAll},
	chestnutstep.ReasonBusy:    {503, "The entry has too many requests in progress.", true, shortRetryAfter, scopeAll},
	chestnutstep.ReasonMemory:  {503, "The entry has no memory for the body.", true, shortRetryAfter, scopeAll},
}

// statusCanceled is the status that proxies log when the caller has left. No caller receives it.
const statusCanceled = 499

// ReplyFor returns the reply for a reason. An unlisted reason comes from a newer process: the reply
// is a gateway error and is not retryable.
func ReplyFor(reason chestnutstep.Reason) Reply {
	r, ok := replyByReason[reason]
	if !ok {
		return Reply{Status: http.StatusBadGateway, Title: "An unknown reason was given.", scope: scopeAll}
	}
	return r
}
