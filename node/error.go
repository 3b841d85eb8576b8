package node

import "github.com/cockroachdb/errors"

// ErrNotReady is the reason why a process must not get new work from the balancer.
type ErrNotReady struct {
	Cause string
}

// Error returns the cause.
func (e *ErrNotReady) Error() string { return e.Cause }

// IsErrNotReady reports whether err is an ErrNotReady.
func IsErrNotReady(err error) bool {
	var e *ErrNotReady
	return errors.As(err, &e)
}
