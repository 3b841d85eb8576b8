package answer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ErrGone says that bytes asked for are not kept, so that the answer can't be
// given whole from that offset. Kept is the first offset that is, End the last.
type ErrGone struct {
	Offset    int64
	FirstKept int64
	End       int64
}

func (e ErrGone) Error() string {
	return fmt.Sprintf("answer: offset %d is not kept: %d to %d are", e.Offset, e.FirstKept, e.End)
}

// IsErrGone checks whether an error is an ErrGone.
func IsErrGone(err error) bool {
	var e ErrGone
	return errors.As(err, &e)
}

// ErrEnded says that the answer was over before the bytes came: it was broken
// off, for instance as its caller gave up.
type ErrEnded struct {
	Offset int64
}

func (e ErrEnded) Error() string {
	return fmt.Sprintf("answer: ended at offset %d", e.Offset)
}

// IsErrEnded checks whether an error is an ErrEnded.
func IsErrEnded(err error) bool {
	var e ErrEnded
	return errors.As(err, &e)
}
