package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// parseTime is the simulated processor time of an accepted request, and rejectTime that of a
	// rejected one.
	parseTime  = 300 * time.Microsecond
	rejectTime = 30 * time.Microsecond
	// observeInterval is the interval at which the delay is observed.
	observeInterval = 50 * time.Millisecond
	// callerTimeout is how long a caller waits for its request to be parsed.
	callerTimeout = 500 * time.Millisecond
)

// processor simulates an entry whose bottleneck is its processor. Requests wait in order of
// arrival.
type processor struct {
	shedder *admit.LoadShedder
	// busyUntil is the time at which the processor has finished all its work.
	busyUntil clock.Stamp
	served    map[string]int
	requested map[string]int
	maxDelay  time.Duration
}

// run simulates the traffic of workspaces for a duration, each with a rate in requests per second.
func (p *processor) run(from clock.Stamp, d time.Duration, rates map[string]int) {
	p.served, p.requested = make(map[string]int), make(map[string]int)
	due := make(map[string]float64)
	var delays time.Duration
	n := 0
	const tick = time.Millisecond
	for at := time.Duration(0); at < d; at += tick {
		now := from.Add(at)
		for _, workspace := range []string{"a", "b", "c", "d", "hot"} {
			for due[workspace] += float64(rates[workspace]) * tick.Seconds(); due[workspace] >= 1; due[workspace]-- {
				delay := max(p.busyUntil.Sub(now), 0)
				delays, n = delays+delay, n+1
				p.process(now, workspace, delay, at > d/2)
			}
		}
		if at%observeInterval == 0 && p.shedder != nil {
			meanDelay := max(p.busyUntil.Sub(now), 0)
			if n > 0 {
				meanDelay = delays / time.Duration(n)
			}
			p.shedder.Observe(now, meanDelay)
			delays, n = 0, 0
		}
	}
}

// process simulates one request. Requests at the beginning of the surge are not counted.
func (p *processor) process(now clock.Stamp, workspace string, delay time.Duration, counted bool) {
	if counted {
		p.requested[workspace]++
	}
	cost := parseTime
	if p.shedder != nil && p.shedder.ShouldReject(now, workspace) {
		cost = rejectTime
	} else if counted {
		p.maxDelay = max(p.maxDelay, delay)
		if delay < callerTimeout {
			p.served[workspace]++
		}
	}
	p.busyUntil = max(p.busyUntil, now).Add(cost)
}

func (p *processor) servedRatio(workspace string) float64 {
	return float64(p.served[workspace]) / float64(max(p.requested[workspace], 1))
}

func (p *processor) totalServed() int {
	n := 0
	for _, k := range p.served {
		n += k
	}
	return n
}

// TestFullEntryKeepsServing guards against an entry that parses requests for callers who have given
// up. At three times the load that its processor can parse, it would serve no request in time.
func TestFullEntryKeepsServing(t *testing.T) {
	const start = clock.Stamp(time.Hour)
	normal := map[string]int{"a": 300, "b": 300, "c": 300, "d": 300, "hot": 300}
	surge := map[string]int{"a": 300, "b": 300, "c": 300, "d": 300, "hot": 8800}

	best := &processor{shedder: &admit.LoadShedder{}}
	best.run(start, 10*time.Second, normal)
	assert.Equal(t, best.servedRatio("hot"), 1.0, "nothing is refused while the processor has time")

	unprotected := &processor{}
	unprotected.run(start, 10*time.Second, surge)
	assert.Assert(t, unprotected.servedRatio("a") < 0.1, "%f in time without a shedder", unprotected.servedRatio("a"))

	p := &processor{shedder: &admit.LoadShedder{}}
	p.run(start, 10*time.Second, surge)
	t.Logf("in time: %.2f of a usual workspace, %.2f of the surge; worst delay %s", p.servedRatio("a"), p.servedRatio("hot"), p.maxDelay)
	for _, workspace := range []string{"a", "b", "c", "d"} {
		assert.Assert(t, p.servedRatio(workspace) >= 0.9, "%f of %s in time", p.servedRatio(workspace), workspace)
	}
	assert.Assert(t, float64(p.totalServed()) >= 0.8*float64(best.totalServed()), "%d in time, %d at its best", p.totalServed(), best.totalServed())
	assert.Assert(t, p.maxDelay < 250*time.Millisecond, "an accepted request waited for %s", p.maxDelay)

	after := start.Add(10 * time.Second)
	p.run(after, 4*time.Second, normal)
	assert.Assert(t, p.servedRatio("hot") >= 0.98, "%f in time after the surge", p.servedRatio("hot"))
}
