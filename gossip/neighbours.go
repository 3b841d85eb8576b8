package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxNeighbours is the number of neighbours that a process exchanges with
	// in turn. A random peer for each exchange would spread changes as fast,
	// but it would open and close a connection every second, and the TLS
	// handshakes would cost more than the messages. With six neighbours, and
	// about as many processes that chose this one, a partition that isolates a
	// single process is unlikely, and a push reaches thousands of processes in
	// five steps.
	maxNeighbours = 6
	// neighbourRotationInterval is the time between replacements of a
	// neighbour. They reconnect a group of processes that are neighbours only
	// of each other.
	neighbourRotationInterval = time.Minute
)

// neighbourSet chooses the peers of a process. Every second neighbour is a
// process of the same model if there is one.
type neighbourSet struct {
	all, sameModel []string
	current        []string
	cursor         int
	rotatedAt      time.Time
}

// setCandidates replaces the candidates and removes neighbours that are no
// longer among them. sameModel lists the candidates of the same model.
func (c *neighbourSet) setCandidates(sameModel, all []string) {
	c.sameModel, c.all = sameModel, all
	c.current = slices.DeleteFunc(c.current, func(a string) bool { return !slices.Contains(all, a) })
}

// next returns the address for the next exchange, or "" if there are no
// candidates.
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

// fill draws neighbours at random up to maxNeighbours. The number of attempts
// is limited, because a small fleet has fewer processes than that.
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

// remove removes a neighbour that did not answer.
func (c *neighbourSet) remove(address string) {
	c.current = slices.DeleteFunc(c.current, func(a string) bool { return a == address })
}
