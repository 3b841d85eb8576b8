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
	// DefaultSuspicionTTL is how long a suspicion lasts. It is longer than any caller
	// repeats a request for, and short enough that one which a failing host
	// brought about does not outlive the shift of the operators.
	DefaultSuspicionTTL = 10 * time.Minute
	// DefaultMaxSuspicions bounds the suspicions that are kept. A crash brings at most
	// as many as a target runs at once, so that 1,024 hold some tens of crashes
	// in ten minutes, in about 160 KB.
	DefaultMaxSuspicions = 1024
	// DefaultMaxServed bounds the fingerprints that are remembered as served, the
	// evidence that a popular request is not what crashed a target. 4,096 are a
	// minute's worth at 70 requests a second, in about 370 KB.
	DefaultMaxServed = 4096
)

// Detector implements chestnutstep.Detector for one process. Set the fields before the
// first call. It is not safe for concurrent use.
type Detector struct {
	// Target is the target beside the agent; empty at an entry.
	Target string
	// SuspicionTTL is how long a suspicion lasts; DefaultKeep when 0.
	SuspicionTTL time.Duration
	// MaxSuspicions bounds the suspicions; DefaultMost when 0.
	MaxSuspicions int
	// MaxServed bounds the fingerprints remembered as served; DefaultServed when 0.
	MaxServed int

	suspicions   map[uint64]*localSuspicion
	running      map[uint64]int
	totalRunning int
	// pendingEnds counts the runs that a crash ended and whose End is still to come.
	pendingEnds    map[uint64]int
	recentlyServed servedCache
}

var _ chestnutstep.Detector = (*Detector)(nil)

// localSuspicion is a suspicion with what only this process knows of it.
type localSuspicion struct {
	chestnutstep.Suspicion
	// servedSinceCrash says that it ran to its end here since the last crash known.
	servedSinceCrash bool
	// reportCount counts how often it was passed on since it last changed.
	reportCount int
}

