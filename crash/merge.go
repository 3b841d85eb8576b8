package crash

import (
	"slices"

	"chestnutstep.example/chestnutstep"
)

// maxCrashedTargets limits the targets that a suspicion lists: two are enough to condemn.
const maxCrashedTargets = 2

// Merge merges two suspicions of the same fingerprint. It is commutative, associative and
// idempotent: suspicions can arrive late, twice and in any order, and all processes reach the same
// state.
//
// A target that is listed twice crashed while it ran the content exclusively. That takes precedence
// over a list of two different targets.
func Merge(a, b chestnutstep.Suspicion) chestnutstep.Suspicion {
	if b.SeenAt.After(a.SeenAt) {
		a.SeenAt = b.SeenAt
	}
	a.Cleared = a.Cleared || b.Cleared
	a.CrashedTargets = mergeCrashed(a.CrashedTargets, b.CrashedTargets)
	return a
}

func mergeCrashed(a, b []string) []string {
	if exclusive := minNonEmpty(exclusiveCrashTarget(a), exclusiveCrashTarget(b)); exclusive != "" {
		return []string{exclusive, exclusive}
	}
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxCrashedTargets)]
}

// exclusiveCrashTarget returns the target that crashed while it ran the content exclusively, or "".
func exclusiveCrashTarget(crashed []string) string {
	if len(crashed) >= maxCrashedTargets && crashed[0] == crashed[1] {
		return crashed[0]
	}
	return ""
}

// minNonEmpty returns the smaller of the non-empty names, or "".
func minNonEmpty(a, b string) string {
	if a == "" || (b != "" && b < a) {
		return b
	}
	return a
}
