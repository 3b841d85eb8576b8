package claim

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// grantTime is the time constant of the rate of granted claims.
	grantTime = 300 * time.Millisecond
	// reserveTime is the time for whose claims places are kept free: about the time until a place that
	// another entry gave shows here.
	reserveTime = 50 * time.Millisecond
	// maxReserve limits the part of the places that all new requests leave to claims. In the simulation,
	// 0.15 left an eighth of the slots idle; claims exceed the places for a moment instead, see
	// board.claimMargin.
	maxReserve = 0.01
	// lateReserve is the part of the places that a request which can't meet its objective any more leaves
	// to others: it would be served in place of one in time.
	lateReserve = 0.6
	// overReserve is the part that a workspace with far more refusals than others leaves to them. Each
	// entry sees too few of its requests in progress to find it over its share.
	overReserve = 0.15
	// minGrants is the decayed number of recent claims below which nothing is reserved.
	minGrants = 0.1
	// minRefusals is the decayed number of recent refusals below which late requests are not held back.
	minRefusals = 0.1
)

// Asker is a request that asks for a place.
type Asker struct {
	Workspace string
	// Late is set if the request can't meet its objective any more.
	Late bool
}

// Reserve returns the part of capacity places that a new request leaves to claims that fall due soon, and
// to requests that are in time and within their part. It assumes that the other entries grant as many
// claims as this one. Late requests leave places to others as long as requests are refused; all else is 0 a
// second after the last claim.
func (p *Planner) Reserve(now clock.Stamp, a Asker, capacity float64, entries int) float64 {
	reserve := 0.0
	if a.Late && p.refusals.at(now, refusalTime) >= minRefusals {
		reserve = lateReserve
	}
	recent := p.grants.at(now, grantTime)
	if recent < minGrants {
		return reserve
	}
	due := recent / grantTime.Seconds() * reserveTime.Seconds() * float64(entries)
	reserve += min(due/max(capacity, 1), maxReserve)
	if !p.likely && p.parts.isOver(now, a.Workspace) {
		reserve += overReserve
	}
	return reserve
}

// decayingSum counts events with exponential decay.
type decayingSum struct {
	sum  float64
	last clock.Stamp
}

func (d *decayingSum) at(now clock.Stamp, decay time.Duration) float64 {
	return d.sum * math.Exp(-max(now.Sub(d.last), 0).Seconds()/decay.Seconds())
}

func (d *decayingSum) add(now clock.Stamp, decay time.Duration) {
	d.sum, d.last = d.at(now, decay)+1, now
}
