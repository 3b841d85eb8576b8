package entry

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

// ErrHeader reports a malformed header of a caller.
type ErrHeader struct {
	Name  string
	Cause string
}

// Error returns the name of the header and its fault.
func (e *ErrHeader) Error() string { return fmt.Sprintf("header %s %s", e.Name, e.Cause) }

// IsErrHeader reports whether err is an ErrHeader.
func IsErrHeader(err error) bool {
	var e *ErrHeader
	return errors.As(err, &e)
}

// ErrUnresponsive reports that a target's agent did not answer in time.
type ErrUnresponsive struct {
	Target  string
	Timeout time.Duration
}

// Error returns the target and the timeout.
func (e *ErrUnresponsive) Error() string {
	return fmt.Sprintf("the agent of target %s did not answer within %s", e.Target, e.Timeout)
}

// IsErrUnresponsive reports whether err is an ErrUnresponsive.
func IsErrUnresponsive(err error) bool {
	var e *ErrUnresponsive
	return errors.As(err, &e)
}

// ErrRefused is the final result of a request that got no complete answer.
type ErrRefused struct {
	Reason chestnutstep.Reason
	Run    chestnutstep.RunStatus
	// RetryAfter is the time after which the caller can retry, zero if it should not.
	RetryAfter time.Duration
	// Ticket is a new ticket if the caller needs one to retry.
	Ticket string
	Detail string
}

// Error returns the reason, the run status and the detail.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("%s (run: %s) %s", e.Reason, e.Run, e.Detail)
}

// IsErrRefused reports whether err is an ErrRefused.
func IsErrRefused(err error) bool {
	var e *ErrRefused
	return errors.As(err, &e)
}
