// Package retry decides which refusals and breaks an entry may answer by trying
// again, where, and out of which budget; and what the caller hears otherwise.
package retry

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// DefaultShare is the repeats allowed for each first offer. A tenth carries
	// the crashes and broken links of ordinary days; in an outage it adds at
	// most a tenth to the load of what is left.
	DefaultShare = 0.1
	// StepShare is the steps down the ranking allowed for each first offer.
	// Near a cap of 1.25 times the mean a request takes half a step on average;
	// one whole step leaves room for twice that, and at saturation holds the
	// offers at two for each request where tries alone would make them many.
	StepShare = 1.0
	// DefaultFloor is the repeats a second that an entry may always make. A
	// quiet entry would otherwise earn its first repeat after ten requests. 350
	// entries that all use it add 175 a second, under one part in a hundred of
	// the 24,500 first offers they carry.
	DefaultFloor = 0.5
	// DefaultBank bounds what is saved up. 20 repeats are three seconds' worth
	// at 70 requests a second: a quiet hour must not pay for a wave.
	DefaultBank = 20
)

// Allowance implements chestnutstep.Allowance: a token bucket that traffic and,
// a little, time refill. It answers an outage in which many requests fail at
// once: counted for each request, three tries triple the load on what is left,
// and hold it down when the rest returns. Counted as a share of traffic, the
// repeats of an outage never exceed that share.
//
// Set the fields before the first call. It is not safe for concurrent use.
type Allowance struct {
	// Share is the repeats earned by each first offer; DefaultShare when 0.
	Share float64
	// Floor is the repeats earned a second; DefaultFloor when 0.
	Floor float64
	// Bank bounds what is saved; DefaultBank when 0.
	Bank float64
	// Begin is what there is at the first call; 1 when 0.
	Begin float64

	saved float64
	last  time.Time
}

var _ chestnutstep.RetryBudget = (*Allowance)(nil)

// Steps returns the budget for steps down the ranking. It is apart from that of
// repeats: a step follows a true "not run" and costs a target one refused
// offer, a repeat costs it a whole request.
func Steps() *Allowance {
	return &Allowance{Share: StepShare}
}

func (a *Allowance) refill(now time.Time) {
	if a.last.IsZero() {
		a.defaults()
		a.last = now
	}
	passed := now.Sub(a.last)
	if passed <= 0 {
		return
	}
	a.last = now
	a.add(passed.Seconds() * a.Floor)
}

func (a *Allowance) defaults() {
	if a.Share <= 0 {
		a.Share = DefaultShare
	}
	if a.Floor <= 0 {
		a.Floor = DefaultFloor
	}
	if a.Bank <= 0 {
		a.Bank = DefaultBank
	}
	a.saved = a.Begin
	if a.Begin == 0 {
		a.saved = 1
	}
}

func (a *Allowance) add(n float64) {
	a.saved = min(a.saved+n, a.Bank)
}

// Deposit counts a first offer.
func (a *Allowance) Deposit(now time.Time) {
	a.refill(now)
	a.add(a.Share)
}

// TryWithdraw takes one repeat from the budget; false means that none is left.
func (a *Allowance) TryWithdraw(now time.Time) bool {
	a.refill(now)
	if a.saved < 1 {
		return false
	}
	a.saved--
	return true
}
