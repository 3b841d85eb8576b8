package ramp

import (
	"testing"
	"time"

	"chestnutstep.example/chestnutstep"
	"gotest.tools/v3/assert"
)

var epoch = time.Unix(0, 0)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// A failure domain comes back and all its chats come home in the same second,
// to caches that hold nothing of them. Callers see first tokens late in the
// whole domain, and then a second wave as the late ones are sent again.
func TestReturnIsGradual(t *testing.T) {
	var r Ramp
	assert.Equal(t, r.Share(epoch), 1.0)
	r.Leave(at(0))
	assert.Equal(t, r.Share(at(1)), 0.0)
	r.Return(at(10))
	last := 0.0
	for s := range 31 {
		share := r.Share(at(10 + float64(s)))
		assert.Assert(t, share >= Start && share-last <= Start+0.001, "step to %v at %d s", share, s)
		last = share
	}
	assert.Equal(t, last, 1.0)
	assert.Equal(t, r.Scale(at(10), 5), 1, "a returning target takes one at least")
	assert.Equal(t, r.Scale(at(25), 20), 11)
}

// A target flaps. Were its last share remembered, each return would bring it
// more work to drop.
func TestFlappingStartsOver(t *testing.T) {
	var r Ramp
	for s := range 10 {
		r.Leave(at(float64(20 * s)))
		r.Return(at(float64(20*s + 1)))
		assert.Equal(t, r.Share(at(float64(20*s+1))), Start)
	}
}

// What waits at a whole failure domain is turned away in one instant, and its
// callers meet again at the next targets of the ranking.
func TestShedsLeastUrgentFirst(t *testing.T) {
	var r Ramp
	r.Leave(at(0))
	for _, c := range []struct {
		class chestnutstep.Class
		gone  float64
	}{
		{chestnutstep.ClassBatch, 0},
		{chestnutstep.ClassNormal, 0.7},
		{chestnutstep.ClassUrgent, 1.4},
	} {
		assert.Assert(t, r.Shed(at(c.gone), c.class), "class %d", c.class)
		assert.Assert(t, c.gone == 0 || !r.Shed(at(c.gone-0.001), c.class), "class %d too soon", c.class)
	}
}
