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

// Verdict is what a caller can tell of one answer.
type Verdict string

// The verdicts.
const (
	Whole    Verdict = "whole"    // all of the caller's own answer
	Refused  Verdict = "refused"  // an answer that says why not
	Broken   Verdict = "broken"   // no answer, or one that shows that it is not whole
	Short    Verdict = "short"    // looks whole and is not: must never be
	Mistaken Verdict = "mistaken" // another's answer: must never be
)

// Attempt is one try of a caller.
type Attempt struct {
	Verdict Verdict
	Status  int
	Run     chestnutstep.RunStatus
	Code    string
	// Key names the request; a new ticket gets a new one.
	Key string
	// Ran says how often the key had run when the answer came.
	Ran int
}

// String is for messages of failed tests.
func (a Attempt) String() string {
	return fmt.Sprintf("%s %d run=%s code=%s key=%s ran=%d", a.Verdict, a.Status, a.Run, a.Code, a.Key, a.Ran)
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
	// Tries is the most that are made.
	Tries int
	// Pause between tries; as short as a target's restart when 0.
	Pause time.Duration
	// Tried is told of each try's end.
	Tried func(int)

	ticket  string
	tickets int
}

const (
	// large does not fit an offer.
	large = 40 << 10
	// tokens of an answer: enough for a middle.
	tokens = 12
	// pause between tries; long enough for a target to restart.
	pause = 100 * time.Millisecond
	// slack is how much longer than its time limit a caller waits for the
	// entry to say so.
	slack = time.Second
)

// Run makes the tries.
func (c *Caller) Run() []Attempt {
	var list []Attempt
	for i := range c.Tries {
		if i > 0 {
			time.Sleep(cmp.Or(c.Pause, pause))
		}
		a := c.try(min(i, Entries-1))
		list = append(list, a)
		if c.Tried != nil {
			c.Tried(i)
		}
		if a.Verdict == Whole {
			break
		}
	}
	return list
}

func (c *Caller) try(entry int) Attempt {
	if c.once() && c.ticket == "" {
		if a, ok := c.mint(entry); !ok {
			return a
		}
	}
	a := Attempt{Verdict: Broken, Key: c.key()}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+slack)
	defer cancel()
	rs, err := c.send(ctx, entry, c.path(), c.body())
	if err == nil {
		c.read(rs, &a)
	}
	a.Ran = c.ran(a.Key)
	return a
}

func (c *Caller) once() bool { return c.Profile == ProfileBook && !c.Stack.Naive }

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
		text = strings.Repeat("x", large)
	}
	var v any = fake.Ask{Prompt: 20, Output: tokens, Note: c.Name, Text: text}
	if c.Profile == ProfileBook {
		v = fake.Action{Action: c.Name, Text: text}
	}
	raw, _ := json.Marshal(v)
	return raw
}

func (c *Caller) send(ctx context.Context, entry int, path string, body []byte) (*http.Response, error) {
	url := "http://" + c.Stack.Fronts[entry].Addr() + path
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
	a := Attempt{Verdict: Broken, Key: c.key()}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+slack)
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
		a.Verdict = Refused
		return a, false
	}
	c.take(out.Tickets[0])
	return a, true
}

func (c *Caller) take(ticket string) {
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
		c.refused(rs, raw, a)
	case c.Profile == ProfileBook:
		a.Verdict = c.judgeEffect(raw, err)
	default:
		a.Verdict = c.judgeStream(raw, err)
	}
}

// refused keeps the ticket while the request may have run under it, and takes
// a fresh one only after a "not run".
func (c *Caller) refused(rs *http.Response, raw []byte, a *Attempt) {
	a.Verdict = Refused
	var p struct {
		Code string `json:"code"`
	}
	_ = json.Unmarshal(raw, &p)
	a.Code = p.Code
	if !c.once() || a.Run != chestnutstep.RunNo {
		return
	}
	c.ticket = ""
	if fresh := rs.Header.Get(chestnutstep.HeaderTicket); fresh != "" {
		c.take(fresh)
	}
}

func (c *Caller) judgeEffect(raw []byte, err error) Verdict {
	var e fake.Effect
	switch {
	case err != nil:
		return Broken
	case json.Unmarshal(raw, &e) != nil:
		return Short
	case e.Action != c.Name:
		return Mistaken
	}
	return Whole
}

func (c *Caller) judgeStream(raw []byte, err error) Verdict {
	check := fake.Checker{Seed: fake.Seed(c.Chat, c.body())}
	raw, failed := cutFailure(raw)
	if _, foreign := check.Write(raw); foreign != nil {
		return Mistaken
	}
	switch {
	case check.Done != nil:
		return Whole
	case err != nil || failed:
		return Broken
	}
	return Short
}

// ran is how often a key has run, at all targets.
func (c *Caller) ran(key string) int {
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
