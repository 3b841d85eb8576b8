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

// ResultKind is what a caller can tell of one answer.
type ResultKind string

// The verdicts.
const (
	Complete     ResultKind = "whole"    // all of the caller's own answer
	Refused      ResultKind = "refused"  // an answer that says why not
	Broken       ResultKind = "broken"   // no answer, or one that shows that it is not whole
	Truncated    ResultKind = "short"    // looks whole and is not: must never be
	Misdelivered ResultKind = "mistaken" // another's answer: must never be
)

// Attempt is one try of a caller.
type Attempt struct {
	Kind   ResultKind
	Status int
	Run    chestnutstep.RunStatus
	Code   string
	// Key names the request; a new ticket gets a new one.
	Key string
	// Runs says how often the key had run when the answer came.
	Runs int
}

// String is for messages of failed tests.
func (a Attempt) String() string {
	return fmt.Sprintf("%s %d run=%s code=%s key=%s ran=%d", a.Kind, a.Status, a.Run, a.Code, a.Key, a.Runs)
}

// Caller sends one request until it has the answer or nothing more can be
// learnt. Its first try goes through the first entry, repeats through the
// second.
type Caller struct {
	Stack   *Stack
	Profile string
	Chat    string
	// Name makes the content, and so the answer, its own.
	Name string
	// Large makes the body too large to go along with the offer.
	Large bool
	// Timeout is the time limit of each try.
	Timeout time.Duration
	// MaxTries is the most that are made.
	MaxTries int
	// Pause between tries; as short as a target's restart when 0.
	Pause time.Duration
	// OnAttempt is told of each try's end.
	OnAttempt func(int)

	ticket  string
	tickets int
}

const (
	// largeBodySize does not fit an offer.
	largeBodySize = 40 << 10
	// answerTokens of an answer: enough for a middle.
	answerTokens = 12
	// defaultPause between tries; long enough for a target to restart.
	defaultPause = 100 * time.Millisecond
	// timeoutSlack is how much longer than its time limit a caller waits for the
	// entry to say so.
	timeoutSlack = time.Second
)

// Run makes the tries.
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

// key is the request's name. It changes with the ticket: a new ticket is
// another permission to run.
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
	// Each try has a connection of its own, and net/http repeats nothing.
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

// mint asks for a ticket.
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

// read judges an answer as a careful caller does.
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

// readRefusal keeps the ticket while the request may have run under it, and takes
// a fresh one only after a "not run".
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
	if _, foreign := check.Write(raw); foreign != nil {
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

// countRuns is how often a key has run, at all targets.
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

// failure is how an entry begins the event that says that the answer broke
// off. It begins a line, but not an event where one was cut in two: the lines
// before it then belong to the error.
const failure = "event: error\n"

// cutFailure takes that event off, and says whether there was one.
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
