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
	// terminator is the text that a whole stream ends with; "" if any end will do.
	terminator string
	size       int64
	buf        []byte
}

func (t *tail) add(b []byte) {
	t.size += int64(len(b))
	t.buf = append(t.buf, b[max(0, len(b)-tailSize):]...)
	if over := len(t.buf) - tailSize; over > 0 {
		t.buf = t.buf[over:]
	}
}

// isComplete says that an answer whose connection ended cleanly is whole.
func (t *tail) isComplete() bool {
	return t.terminator == "" || bytes.Contains(t.buf, []byte(t.terminator))
}

// isEnded says that the stream's last event came whole. Nothing follows it, so the answer is whole however the connection
// ends. Unlike complete it looks for a line of its own: the same text inside a token's data ends nothing.
func (t *tail) isEnded() bool {
	terminator := strings.TrimSpace(t.terminator)
	if terminator == "" || !bytes.Contains(t.buf, []byte(terminator)) {
		return false
	}
	lines := strings.Split(strings.ReplaceAll(string(t.buf), "\r\n", "\n"), "\n")
	n := len(lines)
	if n < 3 || lines[n-1] != "" || lines[n-2] != "" {
		return false
	}
	for i := n - 3; i >= 0 && lines[i] != ""; i-- {
		if lines[i] == terminator {
			return true
		}
	}
	return false
}

// streamTerminator is the text that the answer must end with, for a whole event stream.
func (a *Agent) streamTerminator(rs *http.Response) string {
	if rs.StatusCode != http.StatusOK || !strings.HasPrefix(rs.Header.Get("Content-Type"), "text/event-stream") {
		return ""
	}
	m := a.model()
	if m == nil {
		return ""
	}
	return m.DoneMarker
}
