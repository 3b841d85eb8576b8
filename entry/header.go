package entry

import (
	"net/http"
	"strings"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// forwardedHeaders returns the caller's headers except its key, those meant for the entry alone,
// and those of the connection.
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

// isForwarded reports whether a header is forwarded to the target. connection lists the names in
// the caller's Connection header. Content-Length is not forwarded because each sender sets it.
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
