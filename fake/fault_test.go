package fake

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A machine is so busy that an answer is whole before any of it was sent. A connection
// that is to be dropped after three tokens must still be dropped there, or the test that
// asked for it sees a whole answer.
func TestCloseInsideOneWrite(t *testing.T) {
	five := strings.Repeat("data: x"+eventEnd, 5)
	f := Fault{Close: 3}
	assert.Equal(t, strings.Count(string(f.untilClose([]byte(five), 0)), eventEnd), 3)
	assert.Equal(t, strings.Count(string(f.untilClose([]byte(five), 2)), eventEnd), 1)
	assert.Equal(t, len(f.untilClose([]byte(five), 3)), 0)
	assert.Equal(t, string(f.untilClose([]byte("data: x"), 0)), "data: x")
	assert.Equal(t, string(Fault{}.untilClose([]byte(five), 0)), five)
}
