package event

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const page = "../docs/EVENTS.md"

func TestPage(t *testing.T) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(page, []byte(Page()), 0o644))
	}
	raw, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), Page(), "run: go test ./event -update")
}

func TestCatalog(t *testing.T) {
	names := make(map[string]bool)
	last := ID(0)
	for _, e := range Catalog {
		assert.Assert(t, e.ID > last, "%d out of order", e.ID)
		assert.Assert(t, !names[e.Name], "%s twice", e.Name)
		assert.Assert(t, e.ID >= groups[0].firstID && e.ID < groups[len(groups)-1].firstID+groupSize)
		for _, text := range []string{e.Name, e.Meaning, e.Cause, e.Action} {
			assert.Assert(t, text != "", "%d lacks a text", e.ID)
		}
		last = e.ID
		names[e.Name] = true
	}
}

func TestEmit(t *testing.T) {
	var b bytes.Buffer
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	l := &Log{Out: &b, Process: "entry-1", Now: func() time.Time { return now }}
	l.Emit(RequestRefused, Request("member-4711"), Reason("late"), Dur("wait", 1500*time.Millisecond),
		Int("n", -2), Uint("u", 3), Float("f", 0.5), Bool("home", true), Err(errors.New("no")), Version(9))
	assert.Equal(t, b.String(), `{"level":"info","process":"entry-1","time":"2026-01-02T03:04:05Z",`+
		`"event":3002,"name":"request_refused","request":"`+Mask("member-4711")+`","reason":"late",`+
		`"wait":"1.5s","n":-2,"u":3,"f":0.5,"home":true,"error":"no","version":9}`+"\n")
	l.Emit(OfferRefused)
	assert.Equal(t, strings.Count(b.String(), "\n"), 1, "debug is off")
	(*Log)(nil).Emit(ProcessStart)
}

// TestEmitRateLimited guards against a log that costs more than the requests: in an outage
// each request is refused and each refusal emits an event.
func TestEmitRateLimited(t *testing.T) {
	var b bytes.Buffer
	now := time.Unix(100, 0)
	l := &Log{Out: &b, Now: func() time.Time { return now }}
	for range 1000 {
		l.Emit(RequestRefused)
	}
	assert.Equal(t, strings.Count(b.String(), "\n"), defaultMaxPerSecond)
	now = now.Add(time.Second)
	b.Reset()
	l.Emit(RequestRefused)
	assert.Assert(t, strings.Contains(b.String(), `"dropped":990`), b.String())
}

// TestMask guards against names of persons in the log: callers put them into ids, and logs are
// forwarded to others.
func TestMask(t *testing.T) {
	var b bytes.Buffer
	l := &Log{Out: &b}
	l.Emit(RequestRefused, Request("ada@example.org"), Chat("ada's chat"))
	assert.Assert(t, !strings.Contains(b.String(), "ada"), b.String())
	assert.Equal(t, Mask("abc"), "ba7816bf8f01")
	assert.Equal(t, Mask(""), "")
}

// TestEveryEventIsWritten guards against events that no code emits: operators would search for
// lines that are never written, and the failure would not be logged at all.
func TestEveryEventIsWritten(t *testing.T) {
	raw, err := os.ReadFile("catalog.go")
	assert.NilError(t, err)
	files, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	var source strings.Builder
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		text, err := os.ReadFile(f)
		assert.NilError(t, err)
		source.Write(text)
	}
	names := regexp.MustCompile(`(?m)^\t(\w+) +ID = `).FindAllStringSubmatch(string(raw), -1)
	assert.Equal(t, len(names), len(Catalog))
	for _, n := range names {
		assert.Assert(t, regexp.MustCompile(`event\.`+n[1]+`\b`).MatchString(source.String()), "%s is never written", n[1])
	}
}
