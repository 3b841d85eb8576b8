package answer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrGone reports that requested bytes are no longer kept, so that the answer can't be read from
// that offset. FirstKept is the first kept offset and End the offset after the last byte.
type ErrGone struct {
	Offset    int64
	FirstKept int64
	End       int64
}

// Error returns the requested offset and the kept range.
func (e ErrGone) Error() string {
	return fmt.Sprintf("answer: offset %d is not kept, only %d to %d", e.Offset, e.FirstKept, e.End)
}

// IsErrGone reports whether err is an ErrGone.
func IsErrGone(err error) bool {
	var e ErrGone
	return errors.As(err, &e)
}

// ErrEnded reports that bytes were appended after the end of the answer, for example after its
// caller canceled it.
type ErrEnded struct {
	Offset int64
}

// Error returns the offset of the end.
func (e ErrEnded) Error() string {
	return fmt.Sprintf("answer: ended at offset %d", e.Offset)
}

// IsErrEnded reports whether err is an ErrEnded.
func IsErrEnded(err error) bool {
	var e ErrEnded
	return errors.As(err, &e)
}
