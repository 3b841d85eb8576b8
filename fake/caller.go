package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

// Kind is what a caller can say of an answer.
type Kind string

// The kinds.
const (
	Whole    Kind = "whole"    // complete and the caller's own
	Broken   Kind = "broken"   // the answer said or showed that it is not complete
	Short    Kind = "short"    // ended like a complete answer, but is not: never allowed
	Foreign  Kind = "foreign"  // holds another request's content: never allowed
	Refused  Kind = "refused"  // a problem document
	Canceled Kind = "canceled" // the caller itself gave up
	Absent   Kind = "absent"   // no HTTP answer: the entry is gone
)

// Caller speaks to entries as the users' programs do and checks every answer.
type Caller struct {
	// Entries are base URLs.
	Entries []string
	// Key of the caller's workspace.
	Key string
	// Client, or nil for the default one.
	Client *http.Client
	// Gap, if set, is told the time between tokens. It is called by many
	// goroutines.
	Gap func(time.Duration)
}

// Request is what a caller asks.
type Request struct {
	// Entry is an index into the caller's entries.
	Entry   int
	Profile string
	Chat    string
	// ID is the Idempotency-Key: a repeat with the same one joins the first.
	ID      string
	Ticket  string
	Hint    string
	Timeout time.Duration
	// Method and Path; POST and /v1/chat if unset.
	Method, Path string
	Body         []byte
	// Cancel gives up after so many tokens; 0 reads to the end.
	Cancel int
	// Seen, if set, is told how many tokens have come so far.
	Seen func(tokens int)
}

// Result is what the caller got.
type Result struct {
	Kind   Kind
	Status int
	// Code of a problem document.
	Code   string
	Run    chestnutstep.RunStatus
	Hint   string
	Ticket string
	// Retry is when the caller may come back; 0 when it was not told.
	Retry  time.Duration
	Tokens int
	// Cached is the part of the prompt that was found in the cache.
	Cached int
	// First is the time to the first byte of the body.
	First time.Duration
	// Data is the body of an answer that is no event stream.
	Data []byte
	Err  error
}

