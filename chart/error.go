package chart

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrTransition reports that a chart has no transition for an event in a state.
// The caller of Next handles an event that can't occur in this state, or
// handles it twice.
type ErrTransition struct {
	Chart string
	State string
	Event string
}

// Error returns the chart, the state and the event.
func (e ErrTransition) Error() string {
	return fmt.Sprintf("chart %s: no move from %q on %q", e.Chart, e.State, e.Event)
}

// IsErrTransition reports whether an error is an ErrTransition.
func IsErrTransition(err error) bool {
	var e ErrTransition
	return errors.As(err, &e)
}

// ErrChart reports a fault in a chart file. Line counts from 1 and is 0 if the
// fault is not in a single line.
type ErrChart struct {
	Chart   string
	Line    int
	Problem string
}

// Error returns the chart, the line if known, and the fault.
func (e ErrChart) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("chart %s: %s", e.Chart, e.Problem)
	}
	return fmt.Sprintf("chart %s, line %d: %s", e.Chart, e.Line, e.Problem)
}

// IsErrChart reports whether an error is an ErrChart.
func IsErrChart(err error) bool {
	var e ErrChart
	return errors.As(err, &e)
}
