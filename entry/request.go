package entry

import (
	"crypto/rand"
	"encoding/hex"
	"math"
	"net/http"
	"strings"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/memory"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// bodyChunkSize is the size in bytes of one body message.
	bodyChunkSize = 64 << 10
	// maxNameLen is the maximum length in bytes of ids and names in headers, which are used as keys
	// in memory.
	maxNameLen = 256
	// bytesPerToken converts the size of a prompt to estimated work; the usual estimate for text.
	bytesPerToken = 4
)

// clientRequest is a caller's request after parsing and validation.
type clientRequest struct {
	view      *chestnutstep.View
	workspace *chestnutstep.Workspace
	profile   *chestnutstep.Profile
	id        string
	// idFromCaller is set if the caller chose the id, so that a retry can arrive with the same id.
	idFromCaller bool
	chat         string
	hint         string
	ticket       string
	deadline     time.Time
	body         *memory.Body
	httpRequest  *http.Request
	// fingerprint identifies the content for crash detection.
	fingerprint uint64
}

// readRequest parses and validates a request. It returns an ErrRefused or ErrHeader if the request
// can't be offered to any target.
func (e *Entry) readRequest(w http.ResponseWriter, r *http.Request) (*clientRequest, error) {
	v := e.View()
	if v == nil {
		return nil, &ErrRefused{Reason: chestnutstep.ReasonVersion, Run: chestnutstep.RunNo, RetryAfter: time.Second}
	}
	a := &clientRequest{view: v, httpRequest: r, id: r.Header.Get(chestnutstep.HeaderIdempotencyKey)}
	if a.workspace = authenticate(v, r); a.workspace == nil {
		return nil, &ErrRefused{Reason: chestnutstep.ReasonKey, Run: chestnutstep.RunNo}
	}
	name := r.Header.Get(chestnutstep.HeaderProfile)
	if name == "" {
		return nil, &ErrHeader{Name: chestnutstep.HeaderProfile, Cause: "is missing"}
	}
	if a.profile = v.Profiles[name]; a.profile == nil {
		return nil, &ErrRefused{Reason: chestnutstep.ReasonProfile, Run: chestnutstep.RunNo, Detail: name}
	}
	if err := a.readHeaders(e.Clock()); err != nil {
		return nil, err
	}
	if wait := e.limiter.take(e.Clock(), a.workspace, e.EntryCount()); wait > 0 {
		return nil, &ErrRefused{Reason: chestnutstep.ReasonRate, Run: a.runIfUnsent(), RetryAfter: wait}
	}
	return a, e.readBody(w, a)
}

// runIfUnsent returns the run status of a request that this entry did not forward. A request with a
// ticket can be running because of an earlier attempt, which only the ticket's agent can determine.
func (a *clientRequest) runIfUnsent() chestnutstep.RunStatus {
	if a.ticket != "" {
		return chestnutstep.RunMaybe
	}
	return chestnutstep.RunNo
}

func authenticate(v *chestnutstep.View, r *http.Request) *chestnutstep.Workspace {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil
	}
	return v.Authenticate(key)
}

func (a *clientRequest) readHeaders(now time.Time) error {
	h := a.httpRequest.Header
	a.chat = h.Get(chestnutstep.HeaderChat)
	a.hint = h.Get(chestnutstep.HeaderHint)
	a.ticket = h.Get(chestnutstep.HeaderTicket)
	for _, name := range []string{
		chestnutstep.HeaderChat, chestnutstep.HeaderHint, chestnutstep.HeaderIdempotencyKey, chestnutstep.HeaderTicket,
	} {
		if err := checkName(name, h.Get(name)); err != nil {
			return err
		}
	}
	limit, err := parseTimeout(h.Get(chestnutstep.HeaderTimeout), a.profile)
	if err != nil {
		return err
	}
	a.deadline = now.Add(limit)
	a.idFromCaller = a.id != ""
	if a.id == "" {
		a.id = a.ticket
	}
	if a.id == "" {
		a.id = randomID()
	}
	return nil
}

func checkName(name, value string) error {
	if len(value) > maxNameLen {
		return &ErrHeader{Name: name, Cause: "is longer than 256 bytes"}
	}
	for i := range len(value) {
		if value[i] < ' ' || value[i] > '~' {
			return &ErrHeader{Name: name, Cause: "holds a byte that is not printable ASCII"}
		}
	}
	return nil
}

func parseTimeout(text string, p *chestnutstep.Profile) (time.Duration, error) {
	if text == "" {
		return p.Timeout.Std(), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, &ErrHeader{Name: chestnutstep.HeaderTimeout, Cause: "is not a duration above zero such as 1.5s"}
	}
	return min(d, p.Timeout.Std()), nil
}

func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// memoryRetryAfter is the time after which other bodies have been sent.
const memoryRetryAfter = time.Second

func (e *Entry) readBody(w http.ResponseWriter, a *clientRequest) error {
	// Without a deadline, a caller that stops sending within the body would occupy memory
	// indefinitely.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(a.deadline)
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	b, err := e.Bodies.Read(a.httpRequest.Body, a.httpRequest.ContentLength, a.profile.MaxBodyBytes)
	switch {
	case memory.IsErrTooLong(err):
		return &ErrRefused{Reason: chestnutstep.ReasonLarge, Run: a.runIfUnsent()}
	case memory.IsErrNoRoom(err):
		return &ErrRefused{Reason: chestnutstep.ReasonMemory, Run: a.runIfUnsent(), RetryAfter: memoryRetryAfter}
	case err != nil:
		return &ErrRefused{Reason: chestnutstep.ReasonCanceled, Run: a.runIfUnsent()}
	}
	a.body = b
	a.fingerprint = crash.Fingerprint(a.workspace.Name, a.httpRequest.URL.RequestURI(), b.Segments()...)
	return nil
}

// newOffer builds the offer to an agent. The body is never included; it is sent after the accept.
// An agent whose accept is lost, or that resumes late and finds an old offer with its whole time
// limit left, therefore has nothing to run.
func (a *clientRequest) newOffer(now time.Time, patience time.Duration) *wire.Offer {
	class, _ := chestnutstep.ParseClass(a.profile.Class)
	return &wire.Offer{
		Id:          a.id,
		Workspace:   a.workspace.Name,
		Profile:     a.profile.Name,
		Model:       a.profile.Model,
		Chat:        a.chat,
		Class:       uint32(class),
		Cost:        float64(a.profile.ExpectedTokens) + math.Ceil(float64(a.body.Len())/bytesPerToken),
		Remain:      int64(a.deadline.Sub(now)),
		Patience:    int64(patience),
		Version:     a.view.Publication.Version,
		Ticket:      a.ticket,
		Fingerprint: a.fingerprint,
		Idempotent:  !a.profile.RequiresTicket,
		Method:      a.httpRequest.Method,
		Path:        a.httpRequest.URL.RequestURI(),
		Headers:     forwardedHeaders(a.httpRequest.Header),
		Size:        a.body.Len(),
		Confirms:    true,
	}
}

// rankQuery returns the ranking query. A request without a chat is distributed by its id.
func (a *clientRequest) rankQuery(region string) chestnutstep.RankQuery {
	chat := a.chat
	if chat == "" {
		chat = a.id
	}
	return chestnutstep.RankQuery{
		Workspace: a.workspace.Name,
		Chat:      chat,
		Model:     a.profile.Model,
		Region:    region,
		Hint:      a.hint,
	}
}
