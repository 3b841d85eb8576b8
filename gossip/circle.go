package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxNeighbours is how many neighbours a process exchanges with in turn. A
	// random peer for each exchange would spread news as fast, but open and
	// close a connection each second, and with TLS the handshakes would cost
	// more than all that is exchanged. With six each, and as many that chose
	// this process, a cut that leaves it connected to no one is unlikely, and a
	// push reaches thousands in five steps.
	maxNeighbours = 6
	// neighbourRotationInterval is how long a neighbour stays. Replacing one now and then
	// reconnects a circle whose members are cut off together.
	neighbourRotationInterval = time.Minute
)

// neighbourSet chooses whom a process exchanges with. Every second place goes to a
// process of the same model if there is one.
type neighbourSet struct {
	all, sameModel []string
	current        []string
	cursor         int
	rotatedAt      time.Time
}

// setCandidates says who may be chosen from now on; near are those of the same model.
func (c *neighbourSet) setCandidates(sameModel, all []string) {
	c.sameModel, c.all = sameModel, all
	c.current = slices.DeleteFunc(c.current, func(a string) bool { return !slices.Contains(all, a) })
}

// next returns the address for the next exchange, or "" when there is nobody.
func (c *neighbourSet) next(now time.Time, r *rand.Rand) string {
	if c.rotatedAt.IsZero() {
		c.rotatedAt = now
	}
	if len(c.current) == maxNeighbours && now.Sub(c.rotatedAt) > neighbourRotationInterval {
		c.current = slices.Delete(c.current, 0, 1)
		c.rotatedAt = now
	}
	c.fill(r)
	if len(c.current) == 0 {
		return ""
	}
	c.cursor = (c.cursor + 1) % len(c.current)
	return c.current[c.cursor]
}

// fill draws neighbours for the empty places. It tries a few times only: in a
// small fleet there are fewer processes than places.
func (c *neighbourSet) fill(r *rand.Rand) {
	const tries = 4 * maxNeighbours
	for range tries {
		if len(c.current) >= maxNeighbours || len(c.all) == 0 {
			return
		}
		from := c.all
		if len(c.current)%2 == 1 && len(c.sameModel) > 0 {
			from = c.sameModel
		}
		if a := from[r.IntN(len(from))]; !slices.Contains(c.current, a) {
			c.current = append(c.current, a)
		}
	}
}

// remove gives up a neighbour that did not answer.
func (c *neighbourSet) remove(address string) {
	c.current = slices.DeleteFunc(c.current, func(a string) bool { return a == address })
}
