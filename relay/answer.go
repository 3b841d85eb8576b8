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

// answerMost bounds an answer that is held until it is whole.
const answerMost = 8 << 20

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// collect reads an answer to its end before the caller sees any of it. A broken
// one can then still be replaced by another target's, or by a plain failure;
// once its head is out, only a cut connection would be left.
func (q *request) collect(run *board.Run, a *link.Answer) error {
	run.First(clock.Now())
	var b bytes.Buffer
	if a.Length > 0 {
		b.Grow(int(min(a.Length, answerMost)))
	}
	_, err := b.ReadFrom(io.LimitReader(a, answerMost+1))
	if err == nil && b.Len() > answerMost {
		err = errors.New("answer too large")
	}
	a.Close(err == nil)
	if err != nil {
		return q.cut(err)
	}
	answer := &whole{a.Status, a.Header, b.Bytes()}
	if a.Status >= http.StatusInternalServerError {
		q.failure = answer
		return link.ErrCall{Run: chestnutstep.RunYes, Reason: chestnutstep.ReasonCrashed, Err: errors.Newf("status %d", a.Status)}
	}
	answer.write(q.w)
	return nil
}

// cut is the failure of a body that ended early.
func (q *request) cut(err error) link.ErrCall {
	if q.ctx.Err() != nil {
		return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonTimeout, Err: err}
	}
	return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonShort, Broke: true, Err: err}
}

// write gives the answer to the caller as it came.
func (a *whole) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// copyHeader copies what belongs to the message.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !chestnutstep.IsHopHeader(name) && name != "Content-Length" {
			to[name] = values
		}
	}
}
