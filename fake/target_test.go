package fake

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

// testTarget runs a script against one fake target.
type testTarget struct {
	t      *testing.T
	target http.Handler
	srv    *httptest.Server
	boots  map[string]string
	calls  map[string]*call
}

// call is one request in flight.
type call struct {
	request *http.Request
	cancel  context.CancelFunc
	answer  *http.Response
	done    chan struct{}
}

func (c *call) run() {
	defer close(c.done)
	w, err := http.DefaultClient.Do(c.request)
	if err == nil {
		c.answer = w
	}
}

// TestTargets runs the scripts of testdata/target: the answers of a fake target
// that is healthy, cold, crashing, or sending wrong answers.
func TestTargets(t *testing.T) {
	datadriven.Walk(t, "testdata/target", func(t *testing.T, path string) {
		b := &testTarget{t: t, boots: map[string]string{}, calls: map[string]*call{}}
		datadriven.RunTest(t, path, b.step)
	})
}

func (b *testTarget) step(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "engine":
		e := &Engine{BaseStep: 100 * time.Microsecond, Rand: rand.New(rand.NewPCG(1, 2))}
		d.MaybeScanArgs(t, "slots", &e.Slots)
		d.MaybeScanArgs(t, "cache", &e.CacheTokens)
		d.MaybeScanArgs(t, "cold", &e.ColdCapacity)
		d.MaybeScanArgs(t, "warm", &e.WarmupRequests)
		d.MaybeScanArgs(t, "fenced", &e.Fenced)
		return b.serve(e)
	case "service":
		return b.serve(&Service{Rand: rand.New(rand.NewPCG(1, 2))})
	case "open":
		return b.start(d)
	case "read":
		return b.finish(d)
	case "cancel":
		b.calls[d.CmdArgs[0].Key].cancel()
		return ""
	case "send":
		b.start(d)
		return b.finish(d)
	case "control":
		return b.control(d)
	case "wait":
		return b.wait(d)
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (b *testTarget) serve(h http.Handler) string {
	b.target = h
	b.srv = httptest.NewServer(h)
	b.t.Cleanup(b.srv.CloseClientConnections)
	return ""
}

// start sends a request in the background. Its arguments are NAME METHOD PATH and
// headers as KEY=VALUE; the input is the body.
func (b *testTarget) start(d *datadriven.TestData) string {
	name := d.CmdArgs[0].Key
	ctx, cancel := context.WithCancel(b.t.Context())
	r, err := http.NewRequestWithContext(ctx, d.CmdArgs[1].Key, b.srv.URL+d.CmdArgs[2].Key, strings.NewReader(d.Input))
	assert.NilError(b.t, err)
	r.Header.Set(chestnutstep.HeaderRequestID, name)
	r.Header.Set(HeaderWorkspace, "desk")
	for _, a := range d.CmdArgs[3:] {
		r.Header.Set(a.Key, a.Vals[0])
	}
	c := &call{request: r, cancel: cancel, done: make(chan struct{})}
	b.calls[name] = c
	go c.run()
	return ""
}

// finish reads an answer to its end and returns its outcome as its caller sees it.
func (b *testTarget) finish(d *datadriven.TestData) string {
	name := d.CmdArgs[0].Key
	<-b.calls[name].done
	w := b.calls[name].answer
	if w == nil {
		return "no answer\n"
	}
	defer w.Body.Close()
	raw, err := io.ReadAll(w.Body)
	out := fmt.Sprintf("%d for %s by %s", w.StatusCode, w.Header.Get(chestnutstep.HeaderRequestID), b.boot(w.Header.Get(chestnutstep.HeaderBootID)))
	if w.Header.Get("Content-Type") != "text/event-stream" {
		return fmt.Sprintf("%s: %s\n", out, strings.TrimSpace(string(raw)))
	}
	var chat string
	d.MaybeScanArgs(b.t, chestnutstep.HeaderChat, &chat)
	c := Checker{Seed: Seed(chat, []byte(d.Input))}
	_, mismatch := c.Write(raw)
	return fmt.Sprintf("%s, %s cached: %s\n", out, w.Header.Get(chestnutstep.HeaderCachedTokens), resultText(&c, mismatch, err))
}

func resultText(c *Checker, mismatch, err error) string {
	switch {
	case IsErrMisdelivered(mismatch):
		return "another's answer"
	case c.Done != nil:
		return "whole, " + strconv.Itoa(c.Tokens) + " tokens"
	case err != nil:
		return "broken"
	}
	return "silently short after " + strconv.Itoa(c.Tokens)
}

// boot replaces a boot id by a name: boot1, boot2, ..., in order of first appearance.
func (b *testTarget) boot(id string) string {
	if id == "" {
		return "none"
	}
	if b.boots[id] == "" {
		b.boots[id] = "boot" + strconv.Itoa(len(b.boots)+1)
	}
	return b.boots[id]
}

func controlPath(t *testing.T, d *datadriven.TestData) string {
	path := d.CmdArgs[1].Key
	var query string
	d.MaybeScanArgs(t, "query", &query)
	if query != "" {
		path += "?" + query
	}
	return path
}

func (b *testTarget) control(d *datadriven.TestData) string {
	r, err := http.NewRequest(d.CmdArgs[0].Key, b.srv.URL+"/control/"+controlPath(b.t, d), strings.NewReader(d.Input))
	assert.NilError(b.t, err)
	for _, a := range d.CmdArgs[2:] {
		if a.Key == "query" {
			continue
		}
		r.Header.Set(a.Key, a.Vals[0])
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return "no answer\n"
	}
	defer w.Body.Close()
	raw, _ := io.ReadAll(w.Body)
	for id, name := range b.boots {
		raw = []byte(strings.ReplaceAll(string(raw), id, name))
	}
	return fmt.Sprintf("%d %d bytes %s\n", w.StatusCode, len(raw), strings.TrimSpace(string(raw[:min(len(raw), 600)])))
}

// wait implements the command "wait REQUEST OUTCOME": it waits up to five seconds
// until an execution of the request has the outcome.
func (b *testTarget) wait(d *datadriven.TestData) string {
	for range 5000 {
		for _, e := range b.executions() {
			if e.Request == d.CmdArgs[0].Key && e.Outcome == d.CmdArgs[1].Key {
				return ""
			}
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Sprintf("not seen: %+v\n", b.executions())
}

func (b *testTarget) executions() []Execution {
	if e, ok := b.target.(*Engine); ok {
		return e.Journal.Executions()
	}
	return b.target.(*Service).Journal.Executions()
}