func (d *Detector) init() {
	if d.suspicions != nil {
		return
	}
	if d.SuspicionTTL <= 0 {
		d.SuspicionTTL = DefaultSuspicionTTL
	}
	if d.MaxSuspicions <= 0 {
		d.MaxSuspicions = DefaultMaxSuspicions
	}
	if d.MaxServed <= 0 {
		d.MaxServed = DefaultMaxServed
	}
	d.suspicions = map[uint64]*localSuspicion{}
	d.running = map[uint64]int{}
	d.pendingEnds = map[uint64]int{}
	d.recentlyServed = servedCache{capacity: d.MaxServed, servedAt: map[uint64]time.Time{}}
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
func (d *Detector) Check(now time.Time, fingerprint uint64) chestnutstep.ContentState {
	d.init()
	f := d.find(now, fingerprint)
	if f == nil {
		return chestnutstep.ContentClear
	}
	if exclusiveCrashTarget(f.CrashedTargets) != "" {
		return chestnutstep.ContentCondemned
	}
	if len(f.CrashedTargets) >= maxCrashedTargets && !f.Cleared {
		return chestnutstep.ContentCondemned
	}
	if f.servedSinceCrash {
		return chestnutstep.ContentClear
	}
	here := slices.Contains(f.CrashedTargets, d.Target)
	if f.Cleared && !here && len(f.CrashedTargets) < maxCrashedTargets {
		return chestnutstep.ContentClear
	}
	return chestnutstep.ContentSuspect
}

// find returns the suspicion of a fingerprint unless it has expired.
func (d *Detector) find(now time.Time, fingerprint uint64) *localSuspicion {
	f := d.suspicions[fingerprint]
	if f == nil || now.Sub(f.SeenAt) < d.SuspicionTTL {
		return f
	}
	delete(d.suspicions, fingerprint)
	return nil
}

// Start notes that the content runs at this target from now on.
func (d *Detector) Start(_ time.Time, fingerprint uint64) {
	d.init()
	d.running[fingerprint]++
	d.totalRunning++
}

// End notes that the content no longer runs; each Start has one End, also after a
// crash. Content that was served to its end is cleared for all, as it did not
// crash the target that ran it.
func (d *Detector) End(now time.Time, fingerprint uint64, served bool) {
	d.init()
	d.removeRun(fingerprint)
	if !served || fingerprint == 0 {
		return
	}
	d.recentlyServed.add(now, fingerprint)
	if f := d.find(now, fingerprint); f != nil {
		f.servedSinceCrash = true
		d.clear(f)
	}
}

// removeRun takes one run off the count. The end of a run that died in a crash comes
// after it, when the caller's repeat may run already: taken off that one, it
// would let the next crash of the same content pass unnoticed.
func (d *Detector) removeRun(fingerprint uint64) {
	if d.pendingEnds[fingerprint] > 0 {
		decrement(d.pendingEnds, fingerprint)
		return
	}
	if d.running[fingerprint] > 0 {
		decrement(d.running, fingerprint)
		d.totalRunning--
	}
}

func decrement(counts map[uint64]int, fingerprint uint64) {
	counts[fingerprint]--
	if counts[fingerprint] == 0 {
		delete(counts, fingerprint)
	}
}

func (d *Detector) clear(f *localSuspicion) {
	if !f.Cleared {
		f.Cleared = true
		f.reportCount = 0
	}
}

// Crash says that the target died; what was running becomes suspect. It returns
// the suspicions that changed, which should be told to the peers at once: the
// caller's repeat is already on its way to the next target.
func (d *Detector) Crash(now time.Time) []chestnutstep.Suspicion {
	d.init()
	var changed []chestnutstep.Suspicion
	for _, fingerprint := range d.runningFingerprints() {
		s := chestnutstep.Suspicion{
			Fingerprint:    fingerprint,
			CrashedTargets: []string{d.Target},
			Cleared:        d.recentlyServed.isRecent(now, d.SuspicionTTL, fingerprint),
			SeenAt:         now,
		}
		if d.totalRunning == 1 && d.Check(now, fingerprint) != chestnutstep.ContentClear {
			s.CrashedTargets = []string{d.Target, d.Target}
		}
		d.merge(s)
		f := d.suspicions[fingerprint]
		f.servedSinceCrash = false
		changed = append(changed, f.Suspicion)
	}
	for fingerprint, n := range d.running {
		d.pendingEnds[fingerprint] += n
	}
	clear(d.running)
	d.totalRunning = 0
	d.evictExcess(now)
	return changed
}

// runningFingerprints lists what runs, in order, so that a crash has the same outcome each
// time. Content without a fingerprint can't be told apart and is left out.
func (d *Detector) runningFingerprints() []uint64 {
	var all []uint64
	for fingerprint := range d.running {
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
func (d *Detector) Merge(now time.Time, s []chestnutstep.Suspicion) {
	d.init()
	for _, incoming := range s {
		if incoming.Fingerprint == 0 || len(incoming.CrashedTargets) == 0 || now.Sub(incoming.SeenAt) >= d.SuspicionTTL {
			continue
		}
		incoming.CrashedTargets = mergeCrashed(incoming.CrashedTargets, nil)
		d.merge(incoming)
		if d.recentlyServed.isRecent(now, d.SuspicionTTL, incoming.Fingerprint) {
			d.clear(d.suspicions[incoming.Fingerprint])
		}
	}
	d.evictExcess(now)
}

func (d *Detector) merge(s chestnutstep.Suspicion) {
	f := d.suspicions[s.Fingerprint]
	if f == nil {
		d.suspicions[s.Fingerprint] = &localSuspicion{Suspicion: s}
		return
	}
	merged := Merge(f.Suspicion, s)
	if !slices.Equal(merged.CrashedTargets, f.CrashedTargets) {
		f.servedSinceCrash = false
		f.reportCount = 0
	}
	if merged.Cleared != f.Cleared {
		f.reportCount = 0
	}
	f.Suspicion = merged
}

// Suspicions returns at most n suspicions worth passing on: those told least often
// since they changed, so that news goes out first and all have their turn.
func (d *Detector) Suspicions(now time.Time, n int) []chestnutstep.Suspicion {
	d.init()
	d.evictExcess(now)
	all := make([]*localSuspicion, 0, len(d.suspicions))
	for _, f := range d.suspicions {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b *localSuspicion) int {
		return cmp.Or(
			cmp.Compare(a.reportCount, b.reportCount),
			b.SeenAt.Compare(a.SeenAt),
			cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	all = all[:min(n, len(all))]
	out := make([]chestnutstep.Suspicion, 0, len(all))
	for _, f := range all {
		f.reportCount++
		out = append(out, f.Suspicion)
	}
	return out
}
