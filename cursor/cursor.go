// Package cursor decides which event of a stream a caller may get next, over all targets that send parts of
// its answer.
package cursor

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// maxFirstID is the highest id of the first event of a stream. Targets count from 1; 0 is accepted as well.
const maxFirstID = 1

// ErrOrder is the error of an event that is not the next one.
type ErrOrder struct {
	// Event is the id of the event.
	Event int64
	// After is the id of the last event that the caller has; -1 if it has none.
	After int64
}

// Error returns a text with both ids.
func (err ErrOrder) Error() string {
	if err.After < 0 {
		return fmt.Sprintf("stream out of order: it begins with event %d", err.Event)
	}
	return fmt.Sprintf("stream out of order: event %d after %d", err.Event, err.After)
}

// IsErrOrder reports whether err is or wraps an ErrOrder.
func IsErrOrder(err error) bool {
	var e ErrOrder
	return errors.As(err, &e)
}

// Cursor is the position of a caller in its stream. The zero value is that of a caller without any event.
type Cursor struct {
	last   int64
	hasOne bool
	// unnumbered reports whether events without an id have followed the last one with an id.
	unnumbered bool
}

// After returns the position of a caller that has the events up to an id.
func After(id int64) Cursor { return Cursor{last: id, hasOne: true} }

// Last returns the id of the last event that the caller has, and whether it has one.
func (c *Cursor) Last() (int64, bool) { return c.last, c.hasOne }

// Advance moves the cursor to an event. It returns an ErrOrder, and the cursor stays, if the caller must
// not get the event: it would get one twice, lack one, or get those of another run.
func (c *Cursor) Advance(id int64) error {
	switch {
	case c.hasOne && id != c.last+1:
		return ErrOrder{Event: id, After: c.last}
	case !c.hasOne && (id < 0 || id > maxFirstID):
		return ErrOrder{Event: id, After: -1}
	}
	*c = After(id)
	return nil
}

// AddUnnumbered records that the caller got an event that has no id.
func (c *Cursor) AddUnnumbered() { c.unnumbered = true }

// CanContinue reports whether another run can go on behind the cursor: it would send events without an id
// that followed the last one with an id again.
func (c *Cursor) CanContinue() bool { return !c.unnumbered }
