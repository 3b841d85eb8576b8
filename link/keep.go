package link

const (
	// idleRatio is the part of a target's connections that idle ones may take, over
	// all entries: the rest is for requests in progress and for entries that have
	// restarted and left connections behind.
	idleRatio = 0.5
	// maxIdleConns bounds the idle connections to one address.
	maxIdleConns = 32
)

// MaxIdle is how many idle connections an entry keeps to one target that accepts a
// number of them from all entries together.
//
// The load it answers: 300 entries before a service of three targets, which take 200
// connections each. With one idle connection of each entry a target is over its
// number, and resets what comes beyond: callers' bookings fail while it is hardly at
// work. With
// nothing kept each request opens its own, which costs it a round trip.
func MaxIdle(connections, entries int) int {
	if connections <= 0 {
		return maxIdleConns
	}
	return min(int(idleRatio*float64(connections))/max(entries, 1), maxIdleConns)
}
