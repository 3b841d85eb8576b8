// Package crash finds requests whose content crashes the targets that run them, so that such a
// request is refused after it has crashed a few targets. Callers retry a request that failed:
// without this package, a single request could crash all targets of a model one after the other,
// and each crash would also end all other requests that run on the same target. The symptom is
// targets that become cold one after the other.
//
// Detector serves agents, which see every run of their target. All contents that run during a crash
// become suspect and run exclusively from then on; a second crash condemns them, with the exceptions
// at Detector.Check. Quarantine serves entries without agents, which see only their own requests and
// the reports of their peers. In both, a content that is served to its end is cleared.
package crash

import (
	"cmp"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// DefaultSuspicionTTL is how long a suspicion lasts. Callers stop retrying a request earlier
	// than that. A suspicion that a failing host caused expires within one shift of the operators.
	DefaultSuspicionTTL = 10 * time.Minute
	// DefaultMaxSuspicions limits the number of stored suspicions. A crash adds at most as many
	// suspicions as the target has concurrent runs: 1,024 suspicions cover some tens of crashes in
	// ten minutes and take about 160 KB.
	DefaultMaxSuspicions = 1024
	// DefaultMaxServed limits the number of fingerprints that are remembered as served. They are
	// the evidence that a popular request did not cause a crash. 4,096 fingerprints cover one
	// minute at 70 requests per second and take about 370 KB.
	DefaultMaxServed = 4096
)

// Detector implements chestnutstep.Detector for one process. Set the fields before the
// first call. It is not safe for concurrent use.
type Detector struct {
	// Target is the target of this agent; empty at an entry.
	Target string
	// SuspicionTTL is how long a suspicion lasts; 0 means DefaultSuspicionTTL.
	SuspicionTTL time.Duration
	// MaxSuspicions limits the number of suspicions; 0 means DefaultMaxSuspicions.
	MaxSuspicions int
	// MaxServed limits the number of fingerprints remembered as served; 0 means DefaultMaxServed.
	MaxServed int

	suspicions   map[uint64]*localSuspicion
	running      map[uint64]int
	totalRunning int
	// pendingEnds counts, by fingerprint, the runs that a crash ended and for which End has not
	// been called yet.
	pendingEnds    map[uint64]int
	recentlyServed servedCache
}

var _ chestnutstep.Detector = (*Detector)(nil)

// localSuspicion is a suspicion together with the state that is local to this process.
type localSuspicion struct {
	chestnutstep.Suspicion
	// servedSinceCrash reports whether the content was served here after its last known crash.
	servedSinceCrash bool
	// reportCount counts how often the suspicion was reported since it last changed.
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

// Check returns the state of a content: clear, suspect or condemned.
//
// A content is condemned if it crashed a target while it ran exclusively, or if it was running when
// two targets crashed and no target has served it. In the second case it can be innocent, but only
// if no target has served it within SuspicionTTL and it reached the second target before the
// suspicion did. Waiting for a third crash to decide would cost a third target.
//
// A content that was served elsewhere is clear after one crash. After a crash on this target, or on
// two targets anywhere, it is suspect until this target has served it once.
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

// find returns the suspicion of a fingerprint, or nil if there is none or it has expired.
func (d *Detector) find(now time.Time, fingerprint uint64) *localSuspicion {
	f := d.suspicions[fingerprint]
	if f == nil || now.Sub(f.SeenAt) < d.SuspicionTTL {
		return f
	}
	delete(d.suspicions, fingerprint)
	return nil
}

// Start records that the content begins to run on this target.
func (d *Detector) Start(_ time.Time, fingerprint uint64) {
	d.init()
	d.running[fingerprint]++
	d.totalRunning++
}

// End records that a run of the content has ended. Each Start requires one End, also after a crash.
// A content that was served to its end is cleared, here and through reports at all other agents,
// because it did not crash the target that ran it.
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

// removeRun decrements the count of runs. End is called for a crashed run only after the crash,
// when a retry may already be running. Without pendingEnds it would remove the retry from the
// count, and the next crash of the same content would go undetected.
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

// Crash records that the target crashed: all running contents become suspect. It returns the
// suspicions that changed. The agent should report them to its peers immediately, as the caller's
// retry may already be on its way to the next target.
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

// runningFingerprints returns the running fingerprints in ascending order, so that a crash has a
// deterministic result. Contents without a fingerprint can't be distinguished and are left out.
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

// Merge merges suspicions of other agents. A content that this target has served recently is
// cleared immediately, so that a popular request does not run exclusively at every target because
// it was running when one target crashed.
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

// Suspicions returns up to n suspicions to report, those with the lowest report count since their
// last change first, so that changes are sent first and every suspicion gets its turn.
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
