package relay

import (
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// maxPendingReports limits the number of losses that wait for the next round of reports.
	maxPendingReports = 1024
	// partThreshold is the number of targets that must end while running prompts with a part before
	// the part is refused. It is larger than that of contents, as many sound requests share a part.
	partThreshold = 3
	// partJointWindow is the time within which the ends of many targets count once for a part: a part
	// in use is on many of the targets of a failure domain.
	partJointWindow = 50 * time.Millisecond
	// trialSpacing is the time between the trial runs of a part at two entries, on average: long
	// enough for the end of a target to be reported. maxTrialDelay limits the sum over all entries.
	trialSpacing  = 500 * time.Millisecond
	maxTrialDelay = 30 * time.Second
	// servedTTL is how long a part that was served is not suspected.
	servedTTL = 2 * time.Second
)

// CrashTracker detects contents, and parts of prompts, that end targets, at entries without agents.
// Without an agent, no process observes the end of a target directly: a broken connection raises a
// suspicion against the content, regardless of how much of the answer was received. The end of the
// target is confirmed if the target refuses a connection, if it disappears from the list of targets,
// or if a peer reports it.
//
// A run that ends a target counts against all parts of its prompt but the last, which no other
// request has; a run that is served clears all of them.
//
// A CrashTracker is safe for concurrent use. Set the fields before use.
type CrashTracker struct {
	// Log receives an event for each loss; nil disables logging.
	Log *event.Log
	// Meters counts losses.
	Meters *meter.Relay
	// OnLoss is called with losses that must be reported to the peers immediately; it can be nil.
	OnLoss func(list []share.Crash)
	// EntryCount returns the number of entries; nil counts as one.
	EntryCount func() int
	// Pauses tracks the targets that must not be probed; nil for none.
	Pauses *pause.Tracker
	// Seed is a random number, by which the trial runs of the entries are spread.
	Seed uint64

	mu             sync.Mutex
	contents       crash.Quarantine
	parts          crash.Quarantine
	served         recentSet
	targets        map[uint32]*brokenTarget
	lastExpired    clock.Stamp
	pendingReports []share.Crash
}

// quarantineOf returns the quarantine that a fingerprint belongs to. The caller must hold the lock.
func (c *CrashTracker) quarantineOf(fingerprint uint64) *crash.Quarantine {
	if !crash.IsPart(fingerprint) {
		return &c.contents
	}
	c.parts.Threshold, c.parts.JointWindow, c.parts.TrialDelay = partThreshold, partJointWindow, c.trialDelay
	return &c.parts
}

// trialDelay returns by how much this entry delays the trial runs of a part.
func (c *CrashTracker) trialDelay(fingerprint uint64) time.Duration {
	if c.EntryCount == nil {
		return 0
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], fingerprint)
	binary.LittleEndian.PutUint64(b[8:], c.Seed)
	fraction := float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
	spread := min(time.Duration(c.EntryCount()-1)*trialSpacing, maxTrialDelay)
	return time.Duration(fraction * float64(spread))
}

// Admit returns how long a request is refused that consists of the given content and parts; 0 means
// that it may be sent to a target now. trials are those for which the run is a trial: the caller
// must call EndTrials with them after the run.
func (c *CrashTracker) Admit(now clock.Stamp, fingerprints []uint64) (wait time.Duration, trials []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wait = c.remainingWait(now, fingerprints); wait > 0 {
		return wait, nil
	}
	for _, f := range fingerprints {
		wait, trial := c.quarantineOf(f).Admit(now, f)
		if wait > 0 {
			c.endTrials(trials)
			return wait, nil
		}
		if trial {
			trials = append(trials, f)
		}
	}
	return 0, trials
}

// IsSuspect reports whether a target has ended while it ran one of the contents or parts, and none has
// served it since.
func (c *CrashTracker) IsSuspect(now clock.Stamp, fingerprints []uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(fingerprints, func(f uint64) bool {
		_, losses := c.quarantineOf(f).Check(now, f)
		return losses > 0
	})
}

// RemainingWait returns how long a request is refused from now on.
func (c *CrashTracker) RemainingWait(now clock.Stamp, fingerprints []uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.remainingWait(now, fingerprints)
}

func (c *CrashTracker) remainingWait(now clock.Stamp, fingerprints []uint64) time.Duration {
	var longest time.Duration
	for _, f := range fingerprints {
		wait, _ := c.quarantineOf(f).Check(now, f)
		longest = max(longest, wait)
	}
	return longest
}

// EndTrials ends the trial runs of a request.
func (c *CrashTracker) EndTrials(fingerprints []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endTrials(fingerprints)
}

