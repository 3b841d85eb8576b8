package ramp

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

var epoch = time.Unix(0, 0)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// TestWeightFollowsProof guards against a failure domain that returns cold and requests its
// full share at once: entries would send it chats that it must reject.
func TestWeightFollowsProof(t *testing.T) {
	var r Ramp
	assert.Equal(t, r.Weight(16, 16), 1.0)
	r.Leave(at(0))
	assert.Equal(t, r.Weight(16, 16), 0.0)
	r.Return()
	assert.Equal(t, r.Weight(2, 16), 0.125)
}

// TestFlappingStartsOver guards against a flapping target that sheds its waiting work at once:
// the second time it leaves must count from its own start.
func TestFlappingStartsOver(t *testing.T) {
	var r Ramp
	r.Leave(at(0))
	r.Leave(at(0.5))
	assert.Assert(t, r.ShouldShed(at(0.7), chestnutstep.ClassNormal), "a repeated Leave must not restart the time")
	r.Return()
	assert.Assert(t, !r.ShouldShed(at(5), chestnutstep.ClassBatch))
	r.Leave(at(10))
	assert.Assert(t, !r.ShouldShed(at(10.1), chestnutstep.ClassUrgent))
}

// TestShedsLeastUrgentFirst guards against rejecting all work that waits at a failure domain at
// the same moment, whose callers would arrive together at the next targets in the ranking.
func TestShedsLeastUrgentFirst(t *testing.T) {
	var r Ramp
	r.Leave(at(0))
	for _, c := range []struct {
		class  chestnutstep.Class
		shedAt float64
	}{
		{chestnutstep.ClassBatch, 0},
		{chestnutstep.ClassNormal, 0.7},
		{chestnutstep.ClassUrgent, 1.4},
	} {
		assert.Assert(t, r.ShouldShed(at(c.shedAt), c.class), "class %d", c.class)
		assert.Assert(t, c.shedAt == 0 || !r.ShouldShed(at(c.shedAt-0.001), c.class), "class %d too soon", c.class)
	}
}
