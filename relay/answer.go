package relay

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
)

// answerWriter writes the answer to a caller.
type answerWriter struct {
	http.ResponseWriter
	hasHead bool
}

// WriteHeader sends the head of the answer.
func (w *answerWriter) WriteHeader(status int) {
	w.hasHead = true
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// finish closes the connection of a request without an answer, e.g. because its caller has left. net/http would
// answer with 200 and an empty body.
func (w *answerWriter) finish() {
	if !w.hasHead {
		panic(http.ErrAbortHandler)
	}
}

// answerHead is the status, the framing and the parsed headers of a target's answer.
type answerHead struct {
	status  int
	framing string
	chestnutstep.TargetHeaders
}

// collect reads the complete answer before anything is sent to the caller. If the answer breaks
// off, the request can still be retried on another target or answered with an error; after the head
// was sent, the only option would be to cut the connection.
func (x *attempt) collect(a *link.Response) error {
	x.atTarget.FirstByte(clock.Now())
	answer, err := x.readAnswer(a)
	a.Close(err == nil)
	if err != nil {
		return x.truncatedErr(a, err)
	}
	if err := x.checkEnd(a); err != nil {
		return err
	}
	x.answer = answer
	if a.Status >= http.StatusInternalServerError {
		return link.ErrCall{Run: chestnutstep.RunYes, Reason: chestnutstep.ReasonCrashed, Err: errors.Newf("target responded with status %d", a.Status)}
	}
	return nil
}

// truncatedErr returns the error for a body that could not be read to its end. Only the end of its
// connection can be that of the target.
func (x *attempt) truncatedErr(a *link.Response, err error) link.ErrCall {
	if x.ctx.Err() != nil {
		return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonTimeout, Err: err}
	}
	e := link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonShort, Err: err}
	switch {
	case link.IsErrTooLarge(err):
		e.Reason = chestnutstep.ReasonLarge
	case isErrEvent(err):
		e.Reason = chestnutstep.ReasonCrossed
	default:
		e.PeerClosed = a.PeerEnded() || errors.Is(err, io.EOF)
	}
	return e
}

// write sends the buffered answer to the caller unchanged.
func (a *bufferedAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(a.length()))
	w.WriteHeader(a.status)
	for _, s := range a.segments {
		_, _ = w.Write(s)
	}
}

// copyHeader copies all headers except hop-by-hop headers and Content-Length.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		if !chestnutstep.IsHopHeader(name) && name != "Content-Length" {
			dst[name] = values
		}
	}
}
