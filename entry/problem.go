package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/retry"
)

// problem is the body of a refusal: application/problem+json with a stable code, so that callers
// need not parse text.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Code   string `json:"code"`
	Run    string `json:"run"`
	Ticket string `json:"ticket,omitempty"`
}

// writeRefusal sends the final answer at once, with the time after which to retry. Delaying it
// until the caller's deadline would only keep the caller from retrying where there is capacity.
func (e *Entry) writeRefusal(w http.ResponseWriter, err error, n Notice) {
	ref := asRefused(err)
	ans := retry.ReplyFor(ref.Reason)
	p := problem{
		Type:   "about:blank",
		Title:  ans.Title,
		Status: ans.Status,
		Detail: ref.Detail,
		Code:   string(ref.Reason),
		Run:    string(ref.Run),
		Ticket: ref.Ticket,
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(chestnutstep.HeaderRun, string(ref.Run))
	if ref.Ticket != "" {
		h.Set(chestnutstep.HeaderTicket, ref.Ticket)
	}
	if ref.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(ref.RetryAfter))
	}
	w.WriteHeader(ans.Status)
	_ = json.NewEncoder(w).Encode(p)
	n.Reason, n.Run, n.Status = ref.Reason, ref.Run, ans.Status
	e.Notify(n)
}

// asRefused converts any error to the final result of a request.
func asRefused(err error) *ErrRefused {
	var ref *ErrRefused
	if errors.As(err, &ref) {
		return ref
	}
	var bad *ErrHeader
	if errors.As(err, &bad) {
		return &ErrRefused{Reason: chestnutstep.ReasonHeader, Run: chestnutstep.RunNo, Detail: bad.Error()}
	}
	return &ErrRefused{Reason: chestnutstep.ReasonUnknown, Run: chestnutstep.RunMaybe, Detail: err.Error()}
}

// retryAfterSeconds rounds up to whole seconds, as a caller that retries too early is refused
// again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
