package agent

import (
	"net/http"
	"strconv"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// answerHead is what the caller gets before the body. The answer's length goes along
// where the target gave it, so that a caller can tell a short answer.
func answerHead(rs *http.Response) *wire.Head {
	h := &wire.Head{Status: uint32(rs.StatusCode)}
	h.Cached, _ = strconv.ParseInt(rs.Header.Get(chestnutstep.HeaderCachedTokens), 10, 64)
	for name, values := range rs.Header {
		if chestnutstep.IsHopHeader(name) || isAgentOnlyHeader(name) {
			continue
		}
		for _, v := range values {
			h.Headers = append(h.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	if rs.ContentLength >= 0 && rs.Header.Get("Content-Length") == "" {
		h.Headers = append(h.Headers, &wire.Header{
			Name:  "Content-Length",
			Value: strconv.FormatInt(rs.ContentLength, 10),
		})
	}
	return h
}

// isAgentOnlyHeader keeps what a target says to its agent from callers.
func isAgentOnlyHeader(name string) bool {
	return name == chestnutstep.HeaderBootID || chestnutstep.IsChestnutHeader(name)
}
