package link

const (
	// idleRatio is the fraction of a target's connections that idle ones of all entries together
	// can use. The rest is for requests in progress and for connections left behind by restarted
	// entries.
	idleRatio = 0.5
	// maxIdleConns is the maximum number of idle connections to one address.
	maxIdleConns = 32
)

// MaxIdle returns the number of idle connections that an entry keeps to a target which accepts the
// given number of connections from all entries together. If connections is 0 or less, the target
// has no limit.
//
// With 300 entries and three targets that accept 200 connections each, one idle connection per
// entry would exceed the limit. Targets would reset further connections, so that requests fail
// although the targets are almost idle. Without idle connections, each request would open its own,
// which costs a round trip.
func MaxIdle(connections, entries int) int {
	if connections <= 0 {
		return maxIdleConns
	}
	return min(int(idleRatio*float64(connections))/max(entries, 1), maxIdleConns)
}
