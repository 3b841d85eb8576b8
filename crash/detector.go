// Package crash finds requests whose content crashes the targets that run them.
//
// The load it answers is a single request that kills its target and is sent
// again by its caller, to the next target, and the next. Without this package
// one caller takes a whole model out of service, and each crash also ends the
// answers of everyone beside it. One would notice targets turning cold one
// after the other.
//
// Detector decides at an agent, which sees all that its target runs: what was running
// at a crash becomes suspect and runs alone from then on, and the second crash condemns
// it. Quarantine decides at an entry without agents, which sees its own requests and
// what its peers report. At both, what merely ran beside it runs to its end, and is
// cleared by that.
package crash

import (
	"cmp"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// DefaultKeep is how long a suspicion lasts. It is longer than any caller
	// repeats a request for, and short enough that one which a failing host
	// brought about does not outlive the shift of the operators.
	DefaultKeep = 10 * time.Minute
	// DefaultMost bounds the suspicions that are kept. A crash brings at most
	// as many as a target runs at once, so that 1,024 hold some tens of crashes
	// in ten minutes, in about 160 KB.
	DefaultMost = 1024
	// DefaultServed bounds the fingerprints that are remembered as served, the
	// evidence that a popular request is not what crashed a target. 4,096 are a
	// minute's worth at 70 requests a second, in about 370 KB.
	DefaultServed = 4096
)

// Detector implements chestnutstep.Detector for one process. Set the fields before the
// first call. It is not safe for concurrent use.
type Detector struct {
	// Target is the target beside the agent; empty at an entry.
	Target string
	// Keep is how long a suspicion lasts; DefaultKeep when 0.
	Keep time.Duration
	// Most bounds the suspicions; DefaultMost when 0.
	Most int
	// Served bounds the fingerprints remembered as served; DefaultServed when 0.
	Served int

	cases   map[uint64]*file
	running map[uint64]int
	total   int
	// owed counts the runs that a crash ended and whose End is still to come.
	owed   map[uint64]int
	served memory
}

var _ chestnutstep.Detector = (*Detector)(nil)

// file is a suspicion with what only this process knows of it.
type file struct {
	chestnutstep.Suspicion
	// passed says that it ran to its end here since the last crash known.
	passed bool
	// told counts how often it was passed on since it last changed.
	told int
}

func (j *Detector) init() {
	if j.cases != nil {
		return
	}
	if j.Keep <= 0 {
		j.Keep = DefaultKeep
	}
	if j.Most <= 0 {
		j.Most = DefaultMost
	}
	if j.Served <= 0 {
		j.Served = DefaultServed
	}
	j.cases = map[uint64]*file{}
	j.running = map[uint64]int{}
	j.owed = map[uint64]int{}
	j.served = memory{most: j.Served, at: map[uint64]time.Time{}}
}

// Check says how a request may run.
//
// Condemned is what crashed a target while it ran alone, and what stood at the
// crash of two targets and was served by none. The first needs no doubt. The
// second may in the worst case be a bystander, but only one that nobody has
// served within Keep and that reached the second target before the suspicion
// did; waiting for a third crash to tell them apart would cost a third target.
//
// What was served elsewhere is clear after one crash. After a crash here, or
// two anywhere, it runs alone once more at this target.
func (j *Detector) Check(now time.Time, fingerprint uint64) chestnutstep.ContentState {
	j.init()
	f := j.find(now, fingerprint)
	if f == nil {
		return chestnutstep.ContentClear
	}
	if aloneAt(f.CrashedTargets) != "" {
		return chestnutstep.ContentCondemned
	}
	if len(f.CrashedTargets) >= maxCrashed && !f.Cleared {
		return chestnutstep.ContentCondemned
	}
	if f.passed {
		return chestnutstep.ContentClear
	}
	here := slices.Contains(f.CrashedTargets, j.Target)
	if f.Cleared && !here && len(f.CrashedTargets) < maxCrashed {
		return chestnutstep.ContentClear
	}
	return chestnutstep.ContentSuspect
}

// find returns the suspicion of a fingerprint unless it has expired.
func (j *Detector) find(now time.Time, fingerprint uint64) *file {
	f := j.cases[fingerprint]
	if f == nil || now.Sub(f.SeenAt) < j.Keep {
		return f
	}
	delete(j.cases, fingerprint)
	return nil
}

// Start notes that the content runs at this target from now on.
func (j *Detector) Start(_ time.Time, fingerprint uint64) {
	j.init()
	j.running[fingerprint]++
	j.total++
}

