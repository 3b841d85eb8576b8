package route

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

// TestReturnsHomeGradually guards against a failure domain that was taken out and brought back
// and stays idle for hours, because its chats come back with hints to other domains.
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

// TestReturnsHomeIgnoresChatsAtHome guards against sending requests of a chat that is already
// at home elsewhere, where its prefix would be rebuilt.
func TestReturnsHomeIgnoresChatsAtHome(t *testing.T) {
	home := &chestnutstep.Target{Name: "home"}
	for i := range 100 {
		assert.Assert(t, !ReturnsHome(home, "", fmt.Sprint(i)))
		assert.Assert(t, !ReturnsHome(home, "home", fmt.Sprint(i)))
	}
}
