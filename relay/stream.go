package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/cursor"
	"chestnutstep.example/chestnutstep/guard"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// eventBufferBytes holds a usual event.
	eventBufferBytes = 1 << 10
	// growthFactor is the memory that a growing event takes, as a multiple of its size.
	growthFactor = 2
	// maxErrorText limits what an error cites of an event, in bytes.
	maxErrorText = 64
)

// stream is the state of the caller's stream.
type stream struct {
	started bool
	// flusher is set once the stream is started.
	flusher *http.ResponseController
	// cursor is the position of the caller, whatever attempt and target the events came from.
	cursor cursor.Cursor
	// build is the build of the target that sent the first event, in this attempt of the caller or an
	// earlier one; empty if it is unknown.
	build string
	// events counts the events received from the current target, and firstID is the id of the first.
	events  int64
	firstID int64
}

// forwardEvents forwards each event when it was received completely. If a target breaks off in the
// middle of an event, a part that was already sent could not be continued by another target.
func (x *attempt) forwardEvents(a *link.Response) error {
	events := &eventReader{attempt: x, br: bufio.NewReaderSize(a, eventBufferBytes)}
	defer events.release()
	for {
		e, err := events.next()
		if err == io.EOF && len(e.raw) == 0 {
			a.Close(true)
			return x.endStream(a, events.held)
		}
		if err != nil {
			a.Close(false)
			return x.truncatedErr(a, err)
		}
		x.atTarget.FirstByte(clock.Now())
		raw, err := x.admitEvent(events, e)
		if link.IsErrTooLarge(err) {
			err = x.truncatedErr(a, err)
		}
		if err != nil {
			a.Close(false)
			return err
		}
		if len(raw) == 0 {
			continue
		}
		x.beginStream(x.target, a)
		if err := x.writeEvent(raw); err != nil {
			a.Close(false)
			return err
		}
	}
}

// admitEvent returns the bytes that the caller gets now: nothing for comments and events without an id that
// precede the first event with one. They can't be compared with what the caller has, and are held until
// the event that follows them can. The error is a link.ErrCall if the caller must not get the event, and a
// link.ErrTooLarge if too much is held.
func (q *request) admitEvent(events *eventReader, e streamEvent) ([]byte, error) {
	if !e.hasID {
		if q.stream.events == 0 {
			return nil, events.hold(e.raw)
		}
		if e.hasData {
			q.stream.cursor.AddUnnumbered()
		}
		return e.raw, nil
	}
	if q.stream.events++; q.stream.events == 1 {
		q.stream.firstID = e.id
	}
	if err := q.stream.cursor.Advance(e.id); err != nil {
		return nil, link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonCrossed, Err: err}
	}
	if len(events.held) == 0 {
		return e.raw, nil
	}
	raw := append(events.held, e.raw...)
	events.held = nil
	return raw, nil
}

// endStream ends a stream whose body was read to its end; rest are bytes that are still held.
func (x *attempt) endStream(a *link.Response, rest []byte) error {
	if err := x.checkEnd(a); err != nil {
		return err
	}
	x.beginStream(x.target, a) // a stream without events still needs a head
	if len(rest) > 0 {
		if err := x.writeEvent(rest); err != nil {
			return err
		}
	}
	x.allowEnd()
	return nil
}

func (q *request) writeEvent(raw []byte) error {
	_, err := q.w.Write(raw)
	if err == nil {
		err = q.stream.flusher.Flush()
	}
	if err != nil {
		return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonCanceled, Err: err}
	}
	return nil
}

// beginStream sends the head of the answer before the first event. If another target continues the
// stream, the head remains that of the first one.
func (q *request) beginStream(t *roster.Target, a *link.Response) {
	if q.stream.started {
		return
	}
	q.stream.started, q.stream.flusher = true, http.NewResponseController(q.w)
	if q.stream.build == "" {
		q.recordOrigin(t)
	}
	q.allowEnd = guard.End(q.r)
	q.Meters.FirstByte.Observe(time.Since(q.startedAt), q.routeKind())
	copyHeader(q.w.Header(), a.Header)
	q.w.WriteHeader(a.Status)
}

// ErrEvent is the error of an event of a stream that can't be read.
type ErrEvent struct {
	// Field is the field of the event, and Text its value.
	Field, Text string
}

// Error returns a text with the field and its value.
func (err ErrEvent) Error() string {
	return fmt.Sprintf("event with invalid field %s: %q", err.Field, err.Text)
}

func isErrEvent(err error) bool {
	var e ErrEvent
	return errors.As(err, &e)
}

// streamEvent is a block of a stream, up to and with its blank line.
type streamEvent struct {
	raw []byte
	// id is valid if hasID is set; a comment has neither an id nor data.
	id             int64
	hasID, hasData bool
}

// eventReader reads the events of a stream.
type eventReader struct {
	attempt *attempt
	br      *bufio.Reader
	// reserved is the memory that is accounted for the current event.
	reserved int64
	// held are blocks without an id that precede the first event with one.
	held         []byte
	heldReserved int64
}

// release ends the accounting for the memory of the reader.
func (r *eventReader) release() { r.attempt.release(r.reserved + r.heldReserved) }

// hold keeps a block until the next event. The error is a link.ErrTooLarge if there are too many.
func (r *eventReader) hold(raw []byte) error {
	if len(r.held)+len(raw) > maxEventBytes {
		return link.ErrTooLarge{Part: "event", Limit: maxEventBytes}
	}
	size := growthFactor * int64(len(raw))
	if err := r.attempt.reserve(size, "event"); err != nil {
		return err
	}
	r.heldReserved += size
	r.held = append(r.held, raw...)
	return nil
}

// next reads up to the blank line that ends an event. At the end of the body it returns io.EOF with
// the remaining bytes. The error is an ErrEvent or a link.ErrTooLarge if the event can't be read.
func (r *eventReader) next() (e streamEvent, err error) {
	r.attempt.release(r.reserved)
	r.reserved = 0
	for {
		start := len(e.raw)
		if e.raw, err = r.appendLine(e.raw); err != nil {
			return e, err
		}
		text := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if err := e.addField(text); err != nil {
			return e, err
		}
	}
}

// addField adds a line that is not blank. Lines without effect here are left as they are.
func (e *streamEvent) addField(text []byte) (err error) {
	e.hasData = e.hasData || bytes.HasPrefix(text, []byte("data"))
	rest, ok := bytes.CutPrefix(text, []byte("id:"))
	if !ok {
		return nil
	}
	e.hasID = true
	if e.id, err = strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64); err != nil {
		return ErrEvent{"id", string(rest[:min(len(rest), maxErrorText)])}
	}
	return nil
}

// appendLine appends the next line of the stream, which can be longer than the buffer of br.
func (r *eventReader) appendLine(raw []byte) ([]byte, error) {
	for {
		part, err := r.br.ReadSlice('\n')
		if len(raw)+len(part) > maxEventBytes {
			return raw, link.ErrTooLarge{Part: "event", Limit: maxEventBytes}
		}
		size := growthFactor * int64(len(part))
		if err := r.attempt.reserve(size, "event"); err != nil {
			return raw, err
		}
		r.reserved += size
		raw = append(raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return raw, err
		}
	}
}
