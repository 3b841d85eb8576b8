package trial

import (
	"slices"
	"time"
)

// tally counts what the callers of one stream got.
type tally struct {
	requests int
	// wanted leaves out those given up by their callers.
	wanted   int
	inTime   int
	returned int
	found    int
	imported int
	waits    []time.Duration
}

func (c *tally) came(r *request) {
	c.requests++
	if r.cancel == 0 {
		c.wanted++
	}
}

func (c *tally) started(wait time.Duration, returned, found, imported bool) {
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

func (c *tally) answered(r *request) {
	if r.cancel == 0 {
		c.inTime++
	}
}

func (c *tally) add(o tally) {
	c.requests += o.requests
	c.wanted += o.wanted
	c.inTime += o.inTime
	c.returned += o.returned
	c.found += o.found
	c.imported += o.imported
	c.waits = append(c.waits, o.waits...)
}

func (c *tally) share(workspace string, d time.Duration) Share {
	s := Share{
		Workspace: workspace,
		Requests:  c.requests,
		InTime:    ratio(c.inTime, c.wanted),
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

// period is a Span that is still counted.
type period struct {
	tally
	largest float64
}

// period returns the one of this moment.
func (t *trial) period() *period {
	n := int(t.now / spanLength)
	for len(t.periods) <= n {
		t.periods = append(t.periods, &period{})
	}
	return t.periods[n]
}

// series lists the spans of the load.
func (t *trial) series() []Span {
	var list []Span
	for i, s := range t.periods {
		begin := time.Duration(i) * spanLength
		if begin >= t.cfg.For {
			break
		}
		share := s.share("", spanLength)
		list = append(list, Span{Begin: begin, Reuse: share.Reuse, Imported: share.Imported, Wait: share.WaitMean, Largest: s.largest})
	}
	return list
}

func (t *trial) result() Result {
	r := Result{OverCap: t.overCap, OverRule: t.rule, OverTrue: ratio(t.over, t.starts), Crashes: t.crashes, Back: ratio(t.lastZero, t.last), After: t.late}
	var all tally
	for i, s := range t.cfg.Streams {
		all.add(t.tallies[i])
		r.Streams = append(r.Streams, t.tallies[i].share(s.Workspace, t.cfg.For-t.cfg.Warm))
	}
	r.All = all.share("all", t.cfg.For-t.cfg.Warm)
	r.Series = t.series()
	r.Offers = float64(t.offers) / float64(max(1, all.requests))
	slices.Sort(t.ratios)
	if len(t.ratios) > 0 {
		r.Largest = t.ratios[len(t.ratios)-1]
		r.Largest99 = quantile(t.ratios, 0.99)
	}
	return r
}

func quantile[T any](sorted []T, q float64) T {
	return sorted[int(q*float64(len(sorted)-1))]
}

func ratio(a, b int) float64 {
	return float64(a) / float64(max(1, b))
}
