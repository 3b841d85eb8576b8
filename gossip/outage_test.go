package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outage simulates, second by second, the reads of 3,050 processes from a
// service that is down for ten minutes and returns. It uses the real plan,
// token bucket and backoff.
type outage struct {
	r     *rand.Rand
	plan  func(i int) plan
	naive bool
	// noJitter disables the jitter of pauses.
	noJitter       bool
	readsPerSecond [1200]int // by second
}

const outageLength = 600 * time.Second

func (o *outage) run() (maxWhileDown, maxAfter int) {
	for i := range processes {
		o.process(i)
	}
	for s, n := range o.readsPerSecond {
		switch {
		case s >= 30 && s < 600: // the first seconds include reads that were in flight
			maxWhileDown = max(maxWhileDown, n)
		case s >= 600:
			maxAfter = max(maxAfter, n)
		}
	}
	return maxWhileDown, maxAfter
}

func (o *outage) process(i int) {
	var b tokenBucket
	p, failures := o.plan(i), 0
	start := time.Unix(0, 0)
	now := start.Add(time.Duration(o.r.Int64N(int64(maxStartDelay))))
	for now.Sub(start) < time.Duration(len(o.readsPerSecond))*time.Second {
		if o.naive {
			o.readsPerSecond[int(now.Sub(start).Seconds())]++
			now = now.Add(time.Second)
			continue
		}
		if !b.take(now, p) {
			now = now.Add(o.jitter(max(rateInterval(p.Rate)/2, minPullPause)))
			continue
		}
		o.readsPerSecond[int(now.Sub(start).Seconds())]++
		if now.Sub(start) < outageLength {
			failures++
			now = now.Add(backoff(failures, o.r))
			continue
		}
		failures = 0
		now = now.Add(o.jitter(max(watchTimeout, p.ReadInterval)))
	}
}

func (o *outage) jitter(d time.Duration) time.Duration {
	if o.noJitter {
		return d
	}
	return time.Duration(float64(d) * (0.8 + 0.4*o.r.Float64()))
}

// TestReadRateAfterOutage guards against a fleet that keeps the service down.
// If all processes read every second after an outage of ten minutes, the load
// would exceed the capacity of the service by half. It would fail each time it
// returns, until the fleet is stopped.
func TestReadRateAfterOutage(t *testing.T) {
	known := func(i int) plan {
		return makePlan(planInput{ReadRate: 50, Nodes: processes, IsWatcher: i < maxWatchers})
	}
	unknown := func(int) plan { return makePlan(planInput{}) }
	for _, c := range []struct {
		name string
		o    outage
		// limit is a number of reads per second, within whether it is kept.
		limit  int
		within bool
	}{
		{"processes that know a publication", outage{plan: known}, 100, true},
		{"the same without jitter", outage{plan: known, noJitter: true}, 100, false},
		{"processes that started meanwhile", outage{plan: unknown}, 1000, true},
		{"naive version, each second", outage{plan: known, naive: true}, 2000, false},
	} {
		c.o.r = rand.New(rand.NewPCG(3, 3))
		down, returned := c.o.run()
		t.Logf("%s: most reads in a second %d while down, %d after", c.name, down, returned)
		assert.Equal(t, max(down, returned) < c.limit, c.within)
	}
}
