package watch

import "time"

const (
	// shortPart of the bound on keys is how long a watch of an entry waits that
	// proves for the others that the configuration is current, shortMost at most.
	// Its return proves that it was current when the call began, so that proofs are
	// at most two such waits old: well inside the bound.
	shortPart = 0.2
	shortMost = time.Second
	// long is how long any other watch waits. Changes end it at once; it only has
	// to return before its connection counts as idle somewhere on the way.
	long = 10 * time.Second
	// provers is how many entries watch with the short time: two, as one may be
	// cut off from the source. All others take their word. Each entry by itself
	// would make a call a second, which a large fleet can't afford.
	provers = 2
	// stalePart of the bound is the age of a proof at which an entry stops relying
	// on others: what is left is enough to ask by itself.
	stalePart = 0.44
	// gatherLeast and gatherEach are how long a watch rests after changes, at the least and
	// for each entry: what changes together, such as targets that are replaced one by one,
	// is then read by one call.
	gatherLeast = 300 * time.Millisecond
	gatherEach  = 30 * time.Millisecond
	// gatherPart bounds the rest by a part of the time in which a change must be in
	// force, and gatherMost where no such time is set.
	gatherPart = 0.25
	gatherMost = 500 * time.Millisecond
	// boundDefault stands in where no bound is set.
	boundDefault = 5 * time.Second
)

// Pace says how long the next watch of the configuration waits. Rank is the entry's
// place among those that are heard, by hash; age is that of its proof; bound is when
// a key that was taken away must be dead.
func Pace(rank int, age, bound time.Duration) time.Duration {
	if rank < provers || Stale(age, bound) {
		return Short(bound)
	}
	return long
}

// Gather is how long a watch rests after changes. Each change costs a call by every entry,
// so that a fleet of many makes more calls for the same changes than the source may
// serve: the more entries there are, the longer each rests, within the time in which a
// change must be in force.
func Gather(entries int, within time.Duration) time.Duration {
	most := gatherMost
	if within > 0 {
		most = part(within, gatherPart)
	}
	return min(max(time.Duration(entries)*gatherEach, gatherLeast), max(most, gatherLeast))
}

// Short is the waiting time of a watch that proves.
func Short(bound time.Duration) time.Duration {
	if bound <= 0 {
		bound = boundDefault
	}
	return min(part(bound, shortPart), shortMost)
}

// Stale says that a proof is so old that the entry should ask by itself.
func Stale(age, bound time.Duration) bool {
	if bound <= 0 {
		bound = boundDefault
	}
	return age > part(bound, stalePart)
}

// Long is the time for watches that need no proof.
func Long() time.Duration { return long }

func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
