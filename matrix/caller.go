package matrix

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// ResultKind classifies an answer from the point of view of its caller.
type ResultKind string

// The kinds of results.
const (
	Complete     ResultKind = "whole"    // the complete answer to the caller's request
	Refused      ResultKind = "refused"  // an answer with an error status
	Broken       ResultKind = "broken"   // no answer, or one that is detectably incomplete
	Truncated    ResultKind = "short"    // an incomplete answer that looks complete: always a failure
	Misdelivered ResultKind = "mistaken" // the answer to another request: always a failure
)

// Attempt is the result of one attempt of a caller.
type Attempt struct {
	Kind   ResultKind
	Status int
	Run    chestnutstep.RunStatus
	Code   string
	// Key is the idempotency key of the request. Each new ticket changes it.
	Key string
	// Runs is the number of executions of the key, on all targets, when the attempt ended.
	Runs int
}

// String formats the attempt for messages of failed tests.
func (a Attempt) String() string {
	return fmt.Sprintf("%s %d run=%s code=%s key=%s ran=%d", a.Kind, a.Status, a.Run, a.Code, a.Key, a.Runs)
}

// Caller sends one request and retries it until it gets a complete answer or has made
// MaxTries attempts. The first attempt goes through the first entry, retries go
// through the second.
type Caller struct {
	Stack   *Stack
	Profile string
	Chat    string
	// Name makes the content of the request, and therefore its answer, unique.
	Name string
	// Large makes the body too large to be sent with the offer.
	Large bool
	// Timeout is the time limit of each attempt.
	Timeout time.Duration
	// MaxTries is the maximum number of attempts.
	MaxTries int
	// Pause is the time between attempts, defaultPause if 0.
	Pause time.Duration
	// OnAttempt, if set, is called with the index of each attempt after it has ended.
	OnAttempt func(int)

	ticket  string
	tickets int
}

const (
	// largeBodySize is a body size that does not fit into an offer.
	largeBodySize = 40 << 10
	// answerTokens is the length of an answer in tokens: more than middleFrame frames.
	answerTokens = 12
	// defaultPause is the time between attempts, long enough for a target to restart.
	defaultPause = 100 * time.Millisecond
	// timeoutSlack is added to the time limit of an attempt, so that the caller gets the
	// timeout response of the entry.
	timeoutSlack = time.Second
)

// Run sends the request and its retries and returns all attempts.
func (c *Caller) Run() []Attempt {
	var list []Attempt
	for i := range c.MaxTries {
		if i > 0 {
			time.Sleep(cmp.Or(c.Pause, defaultPause))
		}
		a := c.try(min(i, Entries-1))
		list = append(list, a)
		if c.OnAttempt != nil {
			c.OnAttempt(i)
		}
		if a.Kind == Complete {
			break
		}
	}
	return list
}

func (c *Caller) try(entry int) Attempt {
	if c.needsTicket() && c.ticket == "" {
		if a, ok := c.mint(entry); !ok {
			return a
		}
	}
	a := Attempt{Kind: Broken, Key: c.key()}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+timeoutSlack)
	defer cancel()
	rs, err := c.send(ctx, entry, c.path(), c.body())
	if err == nil {
		c.read(rs, &a)
	}
	a.Runs = c.countRuns(a.Key)
	return a
}

func (c *Caller) needsTicket() bool { return c.Profile == ProfileBook && !c.Stack.Naive }

// key returns the idempotency key of the request. It changes with the ticket, because each ticket
// permits one execution.
func (c *Caller) key() string { return fmt.Sprintf("%s-%d", c.Name, c.tickets) }

func (c *Caller) path() string {
	if c.Profile == ProfileBook {
		return "/bookings"
	}
	return "/v1/chat"
}

func (c *Caller) body() []byte {
	text := ""
	if c.Large {
		text = strings.Repeat("x", largeBodySize)
	}
	var v any = fake.ChatRequest{Prompt: 20, Output: answerTokens, Note: c.Name, Text: text}
	if c.Profile == ProfileBook {
		v = fake.Action{Action: c.Name, Text: text}
	}
	raw, _ := json.Marshal(v)
	return raw
}

