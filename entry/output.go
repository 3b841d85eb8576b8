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

// output writes one answer to the caller and knows how far it got, so that a
// new link goes on at the right byte and nothing short ever looks whole.
type output struct {
	w       http.ResponseWriter
	request *clientRequest
	clock   func() time.Time

	// started is set with the first byte to the caller; from then on the
	// status can't be changed any more.
	started bool
	status  int
	// isEventStream says that the answer is an event stream, and inLine that its last
	// byte did not end a line.
	isEventStream bool
	midLine       bool
	offset        int64
	digest        *xxhash.Digest
	firstByteAt   time.Time
	cachedTokens  int64
}

// writeHead sends status and headers, once. A second head with another status
// belongs to another answer and is refused.
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

// writeFrame passes on the part of a frame that the caller lacks; false means that
// bytes in between are missing.
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

// isComplete says that all bytes of the answer, and no others, reached the caller.
func (o *output) isComplete(l *wire.Last) bool {
	return o.started && l.Total == o.offset && l.Sum == o.digest.Sum64()
}

func (o *output) flush() {
	_ = http.NewResponseController(o.w).Flush()
}

// abort breaks the connection so that the caller sees that the answer is not
// whole. An event stream says why first, as its reader may not look at errors
// of the connection.
func (o *output) abort(err error) {
	if o.isEventStream {
		ref := asRefused(err)
		data, _ := json.Marshal(problem{Code: string(ref.Reason), Run: string(ref.Run), Title: "answer broken off"})
		if o.midLine {
			// Only the line ends here, not its event: what stands there becomes
			// part of the error, and half a token is never read as a whole one.
			_, _ = o.w.Write([]byte("\n"))
		}
		_, _ = o.w.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
		o.flush()
	}
	panic(http.ErrAbortHandler)
}
