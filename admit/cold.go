package admit

// ColdCap is the cap of a target that has not proven warm since it started. The
// zero value is cold, as an agent that starts knows nothing of its target:
// taking a cold one for warm pushes it over, and its callers see answers break
// off; taking a warm one for cold costs a few seconds of its share.
//
// The cap doubles each time as many whole answers came as it allows at once:
// one round without a fault at a load is the proof that this load is carried.
// From 2 to 64 takes 62 answers. Steps by time instead of by success would
// raise the cap of a target that hangs.
type ColdCap struct {
	// StartCap is what a target in cold start can carry; below 1 it is read as 1.
	StartCap int
	// WarmupAnswers is how many whole answers a target needs before it carries more than
	// Start; growing sooner pushes engines over. Below Start it is read
	// as Start.
	WarmupAnswers int
	// Slots is what a warm target can run; reaching it is being warm.
	Slots int

	cap        int
	answers    int
	warm       bool
	generation uint64
}

// Reset says that the target lost what it had: all proof is void.
func (c *ColdCap) Reset() {
	c.cap = 0
	c.answers = 0
	c.warm = false
	c.generation++
}

// Generation changes with each Chill. Work keeps the era it started in, so that an
// answer from before a restart proves nothing about the target after it.
func (c *ColdCap) Generation() uint64 { return c.generation }

// Cap returns what the target can carry now, and whether it is still cold.
func (c *ColdCap) Cap() (limit int, cold bool) {
	slots := max(c.Slots, 1)
	limit = min(max(c.cap, c.StartCap, 1), slots)
	if c.warm || limit == slots {
		return slots, false
	}
	return limit, true
}

// RecordSuccess counts a whole answer to work of the given era.
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

// requiredAnswers is how many whole answers prove the present cap.
func (c *ColdCap) requiredAnswers(limit int) int {
	if c.cap <= max(c.StartCap, 1) {
		return max(c.WarmupAnswers, limit)
	}
	return limit
}

// RecordFailure counts a bad answer to work of the given era: a cold target steps back
// to half, as the last step may have been too much for it.
func (c *ColdCap) RecordFailure(generation uint64) {
	limit, cold := c.Cap()
	if !cold || generation != c.generation {
		return
	}
	c.answers = 0
	c.cap = limit / 2
}
