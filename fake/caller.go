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

// ResultKind classifies an answer as its caller sees it.
type ResultKind string

// Kinds of results.
const (
	Complete     ResultKind = "whole"    // complete, and the answer to this request
	Broken       ResultKind = "broken"   // reported as incomplete by an error event or a connection error
	Truncated    ResultKind = "short"    // ended like a complete answer but is incomplete: never allowed
	Misdelivered ResultKind = "foreign"  // contains the answer to another request: never allowed
	Refused      ResultKind = "refused"  // a problem document
	Canceled     ResultKind = "canceled" // canceled by the caller itself
	Unreachable  ResultKind = "absent"   // no HTTP response: the entry is not reachable
)

// Caller is a fake client program: it sends requests to entries and verifies
// every answer.
type Caller struct {
	// Entries are the base URLs of the entries.
	Entries []string
	// Key is the API key of the caller's workspace.
	Key string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
	// OnGap, if set, is called with the time between two reads of a stream.
	// It is called from many goroutines concurrently.
	OnGap func(time.Duration)
}

// Request describes one request of a caller.
type Request struct {
	// Entry is an index into the caller's entries.
	Entry   int
	Profile string
	Chat    string
	// IdempotencyKey is the Idempotency-Key header: a repeated request with the
	// same key joins the first one.
	IdempotencyKey string
	Ticket         string
	Hint           string
	Timeout        time.Duration
	// Method and Path default to POST and /v1/chat.
	Method, Path string
	Body         []byte
	// CancelAfter is the number of tokens after which the caller cancels the
	// request; 0 reads to the end.
	CancelAfter int
	// OnTokens, if set, is called after each read with the number of tokens
	// received so far.
	OnTokens func(tokens int)
}

// Result is the outcome of a request as its caller sees it.
type Result struct {
	Kind   ResultKind
	Status int
	// Code is the code of a problem document.
	Code   string
	Run    chestnutstep.RunStatus
	Hint   string
	Ticket string
	// RetryAfter is the delay of the Retry-After header; 0 without the header.
	RetryAfter time.Duration
	Tokens     int
	// Cached is the number of prompt tokens found in the cache.
	Cached int
	// FirstByte is the time to the first byte of the body.
	FirstByte time.Duration
	// Data is the body of an answer that is not an event stream.
	Data []byte
	Err  error
}

