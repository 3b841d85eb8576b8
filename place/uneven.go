package place

import "math"

// With readings of the targets' load, a choice also answers targets that are slow or full for a
// short time. All entries see the same readings, some hundred milliseconds late: if each chose the
// cheapest target, all would choose the same one until the next reading. The choice among the
// candidates of a pass is therefore random by the request's hash, with weights.

const (
	// spreadCost is the additional cost at which a target gets 1/e of the requests of another one,
	// in milliseconds, if readings tell nothing about the load of now; minSpreadCost if they tell all.
	// It spreads then about as much as tieBreakCost.
	spreadCost    = 6.0
	minSpreadCost = 1.0
	// maxUsualLoad is the part of their slots that the targets of usual speed are filled to before
	// slow ones get more than minSlowWeight.
	maxUsualLoad = 0.6
	// minSlowWeight is the lowest weight by speed: a target with a reading that is stuck still gets
	// requests, and their answers bring new readings.
	minSlowWeight = 0.01
	// maxSlowdown is the largest slowdown that is believed.
	maxSlowdown = 10.0
	// minWaiting is the least number of waiting requests that counts. Less is what remains of an
	// old reading.
	minWaiting = 0.5
	// maxWaiting is the largest number of waiting requests that is believed.
	maxWaiting = 1000.0
	// readingAge is the usual age of a reading, in milliseconds.
	readingAge = 150.0
	// fullWait is the wait for a slot from which a target is full, in milliseconds. A shorter queue
	// has mostly ended when its reading arrives.
	fullWait = 30.0
)

// slowdown returns the reported slowdown, 1 if it is missing or invalid.
func (c *Candidate) slowdown() float64 {
	if c.Slowdown > 1 { // false for NaN
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
	// slowUse is the part of the capacity of slow targets that is needed, from 0 to 1.
	slowUse float64
}

// sumUp computes the demand and the capacity in slots at the usual speed: a request holds a slow
// target's slot for longer.
func sumUp(list []Candidate) readings {
	var r readings
	usual, slow, demand := 0.0, 0.0, 0.0
	for i := range list {
		c := &list[i]
		r.uneven = r.uneven || c.slowdown() > 1 || c.waiting() > 0
		demand += max(c.Running, c.waiting()) / c.slowdown()
		if c.slowdown() > 1 {
			slow += float64(c.Slots) / c.slowdown()
		} else {
			usual += float64(c.Slots)
		}
	}
	if slow > 0 {
		r.slowUse = min(max((demand/maxUsualLoad-usual)/slow, 0), 1)
	}
	return r
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

// weight returns the weight of a target by its speed, 1 at the usual speed.
func (r *readings) weight(c *Candidate) float64 {
	if c.slowdown() == 1 {
		return 1
	}
	return max(r.slowUse/c.slowdown(), minSlowWeight)
}

// takesPrefix reports whether a target may be chosen by hash to read a shared prefix, which takes
// long at a slow one: those read as many of the prefixes as their weight.
func (r *readings) takesPrefix(c *Candidate, req *Request) bool {
	return c.slowdown() == 1 || req.Shared < minFetchTokens || unitHash(c.ID, ^req.Key) < r.weight(c)
}

// firstRank returns the hash rank of the target that reads a new prefix, 0 if there is none.
func firstRank(list []Candidate, req *Request) int {
	if !req.readings.uneven {
		return 1
	}
	first := 0
	for i := range list {
		c := &list[i]
		if c.HashRank > 0 && (first == 0 || c.HashRank < first) && req.readings.takesPrefix(c, req) {
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
