package relay

import (
	"fmt"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/share"
)

// maxPendingReports limits the number of losses that wait for the next round of reports.
const maxPendingReports = 1024

// CrashTracker detects contents that end targets, at entries without agents. Without an agent, no
// process observes the end of a target directly: a broken connection raises a suspicion against the
// content, regardless of how much of the answer was received. The end of the target is confirmed if
// the target refuses a connection, if it disappears from the list of targets, or if a peer reports
// it. A CrashTracker is safe for concurrent use. Set the fields before use.
type CrashTracker struct {
	// Log receives an event for each loss; nil disables logging.
	Log *event.Log
	// Meters counts losses.
	Meters *meter.Relay
	// OnLoss is called with losses that must be reported to the peers immediately; it can be nil.
	OnLoss func(list []share.Crash)

	mu             sync.Mutex
	quarantine     crash.Quarantine
	targets        map[uint32]*brokenTarget
	lastExpired    clock.Stamp
	pendingReports []share.Crash
}

// Admit returns how long a content is refused; 0 means that it may be sent to a target now. If
// trial is true, the caller must call EndTrial after the run.
func (c *CrashTracker) Admit(now clock.Stamp, content uint64) (wait time.Duration, trial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Admit(now, content)
}

// RemainingWait returns how long a content is refused from now on.
func (c *CrashTracker) RemainingWait(now clock.Stamp, content uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait, _ := c.quarantine.Check(now, content)
	return wait
}

// EndTrial ends the trial run of a content.
func (c *CrashTracker) EndTrial(content uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.EndTrial(content)
}

// RecordServed clears a content that was served to its end, and reports the cleared losses to the
// peers.
func (c *CrashTracker) RecordServed(now clock.Stamp, content uint64) {
	c.mu.Lock()
	cleared := c.quarantine.RecordServed(content)
	list := make([]share.Crash, 0, len(cleared))
	for _, l := range cleared {
		list = append(list, toReport(now, l))
	}
	c.queueReports(list)
	c.mu.Unlock()
	if len(list) == 0 {
		return
	}
	c.Log.Emit(event.CrashCleared, event.Uint("content", content), event.Int("losses", int64(len(list))))
	c.announce(list)
}

// logLoss logs a loss together with the resulting state of its content. The caller must hold the
// lock.
func (c *CrashTracker) logLoss(now clock.Stamp, l crash.Loss, target, from string) {
	wait, losses := c.quarantine.Check(now, l.Fingerprint)
	c.Log.Emit(event.CrashNoted,
		event.Uint("content", l.Fingerprint), event.Str("target", target), event.Str("from", from),
		event.Int("events", int64(l.Events)), event.Dur("age", now.Sub(l.At)), event.Bool("cleared", l.Cleared),
		event.Int("losses", int64(losses)), event.Dur("refused", wait))
}

// Merge merges a peer's report and returns the entries that changed the state. If a peer reports
// that a target ended, all runs that broke off at that target count as losses.
func (c *CrashTracker) Merge(now clock.Stamp, list []share.Crash) []share.Crash {
	c.mu.Lock()
	var changed, confirmed []share.Crash
	for _, x := range list {
		l := crash.Loss{
			Fingerprint: x.Fingerprint, Target: x.Target, Events: x.Events,
			At: now.Add(-time.Duration(x.Age) * time.Millisecond), Cleared: x.Cleared,
		}
		if c.quarantine.Add(now, l) {
			c.logLoss(now, l, fmt.Sprintf("%08x", x.Target), "peer")
			c.Meters.CrashAge.Observe(now.Sub(l.At))
			changed = append(changed, x)
		}
		if t := c.targets[x.Target]; t != nil && !t.hasEnded(now) {
			confirmed = append(confirmed, c.confirmEnd(now, t, "peer")...)
		}
	}
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

// Losses returns the uncleared losses of all refused contents, to be sent to an entry that has just
// started.
func (c *CrashTracker) Losses(now clock.Stamp) []share.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []share.Crash
	for _, l := range c.quarantine.Losses() {
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
