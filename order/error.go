package order

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStale says that an order comes from a publication below one whose order
// was taken before, or below the one in force.
type ErrStale struct {
	Version uint64
	Newest  uint64
}

func (e ErrStale) Error() string {
	return fmt.Sprintf("order: version %d is older than %d", e.Version, e.Newest)
}

// IsErrStale checks whether an error is an ErrStale.
func IsErrStale(err error) bool {
	var e ErrStale
	return errors.As(err, &e)
}

// ErrBusy says that another order is being carried out; come back after Wait.
type ErrBusy struct {
	Order      Order
	RetryAfter time.Duration
}

func (e ErrBusy) Error() string {
	return fmt.Sprintf("order: busy with %s %s, come back after %s", e.Order.Kind, e.Order.Name, e.RetryAfter)
}

// IsErrBusy checks whether an error is an ErrBusy.
func IsErrBusy(err error) bool {
	var e ErrBusy
	return errors.As(err, &e)
}

// ErrLate says that too much time passed between taking an order and sending
// it: the process was frozen, and what it decided may no longer hold.
type ErrLate struct {
	Waited time.Duration
}

func (e ErrLate) Error() string {
	return fmt.Sprintf("order: %s passed before it was sent", e.Waited)
}

// IsErrLate checks whether an error is an ErrLate.
func IsErrLate(err error) bool {
	var e ErrLate
	return errors.As(err, &e)
}

// ErrState says that an order is not in the state that a step needs, for
// instance as it was sent before.
type ErrState struct {
	Fence Fence
	State State
}

func (e ErrState) Error() string {
	return fmt.Sprintf("order: %s is %q", e.Fence, e.State)
}

// IsErrState checks whether an error is an ErrState.
func IsErrState(err error) bool {
	var e ErrState
	return errors.As(err, &e)
}

// ErrRange says that a version or an uptime does not fit a fencing number.
type ErrRange struct {
	Version uint64
	Ticks   uint64
}

func (e ErrRange) Error() string {
	return fmt.Sprintf("order: version %d or uptime of %d ticks is too large", e.Version, e.Ticks)
}

// IsErrRange checks whether an error is an ErrRange.
func IsErrRange(err error) bool {
	var e ErrRange
	return errors.As(err, &e)
}
