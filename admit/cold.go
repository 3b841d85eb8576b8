package admit

// ColdCap is the cap of a target that has not been confirmed as warm since its start. The zero
// value is cold, as an agent that starts has no information about its target. Treating a cold
// target as warm overloads it, and callers see answers break off; treating a warm one as cold costs
// a few seconds of its share.
//
// The cap doubles after as many complete answers as it allows at once: one round without a failure
// is the evidence that the target carries this load. From 2 to 64 takes 62 answers. Growth by time
// instead of success would raise the cap of a target that hangs.
type ColdCap struct {
	// StartCap is the load that a target in cold start can carry; values below 1 mean 1.
	StartCap int
	// WarmupAnswers is the number of complete answers before the cap grows beyond StartCap; growing
	// sooner overloads engines. Values below StartCap mean StartCap.
	WarmupAnswers int
	// Slots is the load that a warm target can run. A target that reaches it is warm.
	Slots int

	cap        int
	answers    int
	warm       bool
	generation uint64
}

// Reset records that the target has lost its state, and discards all evidence.
func (c *ColdCap) Reset() {
	c.cap = 0
	c.answers = 0
	c.warm = false
	c.generation++
}

// Generation changes with each Reset. A request keeps the generation in which it started, so that
// an answer from before a restart is no evidence about the restarted target.
func (c *ColdCap) Generation() uint64 { return c.generation }

// Cap returns the load that the target can carry now, and whether it is still cold.
func (c *ColdCap) Cap() (limit int, cold bool) {
	slots := max(c.Slots, 1)
	limit = min(max(c.cap, c.StartCap, 1), slots)
	if c.warm || limit == slots {
		return slots, false
	}
	return limit, true
}

// RecordSuccess counts a complete answer to a request of the given generation.
func (c *ColdCap) RecordSuccess(generation uint64) {
	limit, cold := c.Cap()
	if !cold || generation != c.generation {
		return
	}
	c.answers++
	if c.answers < c.requiredAnswers(limit) {
		return
	}
	c.answers = 0
	c.cap = 2 * limit
	_, cold = c.Cap()
	c.warm = !cold
}

// requiredAnswers returns the number of complete answers required before the cap grows.
func (c *ColdCap) requiredAnswers(limit int) int {
	if c.cap <= max(c.StartCap, 1) {
		return max(c.WarmupAnswers, limit)
	}
	return limit
}

// RecordFailure records a failed answer to a request of the given generation. It halves the cap of
// a cold target, but not below StartCap, as the last increase may have been too much.
func (c *ColdCap) RecordFailure(generation uint64) {
	limit, cold := c.Cap()
	if !cold || generation != c.generation {
		return
	}
	c.answers = 0
	c.cap = limit / 2
}
