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

// maxPendingReports bounds what waits to be reported.
const maxPendingReports = 1024

// CrashTracker finds contents that end targets. Without agents nobody sees a target end: a
// connection that breaks raises a suspicion, whatever of the answer had come, and what proves it is
// that the target refuses a connection, that the list of targets no longer has it, or a peer's
// report. It is safe for concurrent use. Set the fields before use.
type CrashTracker struct {
	// Log receives a line for each loss; nil for none.
	Log *event.Log
	// Meters counts losses.
	Meters *meter.Relay
	// OnLoss is called with losses that the peers have to know; nil for never.
	OnLoss func(list []share.Crash)

	mu             sync.Mutex
	quarantine     crash.Quarantine
	targets        map[uint32]*brokenTarget
	lastExpired    clock.Stamp
	pendingReports []share.Crash
}

// Admit says whether a content may be sent to a target, or how long it is refused. With trial
// the caller has to call Release.
func (c *CrashTracker) Admit(now clock.Stamp, content uint64) (wait time.Duration, trial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Admit(now, content)
}

// RemainingWait is how long a content is refused from now on.
func (c *CrashTracker) RemainingWait(now clock.Stamp, content uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait, _ := c.quarantine.Check(now, content)
	return wait
}

// EndTrial ends a trial.
func (c *CrashTracker) EndTrial(content uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.EndTrial(content)
}

// RecordServed clears a content: it ran to its end.
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

// logLoss logs a loss, with what it makes of the content. The caller holds the lock.
func (c *CrashTracker) logLoss(now clock.Stamp, l crash.Loss, target, from string) {
	wait, losses := c.quarantine.Check(now, l.Fingerprint)
	c.Log.Emit(event.CrashNoted,
		event.Uint("content", l.Fingerprint), event.Str("target", target), event.Str("from", from),
		event.Int("events", int64(l.Events)), event.Dur("age", now.Sub(l.At)), event.Bool("cleared", l.Cleared),
		event.Int("losses", int64(losses)), event.Dur("refused", wait))
}

// Merge takes a peer's report, and returns what of it is news. That a target ended while it ran
// one content proves it for all that broke off there.
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

// TakeReports returns the losses since the last call.
func (c *CrashTracker) TakeReports() []share.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.pendingReports
	c.pendingReports = nil
	return list
}

// Losses returns the losses of contents that were refused, for an entry that has just started.
func (c *CrashTracker) Losses(now clock.Stamp) []share.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []share.Crash
	for _, l := range c.quarantine.Losses() {
		list = append(list, toReport(now, l))
	}
	return list
}

// queueReports keeps losses for the next round of reports. The caller holds the lock.
func (c *CrashTracker) queueReports(list []share.Crash) {
	c.pendingReports = append(c.pendingReports, list[:min(len(list), maxPendingReports-len(c.pendingReports))]...)
}

// announce reports losses at once. The caller does not hold the lock.
func (c *CrashTracker) announce(list []share.Crash) {
	if c.OnLoss != nil && len(list) > 0 {
		c.OnLoss(list)
	}
}

// toReport is a loss as peers get it.
func toReport(now clock.Stamp, l crash.Loss) share.Crash {
	return share.Crash{
		Target: l.Target, Fingerprint: l.Fingerprint, Events: l.Events, Cleared: l.Cleared,
		Age: uint32(max(now.Sub(l.At), 0).Milliseconds()),
	}
}
