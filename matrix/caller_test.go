package matrix

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// TestCutFailure guards against classifying an answer that was cut inside an event as the answer to another request.
func TestCutFailure(t *testing.T) {
	c := Caller{Stack: &Stack{}, Profile: ProfileChat, Chat: "c", Name: "n"}
	complete := engineAnswer(t, &c)
	const broken = "event: error\ndata: {\"code\":\"short\"}\n\n"
	for i := range complete {
		raw := complete[:i]
		if raw != "" && !strings.HasSuffix(raw, "\n") {
			raw += "\n"
		}
		assert.Equal(t, c.checkStream([]byte(raw+broken), nil), Broken, "cut at byte %d", i)
	}
	assert.Equal(t, c.checkStream([]byte(complete), nil), Complete)
	assert.Equal(t, c.checkStream([]byte(complete[:len(complete)/2]), nil), Truncated)
	misdelivered := strings.Replace(complete, "data: ", "data: f", 1)
	assert.Equal(t, c.checkStream([]byte(misdelivered+broken), nil), Misdelivered)
}

// engineAnswer returns the complete answer of a fake engine to the request of c.
func engineAnswer(t *testing.T, c *Caller) string {
	t.Helper()
	rq := httptest.NewRequest(http.MethodPost, c.path(), bytes.NewReader(c.body()))
	rq.Header.Set(chestnutstep.HeaderRequestID, c.key())
	rq.Header.Set(chestnutstep.HeaderChat, c.Chat)
	w := httptest.NewRecorder()
	(&fake.Engine{}).ServeHTTP(w, rq)
	assert.Equal(t, w.Code, http.StatusOK, w.Body)
	return w.Body.String()
}
