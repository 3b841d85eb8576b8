// Package event writes the process's log as numbered events. Each number is
// described in one table, from which docs/EVENTS.md is made, so that an
// operator can look up any line of the log.
package event

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// defaultMaxPerSecond is how many lines a second an event may write when its entry says that
// it comes with requests. During an outage every request is refused; without a
// bound the log would cost more than the requests. Ten show the pattern, and
// the count of the others is not lost.
const defaultMaxPerSecond = 10

// Log writes numbered events as JSON lines. The nil Log writes nothing, so
// that parts can be used without one.
type Log struct {
	// Out receives the lines; each is one call of Write.
	Out io.Writer
	// Process names the process in each line.
	Process string
	// Now is the clock; time.Now if nil.
	Now func() time.Time
	// Debug lets events of the lowest level through.
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

// Emit writes one event. Fields are typed, see Field.
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

// allow says whether a line may be written, and how many lines of the event
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

// maskLength is the length of a masked id: 48 bits tell the requests of one
// log apart, and are short enough to search for by hand.
const maskLength = 12

// Mask turns an id that a caller chose into one that the log may hold. Callers
// put names and numbers of people into such ids; a plain id in the log would
// spread them. An operator who has the id finds its lines with
// `printf %s ID | sha256sum | cut -c1-12`.
func Mask(id string) string {
	if id == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])[:maskLength]
}
