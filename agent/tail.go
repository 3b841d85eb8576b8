package agent

import (
	"bytes"
	"net/http"
	"strings"
)

// tailSize is how much of an answer's end is looked at for its last event.
const tailSize = 512

// tail watches the end of an event stream. A target that stops early and
// closes its connection cleanly looks, to HTTP, like one that is done: the
// caller would take half an answer for the whole. Only the last event tells.
type tail struct {
	// wanted is the text that a whole stream ends with; "" if any end will do.
	wanted string
	size   int64
	last   []byte
}

func (t *tail) add(b []byte) {
	t.size += int64(len(b))
	t.last = append(t.last, b[max(0, len(b)-tailSize):]...)
	if over := len(t.last) - tailSize; over > 0 {
		t.last = t.last[over:]
	}
}

// complete says that an answer whose connection ended cleanly is whole.
func (t *tail) complete() bool {
	return t.wanted == "" || bytes.Contains(t.last, []byte(t.wanted))
}

// ended says that the stream's last event came whole. Nothing follows it, so the answer is whole however the connection
// ends. Unlike complete it looks for a line of its own: the same text inside a token's data ends nothing.
func (t *tail) ended() bool {
	wanted := strings.TrimSpace(t.wanted)
	if wanted == "" || !bytes.Contains(t.last, []byte(wanted)) {
		return false
	}
	lines := strings.Split(strings.ReplaceAll(string(t.last), "\r\n", "\n"), "\n")
	n := len(lines)
	if n < 3 || lines[n-1] != "" || lines[n-2] != "" {
		return false
	}
	for i := n - 3; i >= 0 && lines[i] != ""; i-- {
		if lines[i] == wanted {
			return true
		}
	}
	return false
}

// ending is the text that the answer must end with, for a whole event stream.
func (a *Agent) ending(rs *http.Response) string {
	if rs.StatusCode != http.StatusOK || !strings.HasPrefix(rs.Header.Get("Content-Type"), "text/event-stream") {
		return ""
	}
	m := a.model()
	if m == nil {
		return ""
	}
	return m.DoneMarker
}
