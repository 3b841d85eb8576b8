package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/stand"
)

// requestKinds are the names of the routes that callers use.
var requestKinds = []string{"book", "look", "talk/stream", resumableKind}

// streamKinds are those whose answers are streams.
var streamKinds = []string{"talk/stream", resumableKind}

// resumableKind is the kind of the streams that callers can take up again.
const resumableKind = "tell/stream"

// callerTimeout is the timeout of one request of a caller.
const callerTimeout = 3 * time.Second

// caller sends requests until the run ends. It reuses its connections for as long as
// the entry process exists.
type caller struct {
	soak   *Soak
	number int
	rand   *rand.Rand
	client *http.Client
}

func (c *caller) run(all *sync.WaitGroup) {
	defer all.Done()
	c.client = &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	for {
		select {
		case <-c.soak.stop:
			return
		default:
		}
		if c.soak.HardLoad {
			c.sendUnderLoad()
		} else {
			c.send()
		}
		time.Sleep(time.Duration(c.rand.IntN(15)) * time.Millisecond)
	}
}

// eventsBeforeLeaving is the number of events after which a caller leaves on purpose.
const eventsBeforeLeaving = 2

// maxReturns is how often a caller comes back for the rest of a broken stream.
const maxReturns = 2

// send sends a request, and takes up its stream at any entry if it breaks.
func (c *caller) send() {
	kinds := requestKinds
	if c.soak.StreamsOnly {
		kinds = streamKinds
	}
	kind := kinds[c.rand.IntN(len(kinds))]
	first := c.newRequest(kind)
	first.leaves = kind == resumableKind && c.rand.IntN(2) == 0
	c.do(first)
	last := first
	for n := 0; n < maxReturns && last.result == "broken" && kind == resumableKind; n++ {
		received := strings.Count(last.text, "\n\n")
		if received == 0 && last.after == 0 {
			return
		}
		next := c.newRequest(kind)
		next.key, next.resumes, next.after, next.build = first.key, first.id, last.after+received, first.build
		c.do(next)
		last = next
	}
}

// newRequest adds a request with a random key that goes to a random entry.
func (c *caller) newRequest(kind string) *request {
	s := c.soak
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest++
	req := &request{
		id: fmt.Sprintf("req-%d", s.lastRequest), kind: kind, key: s.keys[c.rand.IntN(len(s.keys))],
		entry: s.entries[c.rand.IntN(len(s.entries))], path: "/x", timeout: callerTimeout, stays: callerTimeout,
	}
	req.content = req.id
	s.requests = append(s.requests, req)
	return req
}

// do sends a request and records its outcome.
func (c *caller) do(req *request) {
	// net/http can't rewind a MultiReader and therefore doesn't retry the request itself.
	sent := io.MultiReader(strings.NewReader("body of " + req.content))
	ctx, cancel := context.WithTimeout(context.Background(), req.stays)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+req.entry.frontendAddr+"/"+req.kind+req.path, sent)
	if err != nil {
		req.result = "broken"
		return
	}
	r.Host = "soak.example"
	r.Header.Set("Attempt-Id", req.id)
	r.Header.Set("Credential", req.key.text)
	r.Header.Set("Deadline-Ms", fmt.Sprint(req.timeout.Milliseconds()))
	if req.resumes != "" {
		r.Header.Set("Resumes", req.resumes)
		r.Header.Set("Last-Event-Id", fmt.Sprint(req.after))
	}
	req.sentAt = time.Now()
	defer func() { req.endedAt = time.Now() }()
	resp, err := c.roundTrip(r)
	if err != nil {
		req.result = "broken"
		return
	}
	defer resp.Body.Close()
	var body io.Reader = resp.Body
	if req.leaves {
		body = &eventLimit{br: bufio.NewReader(body), events: eventsBeforeLeaving}
	}
	raw, err := io.ReadAll(body)
	if err == nil && req.leaves && resp.StatusCode == http.StatusOK {
		err = io.ErrUnexpectedEOF
	}
	req.retryAfter, _ = time.ParseDuration(resp.Header.Get("Retry-After") + "s") // 0 if it is missing
	req.status, req.text = resp.StatusCode, stand.WithoutComments(string(raw))
	req.result = resultOf(req, resp, err)
}

// roundTrip sends a request. In a run with StreamsOnly one caller speaks HTTP/1.0, for which a stream ends with
// its connection.
func (c *caller) roundTrip(r *http.Request) (*http.Response, error) {
	if !c.soak.StreamsOnly || c.number != 0 {
		return c.client.Do(r)
	}
	conn, err := net.Dial("tcp", r.URL.Host)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(callerTimeout)) // fails only on a closed connection
	body, err := io.ReadAll(r.Body)
	if err == nil {
		fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", r.URL.Path, r.Host, len(body))
		_ = r.Header.Write(conn)
		_, err = fmt.Fprintf(conn, "\r\n%s", body)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		conn.Close()
		return nil, err
	}
	resp.Body = &connBody{Reader: resp.Body, conn: conn}
	return resp, nil
}

// connBody is a body whose connection is closed with it.
type connBody struct {
	io.Reader
	conn net.Conn
}

// Close closes the connection.
func (b *connBody) Close() error { return b.conn.Close() }

// eventLimit reads a stream up to the end of some event.
type eventLimit struct {
	br     *bufio.Reader
	events int
	last   byte
}

// Read reads one byte.
func (r *eventLimit) Read(p []byte) (int, error) {
	if r.events == 0 || len(p) == 0 {
		return 0, io.EOF
	}
	b, err := r.br.ReadByte()
	if err != nil {
		return 0, err
	}
	if b == '\n' && r.last == '\n' {
		r.events--
	}
	p[0], r.last = b, b
	return 1, nil
}

// resultOf classifies an answer: "whole", "refused", "broken", or a text that begins
// with "wrong" for an answer that callers must never receive.
func resultOf(x *request, resp *http.Response, err error) string {
	isStream, want := strings.Contains(x.kind, "stream"), "answer to "+x.id
	if x.entry.soak.HardLoad {
		want = stand.NamedAnswer(strings.TrimPrefix(resp.Header.Get("Server-Signature"), "sig-"), x.id)
	}
	switch {
	case resp.StatusCode != http.StatusOK:
		return "refused"
	case isStream && !x.isPartOfStream():
		return fmt.Sprintf("wrong: %q after event %d of build %q", x.text, x.after, x.build)
	case err != nil:
		return "broken"
	case resp.Header.Get("Server-Signature") == "":
		return "wrong: answer without Server-Signature"
	case isStream && x.text != events(x.after, x.build):
		return fmt.Sprintf("wrong: %q ended as a complete stream", x.text)
	case isStream, x.text == want:
		return "whole"
	default:
		return fmt.Sprintf("wrong: %q", x.text)
	}
}

// isPartOfStream reports whether the text is the beginning of what a target of the
// request's build sends. The first event of a stream determines its build.
func (x *request) isPartOfStream() bool {
	if sent := stand.Builds(x.text); x.build == "" && len(sent) > 0 {
		x.build = sent[0]
	}
	if x.build == "" { // the first event is incomplete
		return strings.HasPrefix(events(x.after, builds[0]), x.text) || strings.HasPrefix(events(x.after, builds[1]), x.text)
	}
	return strings.HasPrefix(events(x.after, x.build), x.text)
}

// events returns the events of a complete stream that follow the given one.
func events(after int, build string) string {
	var b strings.Builder
	for i := after + 1; i <= eventCount; i++ {
		b.WriteString(stand.Event(i, build))
	}
	return b.String()
}
