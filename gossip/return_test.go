package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outage plays how often 3,050 processes ask a service that is down for ten
// minutes and comes back, second by second, with the real decisions.
type outage struct {
	r     *rand.Rand
	plan  func(i int) plan
	naive bool
	// stiff leaves out the jitter of pauses.
	stiff bool
	asked [1200]int // by second
}

const back = 600 * time.Second

func (o *outage) run() (down, returned int) {
	for i := range processes {
		o.process(i)
	}
	for s, n := range o.asked {
		switch {
		case s >= 30 && s < 600: // the first seconds hold what was under way
			down = max(down, n)
		case s >= 600:
			returned = max(returned, n)
		}
	}
	return down, returned
}

func (o *outage) process(i int) {
	var b bucket
	p, failures := o.plan(i), 0
	start := time.Unix(0, 0)
	now := start.Add(time.Duration(o.r.Int64N(int64(startSpread))))
	for now.Sub(start) < time.Duration(len(o.asked))*time.Second {
		if o.naive {
			o.asked[int(now.Sub(start).Seconds())]++
			now = now.Add(time.Second)
			continue
		}
		if !b.take(now, p) {
			now = now.Add(o.jitter(max(every(p.Rate)/2, pullPause)))
			continue
		}
		o.asked[int(now.Sub(start).Seconds())]++
		if now.Sub(start) < back {
			failures++
			now = now.Add(backoff(failures, o.r))
			continue
		}
		failures = 0
		now = now.Add(o.jitter(max(watchWait, p.Spot)))
	}
}

func (o *outage) jitter(d time.Duration) time.Duration {
	if o.stiff {
		return d
	}
	return time.Duration(float64(d) * (0.8 + 0.4*o.r.Float64()))
}

// The service goes down for ten minutes and returns. Were all processes to ask
// each second, it would meet half again what it stands, and go down again; one
// would notice a service that never recovers until the fleet is stopped.
func TestServiceReturns(t *testing.T) {
	known := func(i int) plan { return makePlan(fleet{Reads: 50, Nodes: processes, Watches: i < watchersMax}) }
	unknown := func(int) plan { return makePlan(fleet{}) }
	for _, c := range []struct {
		what string
		o    outage
		// most reads in a second, and whether it is kept.
		most int
		kept bool
	}{
		{"processes that know a publication", outage{plan: known}, 100, true},
		{"the same without jitter", outage{plan: known, stiff: true}, 100, false},
		{"processes that started meanwhile", outage{plan: unknown}, 1000, true},
		{"naive version, each second", outage{plan: known, naive: true}, 2000, false},
	} {
		c.o.r = rand.New(rand.NewPCG(3, 3))
		down, returned := c.o.run()
		t.Logf("%s: most reads in a second %d while down, %d after", c.what, down, returned)
		assert.Equal(t, max(down, returned) < c.most, c.kept)
	}
}
