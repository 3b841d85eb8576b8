package event

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// Level says who should look at an event.
type Level uint8

// The levels.
const (
	Debug Level = iota // written only when asked for
	Info               // the normal course
	Warn               // served, but something is amiss
	Error              // an operator should look
)

// String returns the level's name as the log writes it.
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

// ID is the number of an event. It never changes its meaning.
type ID uint16

// Definition describes one event to operators.
type Definition struct {
	ID    ID
	Name  string
	Level Level
	// RateLimited says that the event comes with requests: its lines are bounded.
	RateLimited bool
	// MaxPerSecond is how many lines a second an Often event may write; often when 0.
	MaxPerSecond int
	Meaning      string
	Cause        string
	Action       string
}

// maxPerSecond is the bound of an Often event.
func (e Definition) maxPerSecond() int {
	if e.MaxPerSecond > 0 {
		return e.MaxPerSecond
	}
	return defaultMaxPerSecond
}

// byID is built once: Emit looks an entry up for each line.
var byID = index(Catalog)

func index(entries []Definition) map[ID]Definition {
	m := make(map[ID]Definition, len(entries))
	for _, e := range entries {
		m[e.ID] = e
	}
	return m
}

// Lookup returns the entry of an event.
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

// groupSize is how many numbers a group has.
const groupSize = 1000

// Page returns docs/EVENTS.md.
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

Made from the table in event/catalog.go by ` + "`go test ./event -update`" + `; a test fails
when the two differ. Each line of the log is one JSON object with ` + "`time`, `level`,\n`process`, `event` (the number) and `name`" + `, and the fields of the event.

The log holds no bodies, headers, keys or tickets. Ids that callers choose
(` + "`request`, `chat`" + `) are masked; whoever has the id finds its lines by
` + "`printf %s ID | sha256sum | cut -c1-12`" + `. Events that come with requests write at
most as many lines a second as their heading says; ` + "`dropped`" + ` in the next line counts the others.
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
