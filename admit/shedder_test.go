package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// taskTime is what a request that is taken costs the played processor, and shedTime
	// one that is refused unread.
	taskTime = 300 * time.Microsecond
	shedTime = 30 * time.Microsecond
	// observeEvery is how often the delay is observed.
	observeEvery = 50 * time.Millisecond
	// callerTime is how long a caller waits for its request to be parsed.
	callerTime = 500 * time.Millisecond
)

// processor plays an entry whose processor is what is full: requests wait for it in the
// order in which they come.
type processor struct {
	shedder *admit.LoadShedder
	// busy is until when the processor has work.
	busy   clock.Stamp
	served map[string]int
	asked  map[string]int
	worst  time.Duration
}

// play lets workspaces send for a while, each so many requests a second.
func (p *processor) play(from clock.Stamp, d time.Duration, rates map[string]int) {
	p.served, p.asked = make(map[string]int), make(map[string]int)
	due := make(map[string]float64)
	var delays time.Duration
	n := 0
	const tick = time.Millisecond
	for at := time.Duration(0); at < d; at += tick {
		now := from.Add(at)
		for _, who := range []string{"a", "b", "c", "d", "hot"} {
			for due[who] += float64(rates[who]) * tick.Seconds(); due[who] >= 1; due[who]-- {
				delay := max(p.busy.Sub(now), 0)
				delays, n = delays+delay, n+1
				p.take(now, who, delay, at > d/2)
			}
		}
		if at%observeEvery == 0 && p.shedder != nil {
			usual := max(p.busy.Sub(now), 0)
			if n > 0 {
				usual = delays / time.Duration(n)
			}
			p.shedder.Observe(now, usual)
			delays, n = 0, 0
		}
	}
}

// take plays one request; counted ones are those behind the beginning of the surge.
func (p *processor) take(now clock.Stamp, who string, delay time.Duration, counted bool) {
	if counted {
		p.asked[who]++
	}
	cost := taskTime
	if p.shedder != nil && p.shedder.Refuse(now, who) {
		cost = shedTime
	} else if counted {
		p.worst = max(p.worst, delay)
		if delay < callerTime {
			p.served[who]++
		}
	}
	p.busy = max(p.busy, now).Add(cost)
}

func (p *processor) share(who string) float64 {
	return float64(p.served[who]) / float64(max(p.asked[who], 1))
}

func (p *processor) all() int {
	n := 0
	for _, k := range p.served {
		n += k
	}
	return n
}

// TestFullEntryKeepsServing guards against an entry that parses requests for callers who
// have given up: with three times what its processor parses it serves nobody in time.
func TestFullEntryKeepsServing(t *testing.T) {
	const start = clock.Stamp(time.Hour)
	usual := map[string]int{"a": 300, "b": 300, "c": 300, "d": 300, "hot": 300}
	surge := map[string]int{"a": 300, "b": 300, "c": 300, "d": 300, "hot": 8800}

	best := &processor{shedder: &admit.LoadShedder{}}
	best.play(start, 10*time.Second, usual)
	assert.Equal(t, best.share("hot"), 1.0, "nothing is refused while the processor has time")

	naive := &processor{}
	naive.play(start, 10*time.Second, surge)
	assert.Assert(t, naive.share("a") < 0.1, "%f in time without a shedder", naive.share("a"))

	p := &processor{shedder: &admit.LoadShedder{}}
	p.play(start, 10*time.Second, surge)
	t.Logf("in time: %.2f of a usual workspace, %.2f of the surge; worst delay %s", p.share("a"), p.share("hot"), p.worst)
	for _, who := range []string{"a", "b", "c", "d"} {
		assert.Assert(t, p.share(who) >= 0.9, "%f of %s in time", p.share(who), who)
	}
	assert.Assert(t, float64(p.all()) >= 0.8*float64(best.all()), "%d in time, %d at its best", p.all(), best.all())
	assert.Assert(t, p.worst < 250*time.Millisecond, "a request that is taken waits for %s", p.worst)

	after := start.Add(10 * time.Second)
	p.play(after, 4*time.Second, usual)
	assert.Assert(t, p.share("hot") >= 0.98, "%f in time after the surge", p.share("hot"))
}
