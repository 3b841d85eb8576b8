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
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/cursor"
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
func (q *request) forwardEvents(run *board.Attempt, t *roster.Target, a *link.Response) error {
	flush := http.NewResponseController(q.w)
	events := &eventReader{request: q, br: bufio.NewReaderSize(a, eventBufferBytes)}
	defer func() { q.release(events.reserved) }()
	for {
		raw, id, err := events.next()
		if err == io.EOF && len(raw) == 0 {
			a.Close(true)
			if err := q.checkEnd(t, a); err != nil {
				return err
			}
			q.beginStream(t, a) // a stream without events still needs a head
			return nil
		}
		if err != nil {
			a.Close(false)
			return q.truncatedErr(a, err)
		}
		run.FirstByte(clock.Now())
		if q.stream.events++; q.stream.events == 1 {
			q.stream.firstID = id
		}
		if err := q.stream.cursor.Advance(id); err != nil {
			a.Close(false)
			return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonCrossed, Err: err}
		}
		q.beginStream(t, a)
		if _, err := q.w.Write(raw); err != nil {
			a.Close(false)
			return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonCanceled, Err: err}
		}
		if err := flush.Flush(); err != nil {
			a.Close(false)
			return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonCanceled, Err: err}
		}
	}
}

// beginStream sends the head of the answer before the first event. If another target continues the
// stream, the head remains that of the first one.
func (q *request) beginStream(t *roster.Target, a *link.Response) {
	if q.stream.started {
		return
	}
	q.stream.started = true
	if q.stream.build == "" {
		q.recordOrigin(t)
	}
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

// eventReader reads the events of a stream.
type eventReader struct {
	request *request
	br      *bufio.Reader
	// reserved is the memory that is accounted for the current event.
	reserved int64
}

// next reads up to the blank line that ends an event. At the end of the body it returns io.EOF with
// the remaining bytes. The error is an ErrEvent or a link.ErrTooLarge if the event can't be read.
func (r *eventReader) next() (raw []byte, id int64, err error) {
	r.request.release(r.reserved)
	r.reserved = 0
	for {
		start := len(raw)
		if raw, err = r.appendLine(raw); err != nil {
			return raw, 0, err
		}
		text := bytes.TrimRight(raw[start:], "\r\n")
		if len(text) == 0 {
			return raw, id, nil
		}
		rest, ok := bytes.CutPrefix(text, []byte("id:"))
		if !ok {
			continue
		}
		if id, err = strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64); err != nil {
			return raw, 0, ErrEvent{"id", string(rest[:min(len(rest), maxErrorText)])}
		}
	}
}

// appendLine appends the next line of the stream, which can be longer than the buffer of br.
func (r *eventReader) appendLine(raw []byte) ([]byte, error) {
	for {
		part, err := r.br.ReadSlice('\n')
		if len(raw)+len(part) > maxEventBytes {
			return raw, link.ErrTooLarge{Part: "event", Limit: maxEventBytes}
		}
		size := growthFactor * int64(len(part))
		if err := r.request.reserve(size, "event"); err != nil {
			return raw, err
		}
		r.reserved += size
		raw = append(raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return raw, err
		}
	}
}
