package node

import "github.com/cockroachdb/errors"

// ErrNotReady says why a process should get no new work from the balancer.
type ErrNotReady struct {
	Cause string
}

func (e *ErrNotReady) Error() string { return e.Cause }

// IsErrNotReady says whether err is an ErrNotReady.
func IsErrNotReady(err error) bool {
	var e *ErrNotReady
	return errors.As(err, &e)
}
