package relay

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
)

// maxAnswerBytes bounds an answer that is held until it is whole.
const maxAnswerBytes = 8 << 20

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// collect reads an answer to its end before the caller sees any of it. A broken
// one can then still be replaced by another target's, or by a plain failure;
// once its head is out, only a cut connection would be left.
func (q *request) collect(run *board.Attempt, a *link.Response) error {
	run.FirstByte(clock.Now())
	var b bytes.Buffer
	if a.Length > 0 {
		b.Grow(int(min(a.Length, maxAnswerBytes)))
	}
	_, err := b.ReadFrom(io.LimitReader(a, maxAnswerBytes+1))
	if err == nil && b.Len() > maxAnswerBytes {
		err = errors.New("answer too large")
	}
	a.Close(err == nil)
	if err != nil {
		return q.truncatedErr(err)
	}
	answer := &bufferedAnswer{a.Status, a.Header, b.Bytes()}
	if a.Status >= http.StatusInternalServerError {
		q.failureAnswer = answer
		return link.ErrCall{Run: chestnutstep.RunYes, Reason: chestnutstep.ReasonCrashed, Err: errors.Newf("status %d", a.Status)}
	}
	answer.write(q.w)
	return nil
}

// truncatedErr is the failure of a body that ended early.
func (q *request) truncatedErr(err error) link.ErrCall {
	if q.ctx.Err() != nil {
		return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonTimeout, Err: err}
	}
	return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonShort, PeerClosed: true, Err: err}
}

// write gives the answer to the caller as it came.
func (a *bufferedAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// copyHeader copies what belongs to the message.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !chestnutstep.IsHopHeader(name) && name != "Content-Length" {
			dst[name] = values
		}
	}
}
