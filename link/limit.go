package link

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

// ErrTooLarge is the error of an answer one part of which is larger than allowed.
type ErrTooLarge struct {
	// Part is the part of the answer: head, body or event.
	Part string
	// Limit is its maximum size in bytes.
	Limit int64
}

// Error returns a text with the part and its limit.
func (err ErrTooLarge) Error() string {
	return fmt.Sprintf("%s of the answer exceeds %d bytes", err.Part, err.Limit)
}

// IsErrTooLarge reports whether err is or wraps an ErrTooLarge.
func IsErrTooLarge(err error) bool {
	var e ErrTooLarge
	return errors.As(err, &e)
}

// unlimited is the value of readLimit.remaining outside of heads.
const unlimited = -1

// readLimit limits the bytes that are read for the head of an answer: net/http reads a line until it
// ends, and heads until one is final, and keeps them in memory.
type readLimit struct {
	conn      io.Reader
	remaining int64
}

// Read reads from the connection. The error is an ErrTooLarge once the limit is reached.
func (r *readLimit) Read(p []byte) (int, error) {
	if r.remaining == unlimited {
		return r.conn.Read(p)
	}
	if r.remaining == 0 {
		return 0, ErrTooLarge{"head", chestnutstep.MaxHeadBytes}
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
