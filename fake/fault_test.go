package fake

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCloseInsideOneWrite guards against a Close fault without effect: on a busy
// machine an answer can be complete before any of it is sent, and the connection
// must still close after three tokens.
func TestCloseInsideOneWrite(t *testing.T) {
	five := strings.Repeat("data: x"+eventEnd, 5)
	f := Fault{Close: 3}
	assert.Equal(t, strings.Count(string(f.untilClose([]byte(five), 0)), eventEnd), 3)
	assert.Equal(t, strings.Count(string(f.untilClose([]byte(five), 2)), eventEnd), 1)
	assert.Equal(t, len(f.untilClose([]byte(five), 3)), 0)
	assert.Equal(t, string(f.untilClose([]byte("data: x"), 0)), "data: x")
	assert.Equal(t, string(Fault{}.untilClose([]byte(five), 0)), five)
}
