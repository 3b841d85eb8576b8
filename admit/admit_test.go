package admit

import (
	"fmt"
	"math"
	"math/big"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 100) }

var epoch = time.Unix(0, 0)

// The cap is rounded down in exact arithmetic: hundredths of a multiple times
// tenths of a mean, as whole numbers.
func TestCapIsTheMultipleRoundedDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hundredths := rapid.Int64Range(105, 300).Draw(t, "multiple x 100")
		tenths := rapid.Int64Range(0, 5000).Draw(t, "mean x 10")
		floor := rapid.IntRange(0, 20).Draw(t, "floor")
		slots := rapid.IntRange(1, 800).Draw(t, "slots")
		c := Cap{Multiple: float64(hundredths) / 100, Floor: floor, Slots: slots}
		c.Measure(epoch, chestnutstep.Mean{Load: float64(tenths) / 10, Targets: 5})
		product := new(big.Int).Div(big.NewInt(hundredths*tenths), big.NewInt(1000)).Int64()
		assert.Equal(t, c.At(epoch), min(max(int(product), floor, 1), slots))
	})
}

// At a small mean, rounding up breaks the multiple: with a mean of 1 and a
// multiple of 1.25 a target would run 2, twice the mean, and one member's
// floors are labelled at half the speed of another's.
func TestRoundingUpBreaksTheMultiple(t *testing.T) {
	up := int(math.Ceil(1.25 * 1))
	assert.Assert(t, float64(up) > 1.25*1)
	c := Cap{Multiple: 1.25, Slots: 64}
	c.Measure(epoch, chestnutstep.Mean{Load: 1, Targets: 5})
	assert.Equal(t, c.At(epoch), 1)
}

// All targets run three and the multiple is 1.25. More work is offered than
// they may take, and what is turned away by all of them waits at its last one.
// Where the mean counts only what runs, the cap stays at three for ever: callers
// wait although every target has spare slots.
func TestWaitingWorkRaisesCap(t *testing.T) {
	const targets, demand = 10, 160
	for _, waitingCounts := range []bool{false, true} {
		running := 3
		for range 60 {
			mean := float64(running)
			if waitingCounts {
				mean = float64(demand) / targets
			}
			c := Cap{Multiple: 1.25, Slots: 32}
			c.Measure(epoch, chestnutstep.Mean{Load: mean, Targets: targets - 1})
			running = min(c.At(epoch), demand/targets)
		}
		want := map[bool]int{false: 3, true: demand / targets}[waitingCounts]
		assert.Equal(t, running, want, "waiting counts: %v", waitingCounts)
	}
}

// An agent loses its peers but not its target, and entries still reach it. Kept
// for ever, the mean of the busy hour would let it run far over what the others
// run at night; its callers would be the slow ones.
func TestOldMeanErrsLow(t *testing.T) {
	c := Cap{Multiple: 1.25, Floor: 2, Slots: 64}
	c.Measure(epoch, chestnutstep.Mean{Load: 20, Targets: 300, Age: 5 * time.Second})
	c.Measure(epoch.Add(time.Second), chestnutstep.Mean{Load: 60, Targets: 0})
	last := c.At(epoch)
	assert.Equal(t, last, 25)
	for s := range 120 {
		limit := c.At(epoch.Add(time.Duration(s) * time.Second))
		assert.Assert(t, limit <= last, "the cap grew with age")
		last = limit
	}
	assert.Equal(t, c.At(epoch.Add(10*time.Second)), 25)
	assert.Equal(t, c.At(epoch.Add(20*time.Second)), 12)
	assert.Equal(t, last, 2)
}

func TestSingleTargetHasItsSlots(t *testing.T) {
	c := Cap{Multiple: 1.25, Floor: 1, Slots: 8, Single: true}
	assert.Equal(t, c.At(epoch), 8)
}

// A target in cold start falls over above what it can carry, and its callers'
// answers break off. Work that it was given before the restart ends as well;
// counted as proof, it would open the target that has just lost everything.
func TestColdGrowsByWholeAnswersOnly(t *testing.T) {
	c := ColdCap{StartCap: 2, Slots: 16}
	var caps []int
	for range 14 {
		limit, _ := c.Cap()
		caps = append(caps, limit)
		c.RecordSuccess(c.Generation())
	}
	assert.DeepEqual(t, caps, []int{2, 2, 4, 4, 4, 4, 8, 8, 8, 8, 8, 8, 8, 8})
	limit, cold := c.Cap()
	assert.Equal(t, fmt.Sprint(limit, cold), "16 false")

	old := c.Generation()
	c.Reset()
	for range 50 {
		c.RecordSuccess(old)
	}
	limit, cold = c.Cap()
	assert.Equal(t, fmt.Sprint(limit, cold), "2 true")

	c.RecordSuccess(c.Generation())
	c.RecordSuccess(c.Generation())
	c.RecordFailure(c.Generation())
	limit, _ = c.Cap()
	assert.Equal(t, limit, 2, "a bad answer takes the last step back")
}
