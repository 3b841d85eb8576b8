package admit

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// largestShareRatio is the part of the places of the largest workspace that every workspace may
	// use.
	largestShareRatio = 0.5
	// reserveStep is the part of all places that is added to the reserve for each request that is
	// within its share but found no place; maxReserve limits the reserve.
	reserveStep = 0.03
	maxReserve  = 0.4
	// reserveHalfLife is the half-life of the reserve while no request needs it.
	reserveHalfLife = 3 * time.Second
	// rankWeight is the ratio of a rank's share to that of the next more urgent one; rank 0 is the
	// most urgent.
	rankWeight = 0.5
	// demandWindow is how long after its last request a rank or a workspace counts among those that
	// share the places.
	demandWindow = time.Second
)

// FairLimiter counts the places that an entry has given at the targets of one service, and decides
// whose requests are refused when places run out.
//
// It protects ordinary traffic from a workspace that sends many times its usual load, and urgent
// requests from many less urgent ones: without shares, these would take every place that becomes
// free. The symptom is workspaces with ordinary traffic that are refused as often as the one that
// surges. Places are shared evenly among workspaces, and among ranks by weight, a rank having twice
// the weight of the next less urgent one. Unused shares are available to the others. Short requests
// occupy few places at a time and are rarely refused because of long ones. The zero value is ready
// to use.
type FairLimiter struct {
	workspaces map[string]*usage
	ranks      map[int]*usage
	total      int
	// reserve is the part of all places that is kept free for requests within their share.
	reserve          float64
	reserveUpdatedAt clock.Stamp
}

// usage counts the places of a workspace or rank, and holds the time of its last request.
type usage struct {
	running     int
	requestedAt clock.Stamp
}

func (u *usage) hasDemand(now clock.Stamp) bool {
	return u.running > 0 || now.Sub(u.requestedAt) < demandWindow
}

// Yield is the order in which requests are refused when places run out: higher values first.
type Yield int

// The values of Yield. A workspace over its share yields before one within its share regardless of
// urgency; among its own requests, the less urgent ones yield first.
const (
	// YieldNone is for a request whose workspace and rank are within their shares.
	YieldNone Yield = iota
	// YieldRank is for a request whose rank is over its share.
	YieldRank
	// YieldWorkspace is for a request whose workspace is over its share.
	YieldWorkspace
	// YieldBoth is for a request whose rank and workspace are both over their shares.
	YieldBoth
)

// yieldRatios is the part of the reserve that a request may not use, by its Yield.
var yieldRatios = [...]float64{YieldNone: 0, YieldRank: 0.25, YieldWorkspace: 0.75, YieldBoth: 1}

// Admit reports whether a request of a workspace gets a place, given the ratio of used places, and
// its Yield. The shares are only computed when places are short; before, every request is admitted
// with YieldNone. The reserve exists only while requests within their share find no place;
// otherwise places would stay free while requests are refused.
func (f *FairLimiter) Admit(now clock.Stamp, urgency int, workspace string, usedRatio float64) (admitted bool, y Yield) {
	r, w := f.usageOf(urgency, workspace)
	r.requestedAt, w.requestedAt = now, now
	f.decayReserve(now)
	if usedRatio < 1-f.reserve {
		return true, YieldNone
	}
	y = f.yield(now, urgency, workspace)
	if y == YieldNone && usedRatio >= 1 {
		f.reserve = min(f.reserve+reserveStep, maxReserve)
	}
	return usedRatio < 1-f.reserve*yieldRatios[y], y
}

// Reserve returns the part of all places that is kept free.
func (f *FairLimiter) Reserve(now clock.Stamp) float64 {
	f.decayReserve(now)
	return f.reserve
}

// RaiseReserve raises the reserve to at least ratio, the reserve of another entry, but not above
// maxReserve.
func (f *FairLimiter) RaiseReserve(now clock.Stamp, ratio float64) {
	f.decayReserve(now)
	f.reserve = min(max(f.reserve, ratio), maxReserve)
}

func (f *FairLimiter) decayReserve(now clock.Stamp) {
	f.reserve *= math.Exp2(-now.Sub(f.reserveUpdatedAt).Seconds() / reserveHalfLife.Seconds())
	f.reserveUpdatedAt = now
}

func (f *FairLimiter) yield(now clock.Stamp, urgency int, workspace string) Yield {
	r, w := f.usageOf(urgency, workspace)
	y := YieldNone
	if float64(r.running+1) > f.rankShare(now, urgency) {
		y += YieldRank
	}
	if w.running > 0 && float64(w.running+1) > f.workspaceShare(now) {
		y += YieldWorkspace
	}
	return y
}

// rankShare returns the number of places that a rank may use, including the one being requested.
func (f *FairLimiter) rankShare(now clock.Stamp, urgency int) float64 {
	sum, own := 0.0, 0.0
	for u, r := range f.ranks {
		if !r.hasDemand(now) {
			continue
		}
		weight := math.Pow(rankWeight, float64(u))
		sum += weight
		if u == urgency {
			own = weight
		}
	}
	return float64(f.total+1) * own / sum
}

// workspaceShare returns the number of places that each workspace may use, including the one being
// requested: an even share, or half of the places of the largest workspace if that is more. A small
// workspace slightly above the even share is not the cause of the overload.
func (f *FairLimiter) workspaceShare(now clock.Stamp) float64 {
	n, largest := 0, 0
	for _, w := range f.workspaces {
		if w.hasDemand(now) {
			n++
		}
		largest = max(largest, w.running)
	}
	return max(float64(f.total+1)/float64(max(n, 1)), largestShareRatio*float64(largest))
}

// Start records that a request occupies a place; each Start requires one End.
func (f *FairLimiter) Start(urgency int, workspace string) { f.addRunning(urgency, workspace, 1) }

// End records that a request has released its place.
func (f *FairLimiter) End(urgency int, workspace string) { f.addRunning(urgency, workspace, -1) }

func (f *FairLimiter) addRunning(urgency int, workspace string, n int) {
	r, w := f.usageOf(urgency, workspace)
	r.running += n
	w.running += n
	f.total += n
}

func (f *FairLimiter) usageOf(urgency int, workspace string) (r, w *usage) {
	if f.ranks == nil {
		f.ranks, f.workspaces = make(map[int]*usage), make(map[string]*usage)
	}
	if f.ranks[urgency] == nil {
		f.ranks[urgency] = &usage{}
	}
	if f.workspaces[workspace] == nil {
		f.workspaces[workspace] = &usage{}
	}
	return f.ranks[urgency], f.workspaces[workspace]
}
