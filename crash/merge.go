package crash

import (
	"slices"

	"chestnutstep.example/chestnutstep"
)

// maxCrashedTargets is how many targets a suspicion lists: two are enough to condemn.
const maxCrashedTargets = 2

// Merge joins what two processes know of one fingerprint. It is commutative,
// associative and idempotent, so that suspicions may arrive late, twice and in
// any order, and all processes still come to the same judgement.
//
// A target that is listed twice crashed while the fingerprint ran there alone,
// as a suspect; that outweighs any list of two different targets.
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

// exclusiveCrashTarget returns the target where the fingerprint crashed while it ran alone.
func exclusiveCrashTarget(crashed []string) string {
	if len(crashed) >= maxCrashedTargets && crashed[0] == crashed[1] {
		return crashed[0]
	}
	return ""
}

// minNonEmpty returns the smaller name, where an empty one does not count.
func minNonEmpty(a, b string) string {
	if a == "" || (b != "" && b < a) {
		return b
	}
	return a
}
