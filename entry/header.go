package entry

import (
	"net/http"
	"slices"
	"strings"

	"chestnutstep.example/chestnutstep/wire"
)

// hop lists the headers that belong to one connection, not to the message.
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// headers passes on what the caller sent, but for its key, what concerns the
// entry alone, and what belongs to the connection.
func headers(h http.Header) []*wire.Header {
	var out []*wire.Header
	named := strings.Split(h.Get("Connection"), ",")
	for name, values := range h {
		if !passes(name, named) {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

func passes(name string, connection []string) bool {
	if name == "Authorization" || strings.HasPrefix(name, "Chestnut-") || slices.Contains(hop, name) {
		return false
	}
	for _, c := range connection {
		if strings.EqualFold(strings.TrimSpace(c), name) {
			return false
		}
	}
	return true
}
