package place

import (
	"math"
	"math/bits"
)

// With readings of the targets' load, a choice also accounts for targets that are slow or full
// for a short time. All entries see the same readings, some hundred milliseconds late: if each chose the
// cheapest target, all would choose the same one until the next reading. The choice among the
// candidates of a pass is therefore random by the request's hash, with weights.

const (
	// spreadCost is the additional cost at which a target gets 1/e of the requests of another one,
	// in milliseconds, if readings tell nothing about the current load; minSpreadCost if they tell all.
	// It spreads then about as much as tieBreakCost.
	spreadCost    = 6.0
	minSpreadCost = 1.0
	// maxFastLoad is the part of their slots that the fastest targets are filled to before slower ones
	// are used for more than slowPower allows.
	maxFastLoad = 0.6
	// slowPower is the power of its relative speed by which the capacity of a slower target is used
	// while the fastest can carry the demand.
	slowPower = 4.0
	// probeRatio is the part of the keys for which a target counts as if it had its usual speed: one
	// with a reading that is stuck still gets requests, and their answers bring new readings. A lowest
	// weight does not give that, as the cost of slow work outweighs it.
	probeRatio = 0.01
	// minSlowdown is the least slowdown that counts. Less is what remains of an old reading, and must not
	// spread the requests of idle targets to other failure domains.
	minSlowdown = 1.05
	// maxSlowdown is the largest slowdown that counts.
	maxSlowdown = 10.0
	// minWaiting is the least number of waiting requests that counts. Less is what remains of an
	// old reading.
	minWaiting = 0.5
	// maxWaiting is the largest number of waiting requests that counts.
	maxWaiting = 1000.0
	// readingAge is the usual age of a reading, in milliseconds.
	readingAge = 150.0
	// fullWait is the wait for a slot from which a target is full, in milliseconds. A shorter queue
	// has mostly ended when its reading arrives.
	fullWait = 30.0
)

// slowdown returns the reported slowdown, 1 if it is missing, small or invalid.
func (c *Candidate) slowdown() float64 {
	if c.Slowdown >= minSlowdown { // false for NaN
		return min(c.Slowdown, maxSlowdown)
	}
	return 1
}

// waiting returns the reported number of waiting requests, 0 if it is missing or invalid.
func (c *Candidate) waiting() float64 {
	if c.Waiting >= minWaiting { // false for NaN
		return min(c.Waiting, maxWaiting)
	}
	return 0
}

// readings sums up what the readings of the candidates say.
type readings struct {
	// uneven is set if a reading distinguishes a target from one without readings.
	uneven bool
	// fastest is the lowest slowdown of the trusted targets that are not full; if there are none, of all
	// trusted ones, or of all.
	fastest float64
	// shortest is the lowest number of requests that wait at a trusted target, 0 if there is none.
	shortest float64
	// unsuspected is set if a target has capacity that is not suspected, and allFull if no trusted
	// target has room, so that queues exclude none.
	unsuspected, allFull bool
	// key is the key of the request.
	key uint64
	// slowUse is the part of the unused capacity of slower targets that is needed, from 0 to 1.
	slowUse float64
}

// sumUp computes the demand and the capacity in slots at the usual speed: a request holds a slow
// target's slot for longer. Capacity is that of the trusted targets that are not full, or of all
// trusted ones, or of all. The demand includes the requests at the others, as their successors come here. All
// capacity is used if a target does not publish its slots.
func sumUp(list []Candidate, req *Request) readings {
	r := readings{key: req.Key}
	for i := range list {
		r.uneven = r.uneven || list[i].slowdown() > 1 || list[i].waiting() > 0
	}
	if !r.uneven {
		return r
	}
	r.shortest, r.allFull = math.Inf(1), true
	for i := range list {
		c := &list[i]
		r.unsuspected = r.unsuspected || !c.Suspected && c.hasCapacity()
		if isTrusted(c) {
			r.shortest = min(r.shortest, c.waiting())
			r.allFull = r.allFull && !c.Fits(req.Ceiling)
		}
	}
	if math.IsInf(r.shortest, 1) {
		r.shortest = 0
	}
	counts := r.setFastest(list)
	used, capacity, demand := 0.0, 0.0, 0.0
	for i := range list {
		c := &list[i]
		demand += max(c.Running, c.waiting()) / c.slowdown()
		if !counts(c) {
			continue
		}
		if c.Slots <= 0 {
			r.slowUse = 1
			return r
		}
		capacity += float64(c.Slots) / c.slowdown()
		used += float64(c.Slots) / c.slowdown() * math.Pow(r.speed(c.slowdown()), slowPower)
	}
	switch {
	case capacity > used:
		r.slowUse = min(max((demand/maxFastLoad-used)/(capacity-used), 0), 1)
	case capacity <= 0:
		r.slowUse = 1
	}
	return r
}

