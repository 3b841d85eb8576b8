package place

import "math"

// With readings of the targets' load, a choice also answers targets that are slow or full for a
// short time. All entries see the same readings, some hundred milliseconds late: if each chose the
// cheapest target, all would choose the same one until the next reading. The choice among the
// candidates of a pass is therefore random by the request's hash, with weights.

const (
	// spreadCost is the additional cost at which a target gets 1/e of the requests of another one,
	// in milliseconds.
	spreadCost = 6.0
	// slowPower is the power of its speed by which a slow target gets fewer requests.
	slowPower = 4.0
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

// isUneven reports whether a reading distinguishes the targets from targets without readings.
func isUneven(list []Candidate) bool {
	for i := range list {
		if list[i].slowdown() > 1 || list[i].waiting() > 0 {
			return true
		}
	}
	return false
}

// slowWeight returns the weight by speed, 1 at the usual speed.
func (c *Candidate) slowWeight() float64 {
	return max(math.Pow(c.slowdown(), -slowPower), minSlowWeight)
}

// spread turns a cost into a score. If each request goes to the candidate with the lowest score,
// the candidates get requests in proportion to slowWeight * exp(-cost/spreadCost) (the Gumbel-max
// method), and a request has the same result at all entries with the same readings.
func spread(c *Candidate, key uint64, cost float64) float64 {
	u := max(unitHash(c.ID, key), 1e-18)
	return cost + spreadCost*(math.Log(-math.Log(u))-math.Log(c.slowWeight()))
}
