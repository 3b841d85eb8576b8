package watch

import "time"

const (
	// short is how long a watch of an entry waits that proves for the others that
	// the configuration is current. Its return proves that it was current when
	// the call began, so that proofs are two seconds old at most.
	short = time.Second
	// long is how long any other watch waits. Changes end it at once; it only has
	// to return before its connection counts as idle somewhere on the way.
	long = 10 * time.Second
	// provers is how many entries watch with the short time: two, as one may be
	// cut off from the source. All others take their word. Each entry by itself
	// would make a call a second: at 24 entries the calls cost a tenth of all
	// that the fleet earned on a quiet day (fleetbench run, 5,003 calls).
	provers = 2
	// stale is the age of a proof at which an entry stops relying on others.
	stale = 2200 * time.Millisecond
)

// Pace says how long the next watch of the configuration waits. Rank is the
// entry's place among those that are heard, by hash; age is that of its proof.
func Pace(rank int, age time.Duration) time.Duration {
	if rank < provers || age > stale {
		return short
	}
	return long
}

// Stale says that a proof is so old that the entry should ask by itself.
func Stale(age time.Duration) bool { return age > stale }

// Long is the time for watches that need no proof.
func Long() time.Duration { return long }