func (c *CrashTracker) endTrials(fingerprints []uint64) {
	for _, f := range fingerprints {
		c.quarantineOf(f).EndTrial(f)
	}
}

// RecordServed clears the content and parts of a request that was served to its end, and reports the
// cleared losses to the peers.
func (c *CrashTracker) RecordServed(now clock.Stamp, fingerprints []uint64) {
	c.mu.Lock()
	var list []share.Crash
	for _, f := range fingerprints {
		if crash.IsPart(f) {
			c.served.add(now, f)
		}
		cleared := c.quarantineOf(f).RecordServed(f)
		for _, l := range cleared {
			list = append(list, toReport(now, l))
		}
		if len(cleared) > 0 {
			c.Log.Emit(event.CrashCleared, event.Uint("content", f), event.Int("losses", int64(len(cleared))), event.Bool("part", crash.IsPart(f)))
		}
	}
	c.queueReports(list)
	c.mu.Unlock()
	c.announce(list)
}

// logLoss logs a loss together with the resulting state of its content. A part with a single loss
// is not logged: each target that ends counts against all parts in use there. The caller must hold the
// lock.
func (c *CrashTracker) logLoss(now clock.Stamp, l crash.Loss, target, from string) {
	wait, losses := c.quarantineOf(l.Fingerprint).Check(now, l.Fingerprint)
	if crash.IsPart(l.Fingerprint) && losses < 2 {
		return
	}
	c.Log.Emit(event.CrashNoted,
		event.Uint("content", l.Fingerprint), event.Str("target", target), event.Str("from", from),
		event.Int("events", int64(l.Events)), event.Dur("age", now.Sub(l.At)), event.Bool("cleared", l.Cleared),
		event.Int("losses", int64(losses)), event.Dur("refused", wait), event.Bool("part", crash.IsPart(l.Fingerprint)))
}

// Merge merges a peer's report and returns the entries that changed the state. If a peer reports
// that a target ended, all runs that broke off at that target count as losses.
func (c *CrashTracker) Merge(now clock.Stamp, list []share.Crash) []share.Crash {
	c.mu.Lock()
	var changed, confirmed, cleared []share.Crash
	for _, x := range list {
		l := crash.Loss{
			Fingerprint: x.Fingerprint, Target: x.Target, Events: x.Events,
			At: now.Add(-time.Duration(x.Age) * time.Millisecond), Cleared: x.Cleared,
		}
		if !l.Cleared && c.isSound(now, l.Fingerprint) {
			l.Cleared, x.Cleared = true, true
			cleared = append(cleared, toReport(now, l))
		}
		if c.quarantineOf(l.Fingerprint).Add(now, l) {
			c.logLoss(now, l, fmt.Sprintf("%08x", x.Target), "peer")
			c.Meters.CrashAge.Observe(now.Sub(l.At))
			changed = append(changed, x)
		}
		if t := c.targets[x.Target]; t != nil && !t.hasEnded(now) {
			confirmed = append(confirmed, c.confirmEnd(now, t, "peer")...)
		}
	}
	c.queueReports(cleared)
	c.mu.Unlock()
	c.announce(confirmed)
	return changed
}

// TakeReports returns the losses recorded since the last call, and clears them.
func (c *CrashTracker) TakeReports() []share.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.pendingReports
	c.pendingReports = nil
	return list
}

// isSound reports whether a part was served so recently that a loss is attributed to another cause.
// The caller must hold the lock.
func (c *CrashTracker) isSound(now clock.Stamp, fingerprint uint64) bool {
	return crash.IsPart(fingerprint) && c.served.contains(now, fingerprint)
}

// Losses returns the uncleared losses of all refused contents and parts, to be sent to an entry that has just
// started.
func (c *CrashTracker) Losses(now clock.Stamp) []share.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []share.Crash
	for _, l := range append(c.parts.Losses(), c.contents.Losses()...) {
		list = append(list, toReport(now, l))
	}
	return list
}

// queueReports queues losses for the next round of reports. The caller must hold the lock.
func (c *CrashTracker) queueReports(list []share.Crash) {
	c.pendingReports = append(c.pendingReports, list[:min(len(list), maxPendingReports-len(c.pendingReports))]...)
}

// announce reports losses immediately. The caller must not hold the lock.
func (c *CrashTracker) announce(list []share.Crash) {
	if c.OnLoss != nil && len(list) > 0 {
		c.OnLoss(list)
	}
}

// toReport converts a loss to the form in which it is sent to peers.
func toReport(now clock.Stamp, l crash.Loss) share.Crash {
	return share.Crash{
		Target: l.Target, Fingerprint: l.Fingerprint, Events: l.Events, Cleared: l.Cleared,
		Age: uint32(max(now.Sub(l.At), 0).Milliseconds()),
	}
}