// setFastest sets fastest and returns which targets it was computed of.
func (r *readings) setFastest(list []Candidate) (counts func(c *Candidate) bool) {
	r.fastest = math.Inf(1)
	for _, counts = range [...]func(c *Candidate) bool{isTrustedAndFree, isTrusted, isAny} {
		for i := range list {
			if counts(&list[i]) {
				r.fastest = min(r.fastest, list[i].slowdown())
			}
		}
		if !math.IsInf(r.fastest, 1) {
			break
		}
	}
	return counts
}

func isTrustedAndFree(c *Candidate) bool { return isTrusted(c) && !isFull(c) }

func isAny(*Candidate) bool { return true }

// isTrusted reports whether a target is known to work: it is warm, not suspected, and its failures
// cost less than the wait at a full one.
func isTrusted(c *Candidate) bool {
	return !c.Cold && !c.Suspected && c.FailureRatio*failureCost < fullWait
}

// isUsable reports whether a target is considered while another one has room. How much slower or
// busier the others are must not outweigh that a host did not answer.
func (r *readings) isUsable(c *Candidate) bool { return !r.uneven || !c.Suspected || !r.unsuspected }

// isFull reports whether a target is left out because it has no slot soon.
func (r *readings) isFull(c *Candidate) bool { return r.uneven && !r.allFull && isFull(c) }

// slowdown returns the slowdown that counts for a target. One that is not trusted has no advantage
// over the trusted ones by its speed.
func (r *readings) slowdown(c *Candidate) float64 {
	if !r.uneven {
		return 1
	}
	slow := c.slowdown()
	if r.isProbe(c) {
		slow = 1
	}
	if !isTrusted(c) {
		slow = max(slow, r.fastest)
	}
	return slow
}

// isProbe reports whether the request goes to a slow target as if that had its usual speed. The hash
// is by target, so that a popular prefix is not placed regardless of the speed of all its holders.
func (r *readings) isProbe(c *Candidate) bool {
	return c.slowdown() > 1 && !c.Suspected && !isFull(c) && unitHash(c.ID, bits.RotateLeft64(r.key, 32)) < probeRatio
}

// waiting returns the number of waiting requests that counts for a target, as slowdown does.
func (r *readings) waiting(c *Candidate) float64 {
	if !r.uneven {
		return 0
	}
	if !isTrusted(c) {
		return max(c.waiting(), r.shortest)
	}
	return c.waiting()
}

// speed returns the speed at a slowdown relative to the fastest target.
func (r *readings) speed(slowdown float64) float64 { return min(r.fastest/slowdown, 1) }

// weight returns the weight of a target by its speed, 1 for the fastest. Slower ones have less than in
// proportion to their speed while the fastest can carry the demand. The weight is continuous, as
// readings age towards 1.
func (r *readings) weight(c *Candidate) float64 {
	speed := r.speed(r.slowdown(c))
	return speed * (r.slowUse + (1-r.slowUse)*math.Pow(speed, slowPower))
}

// slotWait returns how long each request beyond the slots delays the next one, in milliseconds at
// the usual speed.
func (r *readings) slotWait(c *Candidate) float64 {
	if r.uneven && c.Hold > 0 && c.Slots > 0 {
		return c.Hold / float64(c.Slots)
	}
	return queueCost
}

// relevance returns how much of the difference between loads is left when a reading is used, from
// 0 to 1. Requests that are shorter than the age of the reading have ended by then.
func (r *readings) relevance(c *Candidate) float64 {
	if r.uneven && c.Hold > 0 {
		return c.Hold / (c.Hold + readingAge)
	}
	return 1
}

// isFull reports whether the target has no slot soon, by its reading.
func isFull(c *Candidate) bool {
	r := readings{uneven: true}
	return c.waiting()*c.slowdown()*r.slotWait(c) >= fullWait
}

// takesPrefix reports whether a target may be chosen by hash to read a shared prefix, which takes
// long at a slow one: those read as many of the prefixes as their weight.
func (r *readings) takesPrefix(c *Candidate, req *Request) bool {
	return !r.uneven || req.Shared < minFetchTokens || unitHash(c.ID, ^req.Key) < r.weight(c)
}

// firstRank returns the hash rank of the target that reads a new prefix, 0 if there is none.
func firstRank(list []Candidate, req *Request) int {
	if !req.readings.uneven {
		return 1
	}
	first := 0
	for i := range list {
		c := &list[i]
		if c.HashRank > 0 && (first == 0 || c.HashRank < first) && req.readings.isUsable(c) && req.readings.takesPrefix(c, req) {
			first = c.HashRank
		}
	}
	return first
}

// spread turns a cost into a score. If each request goes to the candidate with the lowest score,
// the candidates get requests in proportion to weight * exp(-cost/scale) (the Gumbel-max method),
// and a request has the same result at all entries with the same readings.
func (r *readings) spread(c *Candidate, key uint64, cost float64) float64 {
	u := max(unitHash(c.ID, key), 1e-18)
	scale := spreadCost
	if c.Hold > 0 {
		scale -= (spreadCost - minSpreadCost) * r.relevance(c)
	}
	return cost + scale*(math.Log(-math.Log(u))-math.Log(r.weight(c)))
}
