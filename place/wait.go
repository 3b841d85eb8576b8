package place

import "time"

// maxPatience limits Patience. A starting entry has the contents of the caches within 100 ms,
// from a peer or from the targets; after twice that time the start has failed.
const maxPatience = 200 * time.Millisecond

// Patience returns how long a request waits at an entry that has just started and does not have
// the contents of the targets' caches yet.
//
// If all entries restart, callers retry at the same time. Requests sent at once would make some
// target read each prefix again, and later requests would queue behind it. A request therefore
// waits, but never longer than reading its prefix takes, as a longer wait saves no time.
func Patience(shared int) time.Duration {
	prefillTime := time.Duration(float64(shared) / PrefillRate * float64(time.Millisecond))
	return min(prefillTime, maxPatience)
}
