package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// output writes one answer to the caller and tracks its progress, so that a new link resumes at the
// right byte and a partial answer never appears complete.
type output struct {
	w       http.ResponseWriter
	request *clientRequest
	clock   func() time.Time

	// started is set with the first byte to the caller; the status can't be changed afterwards.
	started bool
	status  int
	// isEventStream is set if the answer is an event stream, and midLine if its last byte did not
	// end a line.
	isEventStream bool
	midLine       bool
	offset        int64
	digest        *xxhash.Digest
	firstByteAt   time.Time
	cachedTokens  int64
}

// writeHead sends status and headers to the caller once. For a further head it reports whether the
// status is the same; another status belongs to another answer.
func (o *output) writeHead(h *wire.Head, target string) bool {
	if o.started {
		return int(h.Status) == o.status
	}
	o.started = true
	o.status = int(h.Status)
	o.cachedTokens = h.Cached
	o.firstByteAt = o.clock()
	o.digest = xxhash.New()
	out := o.w.Header()
	for _, f := range h.Headers {
		out.Add(f.Name, f.Value)
	}
	o.isEventStream = strings.HasPrefix(out.Get("Content-Type"), "text/event-stream")
	out.Set(chestnutstep.HeaderRun, string(chestnutstep.RunYes))
	out.Set(chestnutstep.HeaderHint, target)
	o.w.WriteHeader(o.status)
	o.flush()
	return true
}

// writeFrame writes the part of a frame that the caller doesn't have yet. It returns false if bytes
// before the frame are missing, and the error of a failed write to the caller.
func (o *output) writeFrame(f *wire.Frame) (bool, error) {
	if !o.started || f.Offset > o.offset {
		return false, nil
	}
	skip := o.offset - f.Offset
	if skip >= int64(len(f.Data)) {
		return true, nil
	}
	data := f.Data[skip:]
	_, _ = o.digest.Write(data)
	o.offset += int64(len(data))
	o.midLine = data[len(data)-1] != '\n'
	if _, err := o.w.Write(data); err != nil {
		return true, err
	}
	o.flush()
	return true, nil
}

// isComplete reports whether exactly the bytes of the whole answer have been written.
func (o *output) isComplete(l *wire.Last) bool {
	return o.started && l.Total == o.offset && l.Sum == o.digest.Sum64()
}

func (o *output) flush() {
	_ = http.NewResponseController(o.w).Flush()
}

// abort closes the connection so that the caller detects the incomplete answer. On an event stream
// it first writes an error event, as readers of a stream may ignore connection errors.
func (o *output) abort(err error) {
	if o.isEventStream {
		ref := asRefused(err)
		data, _ := json.Marshal(problem{Code: string(ref.Reason), Run: string(ref.Run), Title: "answer broken off"})
		if o.midLine {
			// End only the line, not the event: the partial event becomes part of the error event,
			// so that half a token is never read as a whole one.
			_, _ = o.w.Write([]byte("\n"))
		}
		_, _ = o.w.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
		o.flush()
	}
	panic(http.ErrAbortHandler)
}
