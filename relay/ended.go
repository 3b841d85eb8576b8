package relay

import (
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// proofTimeout is how long a request waits for the proof of whether its target has ended before it goes
	// on. A host that is there answers within a few milliseconds.
	proofTimeout = 50 * time.Millisecond
	// breakTTL is how long a broken connection may wait for the proof that its target has
	// ended: longer than it takes the list of targets to lose one.
	breakTTL = 6 * time.Second
	// abandonedBreakTTL is the same for a run whose caller has left: a target may work on it for a while.
	abandonedBreakTTL = time.Second
	// expireInterval is how often what is old is looked for.
	expireInterval = time.Second
	// endedTTL is for how long a target that was proven to have ended needs no further proof: its
	// connections break one after the other.
	endedTTL = 2 * time.Second
)

// brokenTarget is a target that did not finish all its runs of late.
type brokenTarget struct {
	key  uint32
	id   string
	born int64
	// usedAt is when it was last asked for, and endedAt when it was last proven to have ended;
	// 0 for never.
	usedAt, endedAt clock.Stamp
	// breaks are its runs that wait for proof.
	breaks []brokenRun
	// probeDone is closed once the present probe has an answer; nil without one.
	probeDone chan struct{}
}

// hasEnded reports whether the target was proven to have ended a moment ago.
func (x *brokenTarget) hasEnded(now clock.Stamp) bool {
	return x.endedAt != 0 && now.Sub(x.endedAt) <= endedTTL
}

// brokenRun is a run that was not finished.
type brokenRun struct {
	content uint64
	events  uint16
	at      clock.Stamp
	// ttl is how long it waits for proof.
	ttl time.Duration
}

// UnfinishedRun is a run that ended without a whole answer.
type UnfinishedRun struct {
	Target  *roster.Target
	Content uint64
	// Events is how many events of the answer had come.
	Events int64
	// CallerLeft says that its caller has left.
	CallerLeft bool
}

func (u UnfinishedRun) toBrokenRun(now clock.Stamp) brokenRun {
	b := brokenRun{content: u.Content, events: uint16(min(u.Events, 1<<16-1)), at: now, ttl: breakTTL}
	if u.CallerLeft {
		b.ttl = abandonedBreakTTL
	}
	return b
}

// RecordBroken takes note of a connection that broke while a target ran a content, and finds out
// whether the target has ended. The channel is closed once that is known, or can't be found out.
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
	if x.probeDone == nil {
		x.probeDone = make(chan struct{})
		go (&probe{crashes: c, pool: pool, target: x, address: u.Target.Address, done: x.probeDone}).run()
	}
	return x.probeDone
}

// RecordAbandoned takes note of a run that was given up, as its caller has left or its target did not answer.
// The target may still end by it.
func (c *CrashTracker) RecordAbandoned(now clock.Stamp, u UnfinishedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.targetFor(now, u.Target)
	x.breaks = append(x.breaks, u.toBrokenRun(now))
}

// RecordConnRefused takes note of a target that refuses connections: it has ended, also for the peers, which
// may know what it ran.
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

// closedChan is closed.
var closedChan = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// targetFor returns what is known of a target. The caller holds the lock.
func (c *CrashTracker) targetFor(now clock.Stamp, t *roster.Target) *brokenTarget {
	c.expire(now)
	key := board.CacheKey(&t.Instance)
	x := c.targets[key]
	if x == nil {
		x = &brokenTarget{key: key, id: t.ID, born: t.StartedMs}
		if c.targets == nil {
			c.targets = make(map[uint32]*brokenTarget)
		}
		c.targets[key] = x
	}
	x.usedAt = now
	return x
}

// expire forgets what is old. The caller holds the lock.
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

// expire forgets runs that have waited for too long.
func (x *brokenTarget) expire(now clock.Stamp) {
	x.breaks = slices.DeleteFunc(x.breaks, func(b brokenRun) bool { return now.Sub(b.at) > b.ttl })
}

// confirmEnd turns the breaks of a target that has ended into losses, and returns those that are
// news, to be announced. The caller holds the lock.
func (c *CrashTracker) confirmEnd(now clock.Stamp, x *brokenTarget, proof string) []share.Crash {
	first := !x.hasEnded(now)
	if first {
		x.endedAt = now
	}
	x.expire(now)
	var list []share.Crash
	for _, b := range x.breaks {
		l := crash.Loss{Fingerprint: b.content, Target: x.key, Events: b.events, At: b.at}
		if c.quarantine.Add(now, l) {
			c.logLoss(now, l, x.id, "own")
			list = append(list, toReport(now, l))
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

// Reconcile looks for targets that are no longer listed, or listed with a later start, after
// connections to them broke.
func (c *CrashTracker) Reconcile(now clock.Stamp, v *roster.View) {
	c.mu.Lock()
	var list []share.Crash
	for _, x := range c.targets {
		t := v.ByID[x.id]
		if x.hasEnded(now) || len(x.breaks) == 0 || t != nil && t.StartedMs == x.born {
			continue
		}
		list = append(list, c.confirmEnd(now, x, "list")...)
	}
	c.mu.Unlock()
	c.announce(list)
}

// probe finds out whether a target whose connection broke has ended.
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

// applyResult takes the answer. The breaks of a target that lives wait on: it may have started again
// within moments, which the list of targets shows.
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
