package admit

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// largestPart is the part of what the largest workspace holds that any may hold.
	largestPart = 0.5
	// reserveStep is the part of all places that is kept free, for each request within
	// its share that found none, and reserveMost bounds it.
	reserveStep = 0.03
	reserveMost = 0.4
	// reserveHalf halves what is kept free when nobody needs it.
	reserveHalf = 3 * time.Second
	// rankWeight is the share of a rank against that of the next more urgent one; 0 is
	// the most urgent.
	rankWeight = 0.5
	// wanted is how long after its last request a rank or a workspace still counts
	// among those that share.
	wanted = time.Second
)

// Fair counts who holds the places that an entry has given at the targets of one
// service, and says whose request yields when places run out.
//
// The load it answers: a workspace that sends many times its usual, or less urgent work
// in great number, takes every place that comes free, and the rest are refused for a
// load that is not theirs. One notices workspaces with usual traffic that are refused as
// often as the one that surges. Places are shared evenly among workspaces, and then
// among ranks, a more urgent one weighing twice the next; what one doesn't want the
// others get. Short requests hold few places, so they hardly yield to long ones. The
// zero value is ready.
type Fair struct {
	workspaces map[string]*holder
	ranks      map[int]*holder
	total      int
	// reserve is the part of all places that is kept for requests within their share.
	reserve   float64
	reserveAt clock.Stamp
}

// holder has some places, and wanted one last at some moment.
type holder struct {
	running int
	asked   clock.Stamp
}

func (h *holder) wants(now clock.Stamp) bool {
	return h.running > 0 || now.Sub(h.asked) < wanted
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

// yieldParts is the part of the reserve that is closed to a request, by its Yield.
var yieldParts = [...]float64{YieldNone: 0, YieldRank: 0.25, YieldWorkspace: 0.75, YieldBoth: 1}

// Ask says whether a request of a workspace gets a place where part of all places is
// taken, and how soon it yields; where places are plenty nobody has to, and shares aren't
// worked out. What is kept free for requests within their share is kept only while such
// ones find no place: else places would stay free while others are refused.
func (f *Fair) Ask(now clock.Stamp, urgency int, workspace string, taken float64) (free bool, y Yield) {
	r, w := f.holders(urgency, workspace)
	r.asked, w.asked = now, now
	f.decay(now)
	if taken < 1-f.reserve {
		return true, YieldNone
	}
	y = f.yield(now, urgency, workspace)
	if y == YieldNone && taken >= 1 {
		f.reserve = min(f.reserve+reserveStep, reserveMost)
	}
	return taken < 1-f.reserve*yieldParts[y], y
}

// Reserve is the part of all places that is kept free.
func (f *Fair) Reserve(now clock.Stamp) float64 {
	f.decay(now)
	return f.reserve
}

// Keep keeps at least a part of all places free, as another entry does.
func (f *Fair) Keep(now clock.Stamp, part float64) {
	f.decay(now)
	f.reserve = min(max(f.reserve, part), reserveMost)
}

func (f *Fair) decay(now clock.Stamp) {
	f.reserve *= math.Exp2(-now.Sub(f.reserveAt).Seconds() / reserveHalf.Seconds())
	f.reserveAt = now
}

func (f *Fair) yield(now clock.Stamp, urgency int, workspace string) Yield {
	r, w := f.holders(urgency, workspace)
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
func (f *Fair) rankShare(now clock.Stamp, urgency int) float64 {
	sum, own := 0.0, 0.0
	for u, r := range f.ranks {
		if !r.wants(now) {
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
func (f *Fair) workspaceShare(now clock.Stamp) float64 {
	n, largest := 0, 0
	for _, w := range f.workspaces {
		if w.wants(now) {
			n++
		}
		largest = max(largest, w.running)
	}
	return max(float64(f.total+1)/float64(max(n, 1)), largestPart*float64(largest))
}

// Start and End bracket a request that has a place.
func (f *Fair) Start(urgency int, workspace string) { f.add(urgency, workspace, 1) }

// End gives the place back.
func (f *Fair) End(urgency int, workspace string) { f.add(urgency, workspace, -1) }

func (f *Fair) add(urgency int, workspace string, n int) {
	r, w := f.holders(urgency, workspace)
	r.running += n
	w.running += n
	f.total += n
}

func (f *Fair) holders(urgency int, workspace string) (r, w *holder) {
	if f.ranks == nil {
		f.ranks, f.workspaces = make(map[int]*holder), make(map[string]*holder)
	}
	if f.ranks[urgency] == nil {
		f.ranks[urgency] = &holder{}
	}
	if f.workspaces[workspace] == nil {
		f.workspaces[workspace] = &holder{}
	}
	return f.ranks[urgency], f.workspaces[workspace]
}
