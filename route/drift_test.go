package route

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

// A failure domain is taken out and brought back. All its chats were served
// elsewhere in between and come back with hints to there. Operators would see
// the returned domain idle for hours while the others carry its load.
func TestReturnsHomeGradually(t *testing.T) {
	home := &chestnutstep.Target{Name: "home"}
	const requests = 8000
	moved := 0
	for i := range requests {
		if ReturnsHome(home, "away", fmt.Sprint("request", i)) {
			moved++
		}
	}
	assert.Assert(t, moved > requests/10 && moved < requests/6, "moved %d", moved)
}

// A chat that is at home has nowhere to go: sending a part of its requests
// elsewhere would rebuild its prefix there for nothing.
func TestReturnsHomeIgnoresChatsAtHome(t *testing.T) {
	home := &chestnutstep.Target{Name: "home"}
	for i := range 100 {
		assert.Assert(t, !ReturnsHome(home, "", fmt.Sprint(i)))
		assert.Assert(t, !ReturnsHome(home, "home", fmt.Sprint(i)))
	}
}
