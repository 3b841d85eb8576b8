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

// TestCapIsTheMultipleRoundedDown guards against rounding errors of the cap. The expected value is
// computed in exact integer arithmetic, from hundredths of a multiple and tenths of a mean.
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

// TestRoundingUpBreaksTheMultiple guards against a cap that is rounded up. With a mean of 1 and a
// multiple of 1.25 a target would run 2, twice the mean, and serve its requests at half the speed
// of the others.
func TestRoundingUpBreaksTheMultiple(t *testing.T) {
	up := int(math.Ceil(1.25 * 1))
	assert.Assert(t, float64(up) > 1.25*1)
	c := Cap{Multiple: 1.25, Slots: 64}
	c.Measure(epoch, chestnutstep.Mean{Load: 1, Targets: 5})
	assert.Equal(t, c.At(epoch), 1)
}

// TestWaitingWorkRaisesCap guards against a cap that never rises. With all targets at three and a
// multiple of 1.25, a mean that counts only running requests keeps the cap at three, and callers
// wait although every target has free slots. Waiting requests must count too.
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

// TestOldMeanErrsLow guards against an outdated mean. An agent that has lost its peers but is still
// reached by entries would keep the mean of the busiest hour, and run far more than the other
// targets at night, so that its callers get slow answers.
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

// TestColdGrowsByWholeAnswersOnly guards against a cold target that is opened too early and fails
// under a load that it can't carry yet. Requests that started before a restart must not count as
// evidence for the restarted target.
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
