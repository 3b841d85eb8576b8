package order

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStale reports that an order's publication is older than that of an order accepted before, or
// than the one in force.
type ErrStale struct {
	Version uint64
	Newest  uint64
}

// Error returns both versions.
func (e ErrStale) Error() string {
	return fmt.Sprintf("order: version %d is older than %d", e.Version, e.Newest)
}

// IsErrStale reports whether err is an ErrStale.
func IsErrStale(err error) bool {
	var e ErrStale
	return errors.As(err, &e)
}

// ErrBusy reports that another order is in progress or that the target must get no order yet; retry
// after RetryAfter.
type ErrBusy struct {
	Order      Order
	RetryAfter time.Duration
}

// Error returns the order and the time after which to retry.
func (e ErrBusy) Error() string {
	return fmt.Sprintf("order: busy with %s %s, retry after %s", e.Order.Kind, e.Order.Name, e.RetryAfter)
}

// IsErrBusy reports whether err is an ErrBusy.
func IsErrBusy(err error) bool {
	var e ErrBusy
	return errors.As(err, &e)
}

// ErrLate reports that too much time passed between accepting and sending an order: the process was
// suspended, and the decision to send it can be outdated.
type ErrLate struct {
	Waited time.Duration
}

// Error returns the time that passed.
func (e ErrLate) Error() string {
	return fmt.Sprintf("order: %s passed before it was sent", e.Waited)
}

// IsErrLate reports whether err is an ErrLate.
func IsErrLate(err error) bool {
	var e ErrLate
	return errors.As(err, &e)
}

// ErrState reports that an order is not in the required state, for example because it was sent
// before.
type ErrState struct {
	Fence Fence
	State State
}

// Error returns the fencing number and the state of the order.
func (e ErrState) Error() string {
	return fmt.Sprintf("order: %s is %q", e.Fence, e.State)
}

// IsErrState reports whether err is an ErrState.
func IsErrState(err error) bool {
	var e ErrState
	return errors.As(err, &e)
}

// ErrRange reports that a version or an uptime doesn't fit into a fencing number.
type ErrRange struct {
	Version uint64
	Ticks   uint64
}

// Error returns the version and the uptime in ticks.
func (e ErrRange) Error() string {
	return fmt.Sprintf("order: version %d or uptime of %d ticks is too large", e.Version, e.Ticks)
}

// IsErrRange reports whether err is an ErrRange.
func IsErrRange(err error) bool {
	var e ErrRange
	return errors.As(err, &e)
}
