// Package event writes the process's log as numbered events, one JSON object per line. Each
// number is defined in Catalog, from which docs/EVENTS.md is generated, so that an
// operator can look up any line of the log. Events that occur per request are rate-limited.
package event

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// defaultMaxPerSecond is the maximum number of lines per second of an event that occurs per
// request. During an outage every request is refused; without a limit, the log would cost
// more than the requests. Ten lines show the pattern, and the dropped ones are
// counted.
const defaultMaxPerSecond = 10

// Log writes numbered events as JSON lines. The nil Log writes nothing, so
// that other components can be used without one.
type Log struct {
	// Out receives the lines, each in one call of Write.
	Out io.Writer
	// Process is the name of the process in each line.
	Process string
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Debug enables events of the lowest level.
	Debug bool

	mu          sync.Mutex
	initialized bool
	out         zerolog.Logger
	windows     map[ID]*window
}

// window counts the lines of one event within the current second.
type window struct {
	second  int64
	lines   int
	dropped int64
}

// Emit writes one event with its fields. An ID without a definition is written as an error.
func (l *Log) Emit(id ID, fields ...Field) {
	if l == nil || l.Out == nil {
		return
	}
	e, ok := Lookup(id)
	if !ok {
		e = Definition{ID: id, Name: "unlisted", Level: Error}
	}
	if e.Level == Debug && !l.Debug {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	now := l.now()
	dropped, ok := l.allow(e, now)
	if !ok {
		return
	}
	line := l.out.WithLevel(e.Level.zerolog()).
		Time("time", now).
		Uint16("event", uint16(id)).
		Str("name", e.Name)
	if dropped > 0 {
		line = line.Int64("dropped", dropped)
	}
	for _, f := range fields {
		line = f.appendTo(line)
	}
	line.Send()
}

func (l *Log) initialize() {
	if l.initialized {
		return
	}
	l.initialized = true
	l.out = zerolog.New(l.Out).With().Str("process", l.Process).Logger()
	l.windows = make(map[ID]*window)
}

func (l *Log) now() time.Time {
	if l.Now != nil {
		return l.Now()
	}
	return time.Now()
}

// allow reports whether a line may be written, and how many lines of the event
// were dropped since the last one.
func (l *Log) allow(e Definition, now time.Time) (int64, bool) {
	if !e.RateLimited {
		return 0, true
	}
	w := l.windows[e.ID]
	if w == nil {
		w = &window{}
		l.windows[e.ID] = w
	}
	if s := now.Unix(); s != w.second {
		w.second = s
		w.lines = 0
	}
	if w.lines >= e.maxPerSecond() {
		w.dropped++
		return 0, false
	}
	w.lines++
	dropped := w.dropped
	w.dropped = 0
	return dropped, true
}

// maskLength is the length of a masked id in hexadecimal digits. 48 bits distinguish the
// requests of one log, and 12 digits are short enough to type in a search.
const maskLength = 12

// Mask converts an id chosen by a caller to one that can be logged. Callers
// put names and numbers of persons into such ids; an unmasked id in the log would
// disclose them. An operator who has the id finds its lines with
// `printf %s ID | sha256sum | cut -c1-12`.
func Mask(id string) string {
	if id == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])[:maskLength]
}
