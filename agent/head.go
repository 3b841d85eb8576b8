package agent

import (
	"net/http"
	"strconv"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// answerHead builds the status and headers sent to the caller before the body. It includes the
// answer's length if the target gave it, so that a caller can detect a truncated answer.
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

// isAgentOnlyHeader reports whether a header is meant for the agent and must not reach callers.
func isAgentOnlyHeader(name string) bool {
	return name == chestnutstep.HeaderBootID || name == chestnutstep.HeaderLeaving || chestnutstep.IsChestnutHeader(name)
}
