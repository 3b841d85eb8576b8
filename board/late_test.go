package board

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/claim"
	"chestnutstep.example/chestnutstep/clock"
)

// fullReserve keeps nearly all places for others.
type fullReserve struct{}

func (fullReserve) Reserve(clock.Stamp, string, claim.Asker, float64, int) float64 { return 0.9 }

// TestFreePlacesAreNotReserved guards against late requests that are refused while places are free.
func TestFreePlacesAreNotReserved(t *testing.T) {
	b := Board{Claims: fullReserve{}}
	l := &lookup{service: &chestnutstep.Service{Name: "s"}, criteria: &Criteria{Caller: &Caller{Workspace: "w"}, Late: true}}
	now := clock.Stamp(time.Hour)
	assert.Equal(t, b.effectiveTaken(now, l, 0.59), 0.59)
	assert.Assert(t, b.effectiveTaken(now, l, minReserveTaken) > 1)
}