// Problem is the part of a problem document that callers act on.
type Problem struct {
	Code   string `json:"code"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
	Ticket string `json:"ticket"`
}

// Do sends a request and reads the answer.
func (c *Caller) Do(ctx context.Context, ask Request) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	w, err := c.send(ctx, ask)
	if err != nil {
		return Result{Kind: Absent, Err: err}
	}
	defer w.Body.Close()
	res := heading(w)
	if strings.HasPrefix(w.Header.Get("Content-Type"), "application/problem+json") {
		return res.refusal(w.Body)
	}
	if w.Header.Get("Content-Type") != "text/event-stream" {
		return res.document(w.Body)
	}
	s := stage{caller: c, ask: ask, began: began, last: began, res: res}
	s.checker.Seed = Seed(ask.Chat, ask.Body)
	return s.read(w.Body)
}

func (c *Caller) send(ctx context.Context, ask Request) (*http.Response, error) {
	method, path := ask.Method, ask.Path
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = "/v1/chat"
	}
	r, err := http.NewRequestWithContext(ctx, method, c.Entries[ask.Entry]+path, bytes.NewReader(ask.Body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set(chestnutstep.HeaderProfile, ask.Profile)
	set(r.Header, chestnutstep.HeaderChat, ask.Chat)
	set(r.Header, chestnutstep.HeaderIdempotencyKey, ask.ID)
	set(r.Header, chestnutstep.HeaderTicket, ask.Ticket)
	set(r.Header, chestnutstep.HeaderHint, ask.Hint)
	if ask.Timeout > 0 {
		r.Header.Set(chestnutstep.HeaderTimeout, ask.Timeout.String())
	}
	return c.client().Do(r)
}

func (c *Caller) client() *http.Client {
	if c.Client != nil {
		return c.Client
	}
	return http.DefaultClient
}

func set(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func heading(w *http.Response) Result {
	res := Result{
		Status: w.StatusCode,
		Run:    chestnutstep.RunStatus(w.Header.Get(chestnutstep.HeaderRun)),
		Hint:   w.Header.Get(chestnutstep.HeaderHint),
		Ticket: w.Header.Get(chestnutstep.HeaderTicket),
	}
	if n, err := strconv.ParseFloat(w.Header.Get("Retry-After"), 64); err == nil {
		res.Retry = time.Duration(n * float64(time.Second))
	}
	return res
}

func (r Result) refusal(body io.Reader) Result {
	var p Problem
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		r.Kind, r.Err = Broken, errors.Wrap(err, "problem document")
		return r
	}
	r.Kind, r.Code = Refused, p.Code
	if r.Ticket == "" {
		r.Ticket = p.Ticket
	}
	return r
}

// document reads a plain answer: it is whole if its length is as declared.
func (r Result) document(body io.Reader) Result {
	r.Data, r.Err = io.ReadAll(body)
	r.Kind = Whole
	if r.Err != nil {
		r.Kind = Broken
	}
	return r
}

// stage is one event stream as it is read.
type stage struct {
	caller  *Caller
	ask     Request
	began   time.Time
	last    time.Time
	checker Checker
	res     Result
}

func (s *stage) read(body io.Reader) Result {
	buf := make([]byte, 8<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, bad := s.checker.Write(buf[:n]); bad != nil {
				return s.end(Foreign, bad)
			}
			s.clock()
			s.tell()
		}
		if s.ask.Cancel > 0 && s.checker.Tokens >= s.ask.Cancel {
			return s.end(Canceled, nil)
		}
		if err == io.EOF {
			return s.end(s.atEnd(), nil)
		}
		if err != nil {
			return s.end(Broken, err)
		}
	}
}

// clock notes the time to the first byte and between pieces.
func (s *stage) clock() {
	now := time.Now()
	if s.res.First == 0 {
		s.res.First = now.Sub(s.began)
	} else if s.caller.Gap != nil {
		s.caller.Gap(now.Sub(s.last))
	}
	s.last = now
}

func (s *stage) tell() {
	if s.ask.Seen != nil {
		s.ask.Seen(s.checker.Tokens)
	}
}

func (s *stage) atEnd() Kind {
	switch {
	case s.checker.Done != nil:
		return Whole
	case s.checker.Failed:
		return Broken
	}
	return Short
}

func (s *stage) end(k Kind, err error) Result {
	s.res.Kind, s.res.Err = k, err
	s.res.Tokens = s.checker.Tokens
	if s.checker.Done != nil {
		s.res.Cached = s.checker.Done.Cached
	}
	return s.res
}

// ticketAsk is the body of a request for tickets, ticketBatch the answer.
type ticketAsk struct {
	Profile string `json:"profile"`
	Count   int    `json:"count"`
}

type ticketBatch struct {
	Tickets []string `json:"tickets"`
}

// Tickets asks an entry for tickets of a profile.
func (c *Caller) Tickets(ctx context.Context, entry int, profile string, n int) ([]string, error) {
	body, _ := json.Marshal(ticketAsk{profile, n})
	res := c.Do(ctx, Request{Entry: entry, Profile: profile, Path: "/chestnut/tickets", Body: body})
	if res.Kind != Whole || res.Status != http.StatusOK {
		return nil, errors.Newf("tickets: %s %d %s: %v", res.Kind, res.Status, res.Code, res.Err)
	}
	var batch ticketBatch
	if err := json.Unmarshal(res.Data, &batch); err != nil {
		return nil, errors.Wrap(err, "tickets")
	}
	return batch.Tickets, nil
}

// callerIdle is how many connections to one entry a caller keeps: as many as
// the streams that the largest test opens at once.
const callerIdle = 1024

// NewClient returns an HTTP client that keeps enough connections for a load
// test; the default one would reconnect for nearly every request.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: callerIdle,
		DisableCompression:  true,
	}}
}
