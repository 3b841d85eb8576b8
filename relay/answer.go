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
	"chestnutstep.example/chestnutstep/roster"
)

// maxAnswerBytes limits the size of a buffered answer.
const maxAnswerBytes = 8 << 20

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// answerHead is the status and the parsed headers of a target's answer.
type answerHead struct {
	status int
	chestnutstep.TargetHeaders
}

// collect reads the complete answer before it sends anything to the caller. If the answer breaks
// off, the request can still be retried on another target or answered with an error; after the head
// was sent, the only option would be to cut the connection.
func (q *request) collect(run *board.Attempt, t *roster.Target, a *link.Response) error {
	run.FirstByte(clock.Now())
	var b bytes.Buffer
	if a.Length > 0 {
		b.Grow(int(min(a.Length, maxAnswerBytes)))
	}
	_, err := b.ReadFrom(io.LimitReader(a, maxAnswerBytes+1))
	if err == nil && b.Len() > maxAnswerBytes {
		err = errors.New("response body too large")
	}
	a.Close(err == nil)
	if err != nil {
		return q.truncatedErr(err)
	}
	if err := q.checkEnd(t, a); err != nil {
		return err
	}
	answer := &bufferedAnswer{a.Status, a.Header, b.Bytes()}
	if a.Status >= http.StatusInternalServerError {
		q.failureAnswer = answer
		return link.ErrCall{Run: chestnutstep.RunYes, Reason: chestnutstep.ReasonCrashed, Err: errors.Newf("target responded with status %d", a.Status)}
	}
	answer.write(q.w)
	return nil
}

// truncatedErr returns the error for a body that ended early.
func (q *request) truncatedErr(err error) link.ErrCall {
	if q.ctx.Err() != nil {
		return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonTimeout, Err: err}
	}
	return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonShort, PeerClosed: true, Err: err}
}

// write sends the buffered answer to the caller unchanged.
func (a *bufferedAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// copyHeader copies all headers except hop-by-hop headers and Content-Length.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !chestnutstep.IsHopHeader(name) && name != "Content-Length" {
			dst[name] = values
		}
	}
}
