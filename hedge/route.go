package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// unit is the resolution of recorded times, and maxLatency the longest time that is told apart.
	unit       = 100 * time.Microsecond
	maxLatency = time.Minute
	// precision is the number of significant digits: 1% of a delay is less than the timer's error.
	precision = 2
	// minSamples is the number of answers below which the tail of a route is unknown: the 0.95
	// quantile of fewer is their maximum.
	minSamples = 20
	// maxSamples is the number of answers of one histogram: its 0.95 quantile rests on a dozen, and
	// at 30 requests a second it follows a change of load within ten seconds.
	maxSamples = 256
	// maxAge is the age after which answers say nothing of the present load.
	maxAge = 2 * time.Minute
)

// route estimates the latency of a route's recent answers. Of its two histograms, the older is
// replaced when the newer is full or old.
type route struct {
	newer, older *hdrhistogram.Histogram
	// newerAt is when the newer one began; newerLast and olderLast are the times of their last answers.
	newerAt, newerLast, olderLast clock.Stamp
	// all is the sum of both when samples was allSamples.
	all                 *hdrhistogram.Histogram
	samples, allSamples int64
}

func (r *route) observe(now clock.Stamp, d time.Duration) {
	if r.newer == nil || r.newer.TotalCount() >= maxSamples || now.Sub(r.newerAt) > maxAge {
		r.rotate(now)
	}
	_ = r.newer.RecordValue(min(max(int64(d/unit), 1), int64(maxLatency/unit))) // within its range
	r.newerLast = now
	r.samples++
}

// rotate makes the newer histogram the older one, unless its answers are too old, and begins a new one.
func (r *route) rotate(now clock.Stamp) {
	spare := r.older
	if spare == nil {
		spare = newHistogram()
	}
	spare.Reset()
	r.older, r.olderLast = r.newer, r.newerLast
	r.newer, r.newerAt = spare, now
	r.dropOld(now)
}

// dropOld drops the older histogram if its answers are too old.
func (r *route) dropOld(now clock.Stamp) {
	if r.older != nil && now.Sub(r.olderLast) > maxAge {
		r.older, r.all = nil, nil
	}
}

// isKnown reports whether enough recent answers are known, and drops those that are too old.
func (r *route) isKnown(now clock.Stamp) bool {
	r.dropOld(now)
	return now.Sub(r.newerLast) <= maxAge && r.count() >= minSamples
}

func (r *route) count() int64 {
	n := r.newer.TotalCount()
	if r.older != nil {
		n += r.older.TotalCount()
	}
	return n
}

// refreshSamples is the number of new answers after which both histograms are added up anew, as each
// request asks for quantiles.
const refreshSamples = 16

// quantile returns the time within which the part q of the answers came.
func (r *route) quantile(q float64) time.Duration {
	if r.all == nil || r.samples-r.allSamples >= refreshSamples {
		r.refresh()
	}
	return time.Duration(r.all.ValueAtQuantile(100*q)) * unit
}

func (r *route) refresh() {
	if r.all == nil {
		r.all = newHistogram()
	}
	r.all.Reset()
	r.all.Merge(r.newer)
	if r.older != nil {
		r.all.Merge(r.older)
	}
	r.allSamples = r.samples
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/unit), precision)
}
