package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/stand"
)

// requestKinds are the names of the routes that callers use.
var requestKinds = []string{"book", "look", "talk/stream", "tell/stream"}

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
		c.send()
		time.Sleep(time.Duration(c.rand.IntN(15)) * time.Millisecond)
	}
}

func (c *caller) send() {
	s := c.soak
	s.mu.Lock()
	s.lastRequest++
	req := &request{
		id: fmt.Sprintf("req-%d", s.lastRequest), kind: requestKinds[c.rand.IntN(len(requestKinds))],
		key: s.keys[c.rand.IntN(len(s.keys))],
	}
	s.requests = append(s.requests, req)
	e := s.entries[c.rand.IntN(len(s.entries))]
	s.mu.Unlock()
	// net/http can't rewind a MultiReader and therefore doesn't retry the request itself.
	body := io.MultiReader(strings.NewReader("body of " + req.id))
	r, err := http.NewRequest(http.MethodPost, "http://"+e.frontendAddr+"/"+req.kind+"/x", body)
	if err != nil {
		req.result = "broken"
		return
	}
	r.Host = "soak.example"
	r.Header.Set("Attempt-Id", req.id)
	r.Header.Set("Credential", req.key.text)
	r.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	req.sentAt = time.Now()
	resp, err := c.client.Do(r)
	if err != nil {
		req.result = "broken"
		return
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	req.status = resp.StatusCode
	req.result = resultOf(req, resp, string(raw), err)
}

// resultOf classifies an answer: "whole", "refused", "broken", or a text that begins
// with "wrong" for an answer that callers must never receive.
func resultOf(x *request, resp *http.Response, text string, err error) string {
	switch {
	case resp.StatusCode != http.StatusOK:
		return "refused"
	case err != nil && strings.Contains(x.kind, "stream") && !strings.HasPrefix(events(6), text):
		return "wrong: events missing or out of order before the connection broke"
	case err != nil:
		return "broken"
	case resp.Header.Get("Server-Signature") == "":
		return "wrong: answer without Server-Signature"
	case strings.Contains(x.kind, "stream"):
		if text == events(6) {
			return "whole"
		}
		return fmt.Sprintf("wrong: %q ended as a complete stream", text)
	case text == "answer to "+x.id:
		return "whole"
	default:
		return fmt.Sprintf("wrong: %q", text)
	}
}

// events returns a complete stream of n events.
func events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(stand.Event(i, ""))
	}
	return b.String()
}
