package agent

import (
	"bytes"
	"net/http"
	"strings"
)

// tailSize is the number of bytes at the end of an answer that are checked for its last event.
const tailSize = 512

// tail keeps the end of an event stream. A target that stops early and closes its connection
// cleanly is indistinguishable in HTTP from one that is done, and the caller would take a partial
// answer for a whole one. Only the last event shows the difference.
type tail struct {
	// terminator is the text that ends a complete stream; "" if any end is valid.
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

// isComplete reports whether an answer whose connection ended cleanly is complete.
func (t *tail) isComplete() bool {
	return t.terminator == "" || bytes.Contains(t.buf, []byte(t.terminator))
}

// isEnded reports whether the stream's last event was received in full. No data follows it, so the
// answer is complete however the connection ends. Unlike isComplete, it requires the terminator on
// a line of its own: the same text inside a token's data ends nothing.
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

// streamTerminator returns the text that must end the answer if it is an event stream, else "".
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
