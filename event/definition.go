package event

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// Level is the severity of an event.
type Level uint8

// The levels.
const (
	Debug Level = iota // written only if debug events are enabled
	Info               // normal operation
	Warn               // requests are served, but something is wrong
	Error              // an operator should investigate
)

// String returns the name of the level in the log.
func (l Level) String() string { return l.zerolog().String() }

func (l Level) zerolog() zerolog.Level {
	switch l {
	case Debug:
		return zerolog.DebugLevel
	case Info:
		return zerolog.InfoLevel
	case Warn:
		return zerolog.WarnLevel
	default:
		return zerolog.ErrorLevel
	}
}

// ID is the number of an event. Its meaning never changes.
type ID uint16

// Definition describes one event to operators.
type Definition struct {
	ID    ID
	Name  string
	Level Level
	// RateLimited reports whether the event occurs per request: its lines per second are limited.
	RateLimited bool
	// MaxPerSecond is the limit of a RateLimited event in lines per second; defaultMaxPerSecond if 0.
	MaxPerSecond int
	Meaning      string
	Cause        string
	Action       string
}

// maxPerSecond returns the limit of a RateLimited event in lines per second.
func (e Definition) maxPerSecond() int {
	if e.MaxPerSecond > 0 {
		return e.MaxPerSecond
	}
	return defaultMaxPerSecond
}

// byID is built once, as Emit looks up a definition for each line.
var byID = index(Catalog)

func index(entries []Definition) map[ID]Definition {
	m := make(map[ID]Definition, len(entries))
	for _, e := range entries {
		m[e.ID] = e
	}
	return m
}

// Lookup returns the definition of an event, and false if there is none.
func Lookup(id ID) (Definition, bool) {
	e, ok := byID[id]
	return e, ok
}

// group is a range of numbers with its heading.
type group struct {
	firstID ID
	title   string
}

var groups = []group{
	{1000, "The process"},
	{2000, "Publication"},
	{3000, "Entry"},
	{4000, "Agent and target"},
	{5000, "Tickets and orders"},
	{6000, "Gossip and membership"},
	{7000, "Entry without agents"},
}

// groupSize is the number of event numbers in a group.
const groupSize = 1000

// Page returns the content of docs/EVENTS.md.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, g := range groups {
		fmt.Fprintf(&b, "\n## %d to %d: %s\n", g.firstID, g.firstID+groupSize-1, g.title)
		writeGroup(&b, g)
	}
	return b.String()
}

const pageHead = `# Events

Generated from the table in event/catalog.go by ` + "`go test ./event -update`" + `; a test fails
if the two differ. Each line of the log is one JSON object with ` + "`time`, `level`,\n`process`, `event` (the number) and `name`" + `, and the fields of the event.

The log holds no bodies, headers, keys or tickets. Ids that callers choose
(` + "`request`, `chat`" + `) are masked; the lines of an id are found by
` + "`printf %s ID | sha256sum | cut -c1-12`" + `. Events that occur per request write at
most as many lines per second as their heading states; ` + "`dropped`" + ` in the next line counts the others.
`

func writeGroup(b *strings.Builder, g group) {
	for _, e := range Catalog {
		if e.ID < g.firstID || e.ID >= g.firstID+groupSize {
			continue
		}
		fmt.Fprintf(b, "\n### %d `%s` (%s%s)\n\n", e.ID, e.Name, e.Level, rateText(e))
		fmt.Fprintf(b, "%s\n\n- Likely cause: %s\n- What to do: %s\n", e.Meaning, e.Cause, e.Action)
	}
}

func rateText(e Definition) string {
	if e.RateLimited {
		return fmt.Sprintf(", at most %d a second", e.maxPerSecond())
	}
	return ""
}
