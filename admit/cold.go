package admit

// Cold is the cap of a target that has not proven warm since it started. The
// zero value is cold, as an agent that starts knows nothing of its target:
// taking a cold one for warm pushes it over, and its callers see answers break
// off; taking a warm one for cold costs a few seconds of its share.
//
// The cap doubles each time as many whole answers came as it allows at once:
// one round without a fault at a load is the proof that this load is carried.
// From 2 to 64 takes 62 answers. Steps by time instead of by success would
// raise the cap of a target that hangs.
type Cold struct {
	// Start is what a target in cold start can carry; below 1 it is read as 1.
	Start int
	// Warm is how many whole answers a target needs before it carries more than
	// Start; growing sooner pushes engines over. Below Start it is read
	// as Start.
	Warm int
	// Slots is what a warm target can run; reaching it is being warm.
	Slots int

	cap    int
	earned int
	warm   bool
	era    uint64
}

// Chill says that the target lost what it had: all proof is void.
func (c *Cold) Chill() {
	c.cap = 0
	c.earned = 0
	c.warm = false
	c.era++
}

// Era changes with each Chill. Work keeps the era it started in, so that an
// answer from before a restart proves nothing about the target after it.
func (c *Cold) Era() uint64 { return c.era }

// Cap returns what the target can carry now, and whether it is still cold.
func (c *Cold) Cap() (limit int, cold bool) {
	slots := max(c.Slots, 1)
	limit = min(max(c.cap, c.Start, 1), slots)
	if c.warm || limit == slots {
		return slots, false
	}
	return limit, true
}

// Serve counts a whole answer to work of the given era.
func (c *Cold) Serve(era uint64) {
	limit, cold := c.Cap()
	if !cold || era != c.era {
		return
	}
	c.earned++
	if c.earned < c.wanted(limit) {
		return
	}
	c.earned = 0
	c.cap = 2 * limit
	_, cold = c.Cap()
	c.warm = !cold
}

// wanted is how many whole answers prove the present cap.
func (c *Cold) wanted(limit int) int {
	if c.cap <= max(c.Start, 1) {
		return max(c.Warm, limit)
	}
	return limit
}

// Fail counts a bad answer to work of the given era: a cold target steps back
// to half, as the last step may have been too much for it.
func (c *Cold) Fail(era uint64) {
	limit, cold := c.Cap()
	if !cold || era != c.era {
		return
	}
	c.earned = 0
	c.cap = limit / 2
}
