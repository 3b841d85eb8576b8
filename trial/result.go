package trial

import (
	"slices"
	"time"
)

// tally accumulates the counters of one stream.
type tally struct {
	requests int
	// notCanceled counts the requests without a planned cancellation.
	notCanceled int
	inTime      int
	returned    int
	found       int
	imported    int
	waits       []time.Duration
}

func (c *tally) recordArrival(r *request) {
	c.requests++
	if r.cancelAfter == 0 {
		c.notCanceled++
	}
}

func (c *tally) recordStart(wait time.Duration, returned, found, imported bool) {
	c.waits = append(c.waits, wait)
	if !returned {
		return
	}
	c.returned++
	if found {
		c.found++
	}
	if imported {
		c.imported++
	}
}

func (c *tally) recordAnswer(r *request) {
	if r.cancelAfter == 0 {
		c.inTime++
	}
}

func (c *tally) add(o tally) {
	c.requests += o.requests
	c.notCanceled += o.notCanceled
	c.inTime += o.inTime
	c.returned += o.returned
	c.found += o.found
	c.imported += o.imported
	c.waits = append(c.waits, o.waits...)
}

func (c *tally) result(workspace string, d time.Duration) StreamResult {
	s := StreamResult{
		Workspace: workspace,
		Requests:  c.requests,
		InTime:    ratio(c.inTime, c.notCanceled),
		Reuse:     ratio(c.found, c.returned),
		Imported:  ratio(c.imported, c.returned),
		Goodput:   float64(c.inTime) / d.Seconds(),
	}
	if len(c.waits) == 0 {
		return s
	}
	var sum time.Duration
	for _, w := range c.waits {
		sum += w
	}
	slices.Sort(c.waits)
	s.WaitMean = sum / time.Duration(len(c.waits))
	s.Wait95 = quantile(c.waits, 0.95)
	return s
}

// period accumulates the counters of one Interval.
type period struct {
	tally
	maxToMean float64
}

// period returns the counters of the current interval.
func (t *trial) period() *period {
	n := int(t.now / intervalLength)
	for len(t.periods) <= n {
		t.periods = append(t.periods, &period{})
	}
	return t.periods[n]
}

// series returns the intervals of the load in order.
func (t *trial) series() []Interval {
	var list []Interval
	for i, s := range t.periods {
		begin := time.Duration(i) * intervalLength
		if begin >= t.cfg.Duration {
			break
		}
		res := s.result("", intervalLength)
		list = append(list, Interval{Begin: begin, Reuse: res.Reuse, Imported: res.Imported, Wait: res.WaitMean, MaxToMean: s.maxToMean})
	}
	return list
}

func (t *trial) result() Result {
	r := Result{OverCap: t.overCap, OverRule: t.overRule, OverTrueMean: ratio(t.overTrueMean, t.starts), Crashes: t.crashes, ReturnedShare: ratio(t.lastRunningDomain0, t.lastRunning), StartsAfterLeave: t.startsAfterLeave}
	var all tally
	for i, s := range t.cfg.Streams {
		all.add(t.tallies[i])
		r.Streams = append(r.Streams, t.tallies[i].result(s.Workspace, t.cfg.Duration-t.cfg.Warmup))
	}
	r.All = all.result("all", t.cfg.Duration-t.cfg.Warmup)
	r.Series = t.series()
	r.Offers = float64(t.offers) / float64(max(1, all.requests))
	slices.Sort(t.maxToMeans)
	if len(t.maxToMeans) > 0 {
		r.MaxToMean = t.maxToMeans[len(t.maxToMeans)-1]
		r.MaxToMean99 = quantile(t.maxToMeans, 0.99)
	}
	return r
}

func quantile[T any](sorted []T, q float64) T {
	return sorted[int(q*float64(len(sorted)-1))]
}

func ratio(a, b int) float64 {
	return float64(a) / float64(max(1, b))
}
