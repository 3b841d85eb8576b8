package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/wire"
)

// TestAbortWritesErrorEvent guards against an event stream that begins with an empty event: readers
// that take the first event for the first part of the answer would misread it.
func TestAbortWritesErrorEvent(t *testing.T) {
	for _, c := range []struct{ name, data, want string }{
		{"nothing sent", "", "event: error\n"},
		{"a whole event", "data: a\n\n", "data: a\n\nevent: error\n"},
		{"half a line", "data: a", "data: a\nevent: error\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			o := &output{w: w, clock: time.Now}
			o.writeHead(&wire.Head{Status: 200, Headers: []*wire.Header{{Name: "Content-Type", Value: "text/event-stream"}}}, "t")
			if c.data != "" {
				_, err := o.writeFrame(&wire.Frame{Data: []byte(c.data)})
				assert.NilError(t, err)
			}
			assert.Equal(t, abortCause(o), http.ErrAbortHandler)
			assert.Assert(t, strings.HasPrefix(w.Body.String(), c.want), "%q", w.Body.String())
		})
	}
}

// abortCause aborts the answer and returns the value with which the handler panics.
func abortCause(o *output) (cause any) {
	defer func() { cause = recover() }()
	o.abort(&ErrRefused{Reason: "short", Run: "yes"})
	return nil
}