// End notes that the content no longer runs; each Start has one End, also after a
// crash. Content that was served to its end is cleared for all, as it did not
// crash the target that ran it.
func (j *Detector) End(now time.Time, fingerprint uint64, served bool) {
	j.init()
	j.leave(fingerprint)
	if !served || fingerprint == 0 {
		return
	}
	j.served.add(now, fingerprint)
	if f := j.find(now, fingerprint); f != nil {
		f.passed = true
		j.clear(f)
	}
}

// leave takes one run off the count. The end of a run that died in a crash comes
// after it, when the caller's repeat may run already: taken off that one, it
// would let the next crash of the same content pass unnoticed.
func (j *Detector) leave(fingerprint uint64) {
	if j.owed[fingerprint] > 0 {
		drop(j.owed, fingerprint)
		return
	}
	if j.running[fingerprint] > 0 {
		drop(j.running, fingerprint)
		j.total--
	}
}

func drop(counts map[uint64]int, fingerprint uint64) {
	counts[fingerprint]--
	if counts[fingerprint] == 0 {
		delete(counts, fingerprint)
	}
}

func (j *Detector) clear(f *file) {
	if !f.Cleared {
		f.Cleared = true
		f.told = 0
	}
}

// Crash says that the target died; what was running becomes suspect. It returns
// the suspicions that changed, which should be told to the peers at once: the
// caller's repeat is already on its way to the next target.
func (j *Detector) Crash(now time.Time) []chestnutstep.Suspicion {
	j.init()
	var changed []chestnutstep.Suspicion
	for _, fingerprint := range j.suspects() {
		s := chestnutstep.Suspicion{
			Fingerprint:    fingerprint,
			CrashedTargets: []string{j.Target},
			Cleared:        j.served.recent(now, j.Keep, fingerprint),
			SeenAt:         now,
		}
		if j.total == 1 && j.Check(now, fingerprint) != chestnutstep.ContentClear {
			s.CrashedTargets = []string{j.Target, j.Target}
		}
		j.merge(s)
		f := j.cases[fingerprint]
		f.passed = false
		changed = append(changed, f.Suspicion)
	}
	for fingerprint, n := range j.running {
		j.owed[fingerprint] += n
	}
	clear(j.running)
	j.total = 0
	j.bound(now)
	return changed
}

// suspects lists what runs, in order, so that a crash has the same outcome each
// time. Content without a fingerprint can't be told apart and is left out.
func (j *Detector) suspects() []uint64 {
	var all []uint64
	for fingerprint := range j.running {
		if fingerprint != 0 {
			all = append(all, fingerprint)
		}
	}
	slices.Sort(all)
	return all
}

// Merge takes suspicions of other agents. Content that this target has served
// of late is cleared at once, so that a popular request does not run alone at
// every target because it stood beside a crash at one.
func (j *Detector) Merge(now time.Time, s []chestnutstep.Suspicion) {
	j.init()
	for _, one := range s {
		if one.Fingerprint == 0 || len(one.CrashedTargets) == 0 || now.Sub(one.SeenAt) >= j.Keep {
			continue
		}
		one.CrashedTargets = mergeCrashed(one.CrashedTargets, nil)
		j.merge(one)
		if j.served.recent(now, j.Keep, one.Fingerprint) {
			j.clear(j.cases[one.Fingerprint])
		}
	}
	j.bound(now)
}

func (j *Detector) merge(s chestnutstep.Suspicion) {
	f := j.cases[s.Fingerprint]
	if f == nil {
		j.cases[s.Fingerprint] = &file{Suspicion: s}
		return
	}
	merged := Merge(f.Suspicion, s)
	if !slices.Equal(merged.CrashedTargets, f.CrashedTargets) {
		f.passed = false
		f.told = 0
	}
	if merged.Cleared != f.Cleared {
		f.told = 0
	}
	f.Suspicion = merged
}

// Suspicions returns at most n suspicions worth passing on: those told least often
// since they changed, so that news goes out first and all have their turn.
func (j *Detector) Suspicions(now time.Time, n int) []chestnutstep.Suspicion {
	j.init()
	j.bound(now)
	all := make([]*file, 0, len(j.cases))
	for _, f := range j.cases {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b *file) int {
		return cmp.Or(
			cmp.Compare(a.told, b.told),
			b.SeenAt.Compare(a.SeenAt),
			cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	all = all[:min(n, len(all))]
	out := make([]chestnutstep.Suspicion, 0, len(all))
	for _, f := range all {
		f.told++
		out = append(out, f.Suspicion)
	}
	return out
}
