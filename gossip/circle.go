package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// circleSize is how many neighbours a process exchanges with in turn. A
	// random peer for each exchange would spread news as fast, but open and
	// close a connection each second, and with TLS the handshakes would cost
	// more than all that is exchanged. With six each, and as many that chose
	// this process, a cut that leaves it connected to no one is unlikely, and a
	// push reaches thousands in five steps.
	circleSize = 6
	// circleTurn is how long a neighbour stays. Replacing one now and then
	// reconnects a circle whose members are cut off together.
	circleTurn = time.Minute
)

// circle chooses whom a process exchanges with. Every second place goes to a
// process of the same model if there is one.
type circle struct {
	all, near []string
	places    []string
	turn      int
	since     time.Time
}

// set says who may be chosen from now on; near are those of the same model.
func (c *circle) set(near, all []string) {
	c.near, c.all = near, all
	c.places = slices.DeleteFunc(c.places, func(a string) bool { return !slices.Contains(all, a) })
}

// next returns the address for the next exchange, or "" when there is nobody.
func (c *circle) next(now time.Time, r *rand.Rand) string {
	if c.since.IsZero() {
		c.since = now
	}
	if len(c.places) == circleSize && now.Sub(c.since) > circleTurn {
		c.places = slices.Delete(c.places, 0, 1)
		c.since = now
	}
	c.fill(r)
	if len(c.places) == 0 {
		return ""
	}
	c.turn = (c.turn + 1) % len(c.places)
	return c.places[c.turn]
}

// fill draws neighbours for the empty places. It tries a few times only: in a
// small fleet there are fewer processes than places.
func (c *circle) fill(r *rand.Rand) {
	const tries = 4 * circleSize
	for range tries {
		if len(c.places) >= circleSize || len(c.all) == 0 {
			return
		}
		from := c.all
		if len(c.places)%2 == 1 && len(c.near) > 0 {
			from = c.near
		}
		if a := from[r.IntN(len(from))]; !slices.Contains(c.places, a) {
			c.places = append(c.places, a)
		}
	}
}

// drop gives up a neighbour that did not answer.
func (c *circle) drop(address string) {
	c.places = slices.DeleteFunc(c.places, func(a string) bool { return a == address })
}