// Problem holds the fields of a problem document that callers use.
type Problem struct {
	Code   string `json:"code"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
	Ticket string `json:"ticket"`
}

// Do sends a request, reads the answer to its end and classifies it.
func (c *Caller) Do(ctx context.Context, req Request) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	w, err := c.send(ctx, req)
	if err != nil {
		return Result{Kind: Unreachable, Err: err}
	}
	defer w.Body.Close()
	res := newResult(w)
	if strings.HasPrefix(w.Header.Get("Content-Type"), "application/problem+json") {
		return res.readProblem(w.Body)
	}
	if w.Header.Get("Content-Type") != "text/event-stream" {
		return res.readDocument(w.Body)
	}
	s := answerReader{caller: c, request: req, startedAt: start, lastRead: start, res: res}
	s.checker.Seed = Seed(req.Chat, req.Body)
	return s.read(w.Body)
}

func (c *Caller) send(ctx context.Context, req Request) (*http.Response, error) {
	method, path := req.Method, req.Path
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = "/v1/chat"
	}
	r, err := http.NewRequestWithContext(ctx, method, c.Entries[req.Entry]+path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set(chestnutstep.HeaderProfile, req.Profile)
	setHeader(r.Header, chestnutstep.HeaderChat, req.Chat)
	setHeader(r.Header, chestnutstep.HeaderIdempotencyKey, req.IdempotencyKey)
	setHeader(r.Header, chestnutstep.HeaderTicket, req.Ticket)
	setHeader(r.Header, chestnutstep.HeaderHint, req.Hint)
	if req.Timeout > 0 {
		r.Header.Set(chestnutstep.HeaderTimeout, req.Timeout.String())
	}
	return c.client().Do(r)
}

func (c *Caller) client() *http.Client {
	if c.Client != nil {
		return c.Client
	}
	return http.DefaultClient
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func newResult(w *http.Response) Result {
	res := Result{
		Status: w.StatusCode,
		Run:    chestnutstep.RunStatus(w.Header.Get(chestnutstep.HeaderRun)),
		Hint:   w.Header.Get(chestnutstep.HeaderHint),
		Ticket: w.Header.Get(chestnutstep.HeaderTicket),
	}
	if n, err := strconv.ParseFloat(w.Header.Get("Retry-After"), 64); err == nil {
		res.RetryAfter = time.Duration(n * float64(time.Second))
	}
	return res
}

func (r Result) readProblem(body io.Reader) Result {
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

// readDocument reads an answer that is not an event stream. It is complete if
// its length matches Content-Length.
func (r Result) readDocument(body io.Reader) Result {
	r.Data, r.Err = io.ReadAll(body)
	r.Kind = Complete
	if r.Err != nil {
		r.Kind = Broken
	}
	return r
}

// answerReader reads and verifies one event stream.
type answerReader struct {
	caller    *Caller
	request   Request
	startedAt time.Time
	lastRead  time.Time
	checker   Checker
	res       Result
}

func (s *answerReader) read(body io.Reader) Result {
	buf := make([]byte, 8<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, mismatch := s.checker.Write(buf[:n]); mismatch != nil {
				return s.finish(Misdelivered, mismatch)
			}
			s.recordTime()
			s.notifyTokens()
		}
		if s.request.CancelAfter > 0 && s.checker.Tokens >= s.request.CancelAfter {
			return s.finish(Canceled, nil)
		}
		if err == io.EOF {
			return s.finish(s.endKind(), nil)
		}
		if err != nil {
			return s.finish(Broken, err)
		}
	}
}

// recordTime records the time to the first byte and reports the time between reads.
func (s *answerReader) recordTime() {
	now := time.Now()
	if s.res.FirstByte == 0 {
		s.res.FirstByte = now.Sub(s.startedAt)
	} else if s.caller.OnGap != nil {
		s.caller.OnGap(now.Sub(s.lastRead))
	}
	s.lastRead = now
}

func (s *answerReader) notifyTokens() {
	if s.request.OnTokens != nil {
		s.request.OnTokens(s.checker.Tokens)
	}
}

func (s *answerReader) endKind() ResultKind {
	switch {
	case s.checker.Done != nil:
		return Complete
	case s.checker.Failed:
		return Broken
	}
	return Truncated
}

func (s *answerReader) finish(k ResultKind, err error) Result {
	s.res.Kind, s.res.Err = k, err
	s.res.Tokens = s.checker.Tokens
	if s.checker.Done != nil {
		s.res.Cached = s.checker.Done.Cached
	}
	return s.res
}

// ticketRequest is the body of a request for tickets; ticketBatch is the response.
type ticketRequest struct {
	Profile string `json:"profile"`
	Count   int    `json:"count"`
}

type ticketBatch struct {
	Tickets []string `json:"tickets"`
}

// Tickets requests n tickets for a profile from an entry.
func (c *Caller) Tickets(ctx context.Context, entry int, profile string, n int) ([]string, error) {
	body, _ := json.Marshal(ticketRequest{profile, n})
	res := c.Do(ctx, Request{Entry: entry, Profile: profile, Path: "/chestnut/tickets", Body: body})
	if res.Kind != Complete || res.Status != http.StatusOK {
		return nil, errors.Newf("tickets: %s %d %s: %v", res.Kind, res.Status, res.Code, res.Err)
	}
	var batch ticketBatch
	if err := json.Unmarshal(res.Data, &batch); err != nil {
		return nil, errors.Wrap(err, "tickets")
	}
	return batch.Tickets, nil
}

// maxIdleConns is the number of idle connections that a caller keeps per entry:
// the number of concurrent streams of the largest test.
const maxIdleConns = 1024

// NewClient returns an HTTP client that keeps enough idle connections for a load
// test; the default client keeps 2 per host and would reconnect for most requests.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}}
}
