package relay

import (
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// proofTimeout is how long a request waits for the probe of its target before it continues. A
	// host that is up answers within a few milliseconds.
	proofTimeout = 50 * time.Millisecond
	// breakTTL is how long a broken run is kept while the end of its target is not confirmed. It is
	// longer than the list of targets takes to drop a target.
	breakTTL = 6 * time.Second
	// abandonedBreakTTL is the same for a run whose caller has left: the target can continue to run
	// it for a while and still end.
	abandonedBreakTTL = time.Second
	// expireInterval is the minimum interval between two scans for expired entries.
	expireInterval = time.Second
	// endedTTL is how long a target that has ended needs no further confirmation, as its
	// connections break one after the other.
	endedTTL = 2 * time.Second
)

// brokenTarget is a target with runs that recently ended without a complete answer.
type brokenTarget struct {
	key       uint32
	id        string
	startedMs int64
	// usedAt is the time of the last access, and endedAt the time at which the end of the target
	// was last confirmed; 0 means never.
	usedAt, endedAt clock.Stamp
	// breaks are the broken runs for which the end of the target is not confirmed.
	breaks []brokenRun
	// probeDone is closed when the probe in progress has a result; nil if there is none.
	probeDone chan struct{}
}

// hasEnded reports whether the end of the target was confirmed within endedTTL.
func (x *brokenTarget) hasEnded(now clock.Stamp) bool {
	return x.endedAt != 0 && now.Sub(x.endedAt) <= endedTTL
}

// brokenRun is a run that ended without a complete answer.
type brokenRun struct {
	// suspects are the fingerprints of the content and of the parts of the prompt.
	suspects []uint64
	events   uint16
	at       clock.Stamp
	// ttl is how long the run is kept without confirmation.
	ttl time.Duration
}

// UnfinishedRun describes a run that ended without a complete answer.
type UnfinishedRun struct {
	Target *roster.Target
	// Suspects are the fingerprints of the content and of the parts of the prompt.
	Suspects []uint64
	// Events is the number of events of the answer that were received.
	Events int64
	// CallerLeft reports whether the caller has left.
	CallerLeft bool
}

func (u UnfinishedRun) toBrokenRun(now clock.Stamp) brokenRun {
	b := brokenRun{suspects: u.Suspects, events: uint16(min(u.Events, 1<<16-1)), at: now, ttl: breakTTL}
	if u.CallerLeft {
		b.ttl = abandonedBreakTTL
	}
	return b
}

// RecordBroken records that a connection broke while the target was running a content, and probes
// whether the target has ended. The returned channel is closed when the probe has finished, with or
// without a result.
func (c *CrashTracker) RecordBroken(now clock.Stamp, pool *link.Pool, u UnfinishedRun) <-chan struct{} {
	c.mu.Lock()
	x := c.targetFor(now, u.Target)
	x.breaks = append(x.breaks, u.toBrokenRun(now))
	if x.hasEnded(now) {
		list := c.confirmEnd(now, x, "known")
		c.mu.Unlock()
		c.announce(list)
		return closedChan
	}
	defer c.mu.Unlock()
	if c.Pauses.State(now, pause.InstanceOf(&u.Target.Instance)).Blocked() {
		return closedChan // the list of targets will show whether it has ended
	}
	if x.probeDone == nil {
		x.probeDone = make(chan struct{})
		go (&probe{crashes: c, pool: pool, target: x, address: u.Target.Address, done: x.probeDone}).run()
	}
	return x.probeDone
}

// RecordAbandoned records a run that was given up because its caller left or its target did not
// answer. The content can still end the target later.
func (c *CrashTracker) RecordAbandoned(now clock.Stamp, u UnfinishedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.targetFor(now, u.Target)
	x.breaks = append(x.breaks, u.toBrokenRun(now))
}

// RecordConnRefused records that a target refuses connections, which confirms that it has ended.
// The end is also reported to the peers, which may have runs on the same target.
func (c *CrashTracker) RecordConnRefused(now clock.Stamp, t *roster.Target) {
	c.mu.Lock()
	x := c.targetFor(now, t)
	var list []share.Crash
	if !x.hasEnded(now) {
		list = append(c.confirmEnd(now, x, "refused"), share.Crash{Target: x.key})
	}
	c.mu.Unlock()
	c.announce(list)
}

