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
	w     http.ResponseWriter
	ask   *ask
	clock func() time.Time

	// started is set with the first byte to the caller; from then on the
	// status can't be changed any more.
	started bool
	status  int
	// events says that the answer is an event stream, and inLine that its last
	// byte did not end a line.
	events bool
	inLine bool
	offset int64
	sum    *xxhash.Digest
	first  time.Time
	cached int64
}

// head sends status and headers, once. A second head with another status
// belongs to another answer and is refused.
func (o *output) head(h *wire.Head, target string) bool {
	if o.started {
		return int(h.Status) == o.status
	}
	o.started = true
	o.status = int(h.Status)
	o.cached = h.Cached
	o.first = o.clock()
	o.sum = xxhash.New()
	out := o.w.Header()
	for _, f := range h.Headers {
		out.Add(f.Name, f.Value)
	}
	o.events = strings.HasPrefix(out.Get("Content-Type"), "text/event-stream")
	out.Set(chestnutstep.HeaderRun, string(chestnutstep.RunYes))
	out.Set(chestnutstep.HeaderHint, target)
	o.w.WriteHeader(o.status)
	o.flush()
	return true
}

// frame passes on the part of a frame that the caller lacks; false means that
// bytes in between are missing.
func (o *output) frame(f *wire.Frame) (bool, error) {
	if !o.started || f.Offset > o.offset {
		return false, nil
	}
	skip := o.offset - f.Offset
	if skip >= int64(len(f.Data)) {
		return true, nil
	}
	data := f.Data[skip:]
	_, _ = o.sum.Write(data)
	o.offset += int64(len(data))
	o.inLine = data[len(data)-1] != '\n'
	if _, err := o.w.Write(data); err != nil {
		return true, err
	}
	o.flush()
	return true, nil
}

// whole says that all bytes of the answer, and no others, reached the caller.
func (o *output) whole(l *wire.Last) bool {
	return o.started && l.Total == o.offset && l.Sum == o.sum.Sum64()
}

func (o *output) flush() {
	_ = http.NewResponseController(o.w).Flush()
}

// abort breaks the connection so that the caller sees that the answer is not
// whole. An event stream says why first, as its reader may not look at errors
// of the connection.
func (o *output) abort(err error) {
	if o.events {
		ref := refused(err)
		data, _ := json.Marshal(problem{Code: string(ref.Reason), Run: string(ref.Run), Title: "answer broken off"})
		if o.inLine {
			// Only the line ends here, not its event: what stands there becomes
			// part of the error, and half a token is never read as a whole one.
			_, _ = o.w.Write([]byte("\n"))
		}
		_, _ = o.w.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
		o.flush()
	}
	panic(http.ErrAbortHandler)
}