func (c *Caller) send(ctx context.Context, entry int, path string, body []byte) (*http.Response, error) {
	url := "http://" + c.Stack.EntryRelays[entry].Addr() + path
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Each attempt uses its own connection, because net/http can retry a request that fails on a reused one.
	rq.Close = true
	h := rq.Header
	h.Set("Authorization", "Bearer "+Key)
	h.Set(chestnutstep.HeaderProfile, c.Profile)
	h.Set(chestnutstep.HeaderChat, c.Chat)
	h.Set(chestnutstep.HeaderTimeout, c.Timeout.String())
	h.Set(chestnutstep.HeaderIdempotencyKey, c.key())
	if c.ticket != "" {
		h.Set(chestnutstep.HeaderTicket, c.ticket)
	}
	return http.DefaultClient.Do(rq)
}

// mint requests a ticket. If it gets none, it returns the failed attempt and false.
func (c *Caller) mint(entry int) (Attempt, bool) {
	a := Attempt{Kind: Broken, Key: c.key()}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+timeoutSlack)
	defer cancel()
	rs, err := c.send(ctx, entry, "/chestnut/tickets", []byte(`{"profile":"book","count":1}`))
	if err != nil {
		return a, false
	}
	defer rs.Body.Close()
	a.Status = rs.StatusCode
	var out struct {
		Tickets []string `json:"tickets"`
	}
	if json.NewDecoder(rs.Body).Decode(&out) != nil || len(out.Tickets) != 1 {
		a.Kind = Refused
		return a, false
	}
	c.useTicket(out.Tickets[0])
	return a, true
}

func (c *Caller) useTicket(ticket string) {
	c.ticket = ticket
	c.tickets++
}

// read reads and classifies an answer.
func (c *Caller) read(rs *http.Response, a *Attempt) {
	defer rs.Body.Close()
	a.Status = rs.StatusCode
	a.Run = chestnutstep.RunStatus(rs.Header.Get(chestnutstep.HeaderRun))
	raw, err := io.ReadAll(rs.Body)
	switch {
	case rs.StatusCode != http.StatusOK:
		c.readRefusal(rs, raw, a)
	case c.Profile == ProfileBook:
		a.Kind = c.checkEffect(raw, err)
	default:
		a.Kind = c.checkStream(raw, err)
	}
}

// readRefusal reads a refusal. It keeps the ticket while the request can have run with it and
// replaces it only if the refusal states that the request did not run.
func (c *Caller) readRefusal(rs *http.Response, raw []byte, a *Attempt) {
	a.Kind = Refused
	var p struct {
		Code string `json:"code"`
	}
	_ = json.Unmarshal(raw, &p)
	a.Code = p.Code
	if !c.needsTicket() || a.Run != chestnutstep.RunNo {
		return
	}
	c.ticket = ""
	if ticket := rs.Header.Get(chestnutstep.HeaderTicket); ticket != "" {
		c.useTicket(ticket)
	}
}

func (c *Caller) checkEffect(raw []byte, err error) ResultKind {
	var e fake.Effect
	switch {
	case err != nil:
		return Broken
	case json.Unmarshal(raw, &e) != nil:
		return Truncated
	case e.Action != c.Name:
		return Misdelivered
	}
	return Complete
}

func (c *Caller) checkStream(raw []byte, err error) ResultKind {
	check := fake.Checker{Seed: fake.Seed(c.Chat, c.body())}
	raw, failed := cutFailure(raw)
	if _, mismatch := check.Write(raw); mismatch != nil {
		return Misdelivered
	}
	switch {
	case check.Done != nil:
		return Complete
	case err != nil || failed:
		return Broken
	}
	return Truncated
}

// countRuns returns the number of executions of a key on all targets.
func (c *Caller) countRuns(key string) int {
	n := 0
	for _, node := range c.Stack.Nodes {
		for _, e := range node.Executions() {
			if e.Request == key {
				n++
			}
		}
	}
	return n
}

// failure is the first line of the event that an entry sends if an answer is interrupted. If the
// answer is cut inside an event, the lines of the incomplete event precede it without a blank line.
const failure = "event: error\n"

// cutFailure removes the failure event from raw and reports whether there was one.
func cutFailure(raw []byte) ([]byte, bool) {
	if bytes.HasPrefix(raw, []byte(failure)) {
		return nil, true
	}
	i := bytes.Index(raw, []byte("\n"+failure))
	if i < 0 {
		return raw, false
	}
	return raw[:i+1], true
}