// HasEnded reports whether the end of a target was confirmed recently.
func (c *CrashTracker) HasEnded(now clock.Stamp, t *roster.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.targets[board.CacheKey(&t.Instance)]
	return x != nil && x.hasEnded(now)
}

// closedChan is a closed channel.
var closedChan = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// targetFor returns the record of a target and creates it if necessary. The caller must hold the
// lock.
func (c *CrashTracker) targetFor(now clock.Stamp, t *roster.Target) *brokenTarget {
	c.expire(now)
	key := board.CacheKey(&t.Instance)
	x := c.targets[key]
	if x == nil {
		x = &brokenTarget{key: key, id: t.ID, startedMs: t.StartedMs}
		if c.targets == nil {
			c.targets = make(map[uint32]*brokenTarget)
		}
		c.targets[key] = x
	}
	x.usedAt = now
	return x
}

// expire removes targets and runs whose TTL has passed. The caller must hold the lock.
func (c *CrashTracker) expire(now clock.Stamp) {
	if now.Sub(c.lastExpired) < expireInterval {
		return
	}
	c.lastExpired = now
	for key, x := range c.targets {
		if now.Sub(x.usedAt) > breakTTL {
			delete(c.targets, key)
			continue
		}
		x.expire(now)
	}
}

// expire removes the runs that were not confirmed within their TTL.
func (x *brokenTarget) expire(now clock.Stamp) {
	x.breaks = slices.DeleteFunc(x.breaks, func(b brokenRun) bool { return now.Sub(b.at) > b.ttl })
}

// confirmEnd converts the broken runs of a target that has ended into losses, and returns the new
// ones for the caller to announce. The caller must hold the lock.
func (c *CrashTracker) confirmEnd(now clock.Stamp, x *brokenTarget, proof string) []share.Crash {
	first := !x.hasEnded(now)
	if first {
		x.endedAt = now
	}
	x.expire(now)
	var list []share.Crash
	for _, b := range x.breaks {
		for _, f := range b.suspects {
			l := crash.Loss{Fingerprint: f, Target: x.key, Events: b.events, At: b.at}
			if !c.isSound(now, f) && c.quarantineOf(f).Add(now, l) {
				c.logLoss(now, l, x.id, "own")
				list = append(list, toReport(now, l))
			}
		}
	}
	if first && len(x.breaks) > 0 {
		c.Meters.TargetsEnded.Add(1, proof)
		c.Log.Emit(event.TargetEnded, event.Str("target", x.id), event.Str("proof", proof),
			event.Int("contents", int64(len(x.breaks))), event.Dur("after", now.Sub(x.breaks[0].at)))
	}
	x.breaks = nil
	c.queueReports(list)
	return list
}

// Reconcile compares the targets with broken runs with the list of targets. A target that is no
// longer listed, or that is listed with a different start time, has ended.
func (c *CrashTracker) Reconcile(now clock.Stamp, v *roster.View) {
	c.mu.Lock()
	var list []share.Crash
	for _, x := range c.targets {
		t := v.ByID[x.id]
		if x.hasEnded(now) || len(x.breaks) == 0 || t != nil && t.StartedMs == x.startedMs {
			continue
		}
		list = append(list, c.confirmEnd(now, x, "list")...)
	}
	c.mu.Unlock()
	c.announce(list)
}

// probe checks whether a target has ended after a connection to it broke.
type probe struct {
	crashes *CrashTracker
	pool    *link.Pool
	target  *brokenTarget
	address string
	done    chan struct{}
}

func (p *probe) run() {
	state := p.pool.Probe(p.address)
	p.crashes.announce(p.applyResult(state))
	close(p.done)
}

// applyResult applies the result of the probe. If the target is alive, its broken runs are kept: it
// may have restarted within moments, which only the list of targets shows.
func (p *probe) applyResult(state link.ProbeResult) []share.Crash {
	c := p.crashes
	c.mu.Lock()
	defer c.mu.Unlock()
	p.target.probeDone = nil
	switch state {
	case link.Refused:
		return c.confirmEnd(clock.Now(), p.target, "refused")
	case link.Alive:
		c.Log.Emit(event.TargetLives, event.Str("target", p.target.id), event.Int("contents", int64(len(p.target.breaks))))
	}
	return nil
}
