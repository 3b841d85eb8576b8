package retry

import (
	"net/http"
	"time"

	"chestnutstep.example/chestnutstep"
)

// scope is how far a reason reaches.
type scope uint8

const (
	// all: every target would say the same.
	all scope = iota
	// here: it is a matter of this target, and another may take the request.
	here
	// broken: the target or the link failed during the run.
	broken
)

// Reply is what a caller hears for a reason, in HTTP's terms.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Title of the problem document, in plain words.
	Title string
	// Back says that the caller may come back with the same request, so that a
	// Retry-After makes sense.
	Back bool
	// Retry is when to come back if nothing better is known.
	Retry time.Duration

	scope scope
}

const (
	// soon is for what passes within a second or so: a place comes free, a
	// link comes back.
	soon = time.Second
	// later is for what takes a cold start or an operator's move to pass.
	later = 5 * time.Second
)

// replies is the one table from reasons to what callers hear.
//
// 422 is for condemned content: the request is well formed and will never be
// served as it is. 409 is for a ticket that another request spent, or that
// carries a tombstone: the caller's view conflicts with what is recorded. 410
// is for tickets whose agent or slot is gone for good: no repeat will tell
// more. A refusal by ticket is never 503, as clients repeat that by themselves.
var replies = map[chestnutstep.Reason]Reply{
	chestnutstep.ReasonFull:    {503, "The targets are at their load cap.", true, soon, here},
	chestnutstep.ReasonCold:    {503, "The target is in cold start.", true, later, here},
	chestnutstep.ReasonLeaving: {503, "The target is leaving.", true, soon, here},
	chestnutstep.ReasonOut:     {503, "The target is out of service.", true, later, here},
	chestnutstep.ReasonLate:    {503, "The wait would exceed the time limit.", true, soon, here},
	chestnutstep.ReasonQueue:   {503, "The queue is full.", true, soon, here},
	chestnutstep.ReasonSuspect: {503, "The request runs alone and has to wait.", true, later, here},
	chestnutstep.ReasonVersion: {503, "The processes' configurations differ.", true, soon, here},
	chestnutstep.ReasonModel:   {503, "The target does not serve the model.", true, soon, here},
	chestnutstep.ReasonDown:    {503, "The target does not answer.", true, later, here},
	chestnutstep.ReasonMoved:   {503, "The request runs at another target.", true, soon, here},

	chestnutstep.ReasonShare:     {429, "The workspace has used its share.", true, soon, here},
	chestnutstep.ReasonCondemned: {422, "The content has crashed targets.", false, 0, all},
	chestnutstep.ReasonTicket:    {428, "The request needs a ticket.", true, 0, all},
	chestnutstep.ReasonDead:      {410, "The ticket's agent is gone; the outcome is unknown.", false, 0, all},
	chestnutstep.ReasonExpired:   {410, "The ticket has expired.", false, 0, all},
	chestnutstep.ReasonSpent:     {409, "Another request has used the ticket.", false, 0, all},
	chestnutstep.ReasonForged:    {400, "The ticket is not valid.", false, 0, all},
	chestnutstep.ReasonDropped:   {409, "The ticket was given up; it never runs.", false, 0, all},

	chestnutstep.ReasonCrashed:  {502, "The target crashed.", true, soon, broken},
	chestnutstep.ReasonCrossed:  {502, "The target answered another request.", true, soon, broken},
	chestnutstep.ReasonShort:    {502, "The target's answer ended early.", true, soon, broken},
	chestnutstep.ReasonUnknown:  {502, "The agent does not know the request.", true, soon, broken},
	chestnutstep.ReasonLink:     {502, "The link to the agent broke.", true, soon, broken},
	chestnutstep.ReasonGone:     {410, "The answer is no longer kept.", false, 0, all},
	chestnutstep.ReasonTimeout:  {504, "The time limit has passed.", true, soon, all},
	chestnutstep.ReasonCanceled: {statusCanceled, "The caller gave up.", false, 0, all},

	chestnutstep.ReasonKey:     {401, "The key is not known.", false, 0, all},
	chestnutstep.ReasonHeader:  {400, "A header is malformed.", false, 0, all},
	chestnutstep.ReasonProfile: {404, "The profile is not known.", false, 0, all},
	chestnutstep.ReasonLarge:   {413, "The body is too large.", false, 0, all},
	chestnutstep.ReasonRate:    {429, "The workspace is over its rate.", true, soon, all},
	chestnutstep.ReasonTarget:  {503, "No target takes the request.", true, soon, all},
	chestnutstep.ReasonBudget:  {503, "Too many requests are failing to repeat this one.", true, later, all},
	chestnutstep.ReasonStop:    {503, "The process is stopping.", true, soon, all},
	chestnutstep.ReasonBusy:    {503, "The entry has too many requests in progress.", true, soon, all},
}

// statusCanceled is the status that proxies log for a caller who left; nobody
// is there to read it.
const statusCanceled = 499

// Answer returns what a caller hears for a reason. A reason that is missing
// here comes from a newer process: its caller hears that the gateway failed,
// and is not asked to come back.
func Answer(reason chestnutstep.Reason) Reply {
	r, ok := replies[reason]
	if !ok {
		return Reply{Status: http.StatusBadGateway, Title: "An unknown reason was given.", scope: all}
	}
	return r
}
