package board

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/clock"
)

// TestFreeTime guards against a lasting shortage that is taken for one of moments, or the reverse: what refused
// callers are told depends on it.
func TestFreeTime(t *testing.T) {
	at := func(ratio func(i int) bool) float64 {
		var f freeTime
		for i := range 2000 {
			f.observe(clock.Stamp(time.Hour+time.Duration(i)*10*time.Millisecond), ratio(i))
		}
		return f.ratio
	}
	assert.Equal(t, at(func(i int) bool { return i%7 == 0 }), 0.0, "lasting shortage")
	assert.Equal(t, at(func(int) bool { return true }), 0.0, "no shortage")
	moments := at(func(i int) bool { return i/30%2 == 0 })
	assert.Assert(t, moments > 0.3 && moments < 0.6, "periods of 300 ms: %.2f", moments)
}
