package admit

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// largestShareRatio is the part of what the largest workspace holds that any may hold.
	largestShareRatio = 0.5
	// reserveStep is the part of all places that is kept free, for each request within
	// its share that found none, and reserveMost bounds it.
	reserveStep = 0.03
	maxReserve  = 0.4
	// reserveHalfLife halves what is kept free when nobody needs it.
	reserveHalfLife = 3 * time.Second
	// rankWeight is the share of a rank against that of the next more urgent one; 0 is
	// the most urgent.
	rankWeight = 0.5
	// demandWindow is how long after its last request a rank or a workspace still counts
	// among those that share.
	demandWindow = time.Second
)

// FairLimiter counts who holds the places that an entry has given at the targets of one
// service, and says whose request yields when places run out.
//
// The load it answers: a workspace that sends many times its usual, or less urgent work
// in great number, takes every place that comes free, and the rest are refused for a
// load that is not theirs. One notices workspaces with usual traffic that are refused as
// often as the one that surges. Places are shared evenly among workspaces, and then
// among ranks, a more urgent one weighing twice the next; what one doesn't want the
// others get. Short requests hold few places, so they hardly yield to long ones. The
// zero value is ready.
type FairLimiter struct {
	workspaces map[string]*usage
	ranks      map[int]*usage
	total      int
	// reserve is the part of all places that is kept for requests within their share.
	reserve          float64
	reserveUpdatedAt clock.Stamp
}

// usage has some places, and wanted one last at some moment.
type usage struct {
	running     int
	requestedAt clock.Stamp
}

func (u *usage) hasDemand(now clock.Stamp) bool {
	return u.running > 0 || now.Sub(u.requestedAt) < demandWindow
}

// Yield says before whom a request yields: the higher, the sooner.
type Yield int

// The yields. A workspace that is over its share yields before one that is not,
// whatever the urgency: its own less urgent work yields first.
const (
	// YieldNone is a request of a workspace and rank within their shares.
	YieldNone Yield = iota
	// YieldRank is one whose rank is over its share.
	YieldRank
	// YieldWorkspace is one whose workspace is over its share.
	YieldWorkspace
	// YieldBoth is one of both.
	YieldBoth
)

// yieldRatios is the part of the reserve that is closed to a request, by its Yield.
var yieldRatios = [...]float64{YieldNone: 0, YieldRank: 0.25, YieldWorkspace: 0.75, YieldBoth: 1}

// Admit says whether a request of a workspace gets a place where part of all places is
// taken, and how soon it yields; where places are plenty nobody has to, and shares aren't
// worked out. What is kept free for requests within their share is kept only while such
// ones find no place: else places would stay free while others are refused.
func (f *FairLimiter) Admit(now clock.Stamp, urgency int, workspace string, usedRatio float64) (free bool, y Yield) {
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

// Reserve is the part of all places that is kept free.
func (f *FairLimiter) Reserve(now clock.Stamp) float64 {
	f.decayReserve(now)
	return f.reserve
}

// RaiseReserve keeps at least a part of all places free, as another entry does.
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

// rankShare is the number of places that a rank may hold once one more is given.
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

// workspaceShare is the number of places that each workspace may hold once one more is
// given: an even share, or half of what the largest has if that is more. A small one
// that holds a few above the even share is not the one whose load is too much.
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

// Start and End bracket a request that has a place.
func (f *FairLimiter) Start(urgency int, workspace string) { f.addRunning(urgency, workspace, 1) }

// End gives the place back.
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
