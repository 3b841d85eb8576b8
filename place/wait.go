package place

import "time"

// maxPatience bounds Patience: an entry that starts knows within 100 ms what targets
// hold, from a peer or from the targets; twice that is a start gone wrong.
const maxPatience = 200 * time.Millisecond

// Patience is how long a request waits at an entry that has just started and does
// not know yet what targets hold.
//
// The load it answers: all entries lose power and come back to callers who all try
// again. Sent at once, each prefix is read anew at some target, and those who come
// behind wait for that reading. So a request waits, but never longer than reading
// its prefix would take: a short prefix is not worth waiting for.
func Patience(shared int) time.Duration {
	prefillTime := time.Duration(float64(shared) / PrefillRate * float64(time.Millisecond))
	return min(prefillTime, maxPatience)
}
