package entry

import (
	"net/http"
	"strings"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// forwardedHeaders passes on what the caller sent, but for its key, what concerns the
// entry alone, and what belongs to the connection.
func forwardedHeaders(h http.Header) []*wire.Header {
	var out []*wire.Header
	connection := strings.Split(h.Get("Connection"), ",")
	for name, values := range h {
		if !isForwarded(name, connection) {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// isForwarded says whether a header goes on to the target. connection lists those
// that the caller's Connection header names. The body's length is set anew by
// whoever sends it.
func isForwarded(name string, connection []string) bool {
	if name == "Authorization" || name == "Content-Length" {
		return false
	}
	if chestnutstep.IsChestnutHeader(name) || chestnutstep.IsHopHeader(name) {
		return false
	}
	for _, c := range connection {
		if strings.EqualFold(strings.TrimSpace(c), name) {
			return false
		}
	}
	return true
}
