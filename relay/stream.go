package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/roster"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// stream is the state of the stream sent to the caller.
type stream struct {
	started bool
	lastID  int64
	// build is the build of the target that sent the first event, in this attempt of the caller or an
	// earlier one; empty if it is unknown.
	build string
	// events counts the events received from the current target.
	events int64
}

// forwardEvents forwards each event when it was received completely. If a target breaks off in the
// middle of an event, a part that was already sent could not be continued by another target.
func (q *request) forwardEvents(run *board.Attempt, t *roster.Target, a *link.Response) error {
	flush := http.NewResponseController(q.w)
	br := bufio.NewReaderSize(a, 1<<10)
	for {
		raw, id, err := readEvent(br)
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
			return q.truncatedErr(err)
		}
		run.FirstByte(clock.Now())
		q.stream.events++
		if err := q.checkOrder(id); err != nil {
			a.Close(false)
			return err
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
		q.stream.lastID = id
	}
}

// checkOrder returns an error if the event is not the next one.
func (q *request) checkOrder(id int64) error {
	if q.stream.started && id != q.stream.lastID+1 {
		return link.ErrCall{
			Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonCrossed,
			Err: errors.Newf("stream out of order: event %d after %d", id, q.stream.lastID),
		}
	}
	return nil
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

// readEvent reads up to the blank line that ends an event. At the end of the body it returns io.EOF
// with the remaining bytes.
func readEvent(br *bufio.Reader) (raw []byte, id int64, err error) {
	for {
		line, err := br.ReadSlice('\n')
		raw = append(raw, line...)
		if err != nil {
			return raw, 0, err
		}
		if len(raw) > maxEventBytes {
			return raw, 0, errors.New("stream event too large")
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return raw, id, nil
		}
		if rest, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err = strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64)
			if err != nil {
				return raw, 0, errors.Wrap(err, "parse event id")
			}
		}
	}
}
