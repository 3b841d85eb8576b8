package chart

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrTransition says that a chart has no move for an event in a state: the
// caller of Next acts on something that can't happen, or a second time.
type ErrTransition struct {
	Chart string
	State string
	Event string
}

func (e ErrTransition) Error() string {
	return fmt.Sprintf("chart %s: no move from %q on %q", e.Chart, e.State, e.Event)
}

// IsErrTransition checks whether an error is an ErrTransition.
func IsErrTransition(err error) bool {
	var e ErrTransition
	return errors.As(err, &e)
}

// ErrChart says what is wrong with a chart file. Line counts from 1 and is 0
// when the fault is in no single line.
type ErrChart struct {
	Chart   string
	Line    int
	Problem string
}

func (e ErrChart) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("chart %s: %s", e.Chart, e.Problem)
	}
	return fmt.Sprintf("chart %s, line %d: %s", e.Chart, e.Line, e.Problem)
}

// IsErrChart checks whether an error is an ErrChart.
func IsErrChart(err error) bool {
	var e ErrChart
	return errors.As(err, &e)
}
