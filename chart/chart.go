// Package chart parses state charts from text files and interprets them. The
// documentation is checked against the same files, so the charts shown there
// are the ones that the code enforces.
//
// A chart file has one item per line. The first state is the initial state:
//
//	chart NAME TEXT
//	state NAME TEXT
//	final NAME TEXT
//	move FROM EVENT TO TEXT
package chart

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// State is a state of a chart and its description.
type State struct {
	Name string
	Text string
	// Final states have no outgoing transitions: what is recorded about them
	// stays true.
	Final bool
}

// Transition is a permitted change of state.
type Transition struct {
	From  string
	Event string
	To    string
	Text  string
}

// Chart is a checked state chart. It is immutable after Parse and safe for
// concurrent use.
type Chart struct {
	Name        string
	Text        string
	States      []State
	Transitions []Transition

	next   map[transitionKey]string
	states map[string]*State
}

type transitionKey struct {
	state string
	event string
}

// Parse parses and checks a chart. It returns ErrChart for a syntax error, an
// unknown or duplicate state, a second transition for the same state and event,
// an unreachable state, a transition out of a final state, and a state that is
// not final but has no outgoing transition.
func Parse(text string) (*Chart, error) {
	c := &Chart{next: map[transitionKey]string{}, states: map[string]*State{}}
	for i, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		if problem := c.read(line); problem != "" {
			return nil, errors.WithStack(ErrChart{Chart: c.Name, Line: i + 1, Problem: problem})
		}
	}
	if problem := c.check(); problem != "" {
		return nil, errors.WithStack(ErrChart{Chart: c.Name, Problem: problem})
	}
	return c, nil
}

// MustParse parses a chart that is embedded in the program. It panics if the
// chart is invalid, because that is an error of the build and the program must
// not start.
func MustParse(text string) *Chart {
	c, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) read(line string) string {
	kind, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	switch kind {
	case "chart":
		c.Name, c.Text, _ = strings.Cut(rest, " ")
		return ""
	case "state", "final":
		return c.addState(rest, kind == "final")
	case "move":
		return c.addTransition(rest)
	}
	return "unknown item " + kind
}

func (c *Chart) addState(rest string, final bool) string {
	name, text, _ := strings.Cut(rest, " ")
	if name == "" {
		return "a state without a name"
	}
	for _, s := range c.States {
		if s.Name == name {
			return "second state " + name
		}
	}
	c.States = append(c.States, State{Name: name, Text: text, Final: final})
	return ""
}

func (c *Chart) addTransition(rest string) string {
	fields := strings.SplitN(rest, " ", 4)
	if len(fields) < 3 {
		return "a move needs from, event and to"
	}
	m := Transition{From: fields[0], Event: fields[1], To: fields[2]}
	if len(fields) == 4 {
		m.Text = fields[3]
	}
	key := transitionKey{m.From, m.Event}
	if _, ok := c.next[key]; ok {
		return "second move from " + m.From + " on " + m.Event
	}
	c.next[key] = m.To
	c.Transitions = append(c.Transitions, m)
	return ""
}

// InitialState returns the name of the first state.
func (c *Chart) InitialState() string { return c.States[0].Name }

// IsFinal reports whether a state is final. It returns false for an unknown
// state.
func (c *Chart) IsFinal(state string) bool {
	s := c.states[state]
	return s != nil && s.Final
}

// Next returns the state that an event leads to. If the chart has no such
// transition, it returns the unchanged state and ErrTransition.
func (c *Chart) Next(state, event string) (string, error) {
	to, ok := c.next[transitionKey{state, event}]
	if !ok {
		return state, ErrTransition{Chart: c.Name, State: state, Event: event}
	}
	return to, nil
}
