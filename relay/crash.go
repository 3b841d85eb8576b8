package relay

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// provenWait is how long a request waits for the proof of whether its target has ended before it goes
	// on. A host that is there answers within a few milliseconds.
	provenWait = 50 * time.Millisecond
	// breakKeep is how long a broken connection may wait for the proof that its target has
	// ended: longer than it takes the list of targets to lose one.
	breakKeep = 6 * time.Second
	// leftKeep is the same for a run whose caller has left: a target may work on it for a while.
	leftKeep = time.Second
	// expireEvery is how often what is old is looked for.
	expireEvery = time.Second
	// endKeep is how long it is remembered that a target has ended.
	endKeep = 30 * time.Second
	// newsMost bounds what waits to be reported.
	newsMost = 1024
)

// Crashes finds contents that end targets. Without agents nobody sees a target end: a
// connection that breaks raises a suspicion, whatever of the answer had come, and what proves it is
// that the target refuses a connection, that the list of targets no longer has it, or a peer's
// report. It is safe for concurrent use. Set the fields before use.
type Crashes struct {
	// Log receives a line for each loss; nil for none.
	Log *event.Log
	// Meters counts losses.
	Meters *meter.Relay
	// OnLoss is called with losses that the peers have to know; nil for never.
	OnLoss func(list []share.Crash)

	mu         sync.Mutex
	quarantine crash.Quarantine
	targets    map[uint32]*brokenTarget
	expiredAt  clock.Stamp
	news       []share.Crash
}

// brokenTarget is a target that did not finish all its runs of late.
type brokenTarget struct {
	key   uint32
	id    string
	born  int64
	at    clock.Stamp
	ended bool
	// breaks are its runs that wait for proof.
	breaks []contentBreak
	// proven is closed once the present probe has an answer; nil without one.
	proven chan struct{}
}

// contentBreak is a run that was not finished.
type contentBreak struct {
	content uint64
	events  uint16
	at      clock.Stamp
	// keep is how long it waits for proof.
	keep time.Duration
}

// Unfinished is a run that ended without a whole answer.
type Unfinished struct {
	Target  *roster.Target
	Content uint64
	// Events is how many events of the answer had come.
	Events int64
	// Left says that its caller has left.
	Left bool
}

func (u Unfinished) at(now clock.Stamp) contentBreak {
	b := contentBreak{content: u.Content, events: uint16(min(u.Events, 1<<16-1)), at: now, keep: breakKeep}
	if u.Left {
		b.keep = leftKeep
	}
	return b
}

// Admit says whether a content may be sent to a target, or how long it is refused. With trial
// the caller has to call Release.
func (c *Crashes) Admit(now clock.Stamp, content uint64) (wait time.Duration, trial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Admit(now, content)
}

// Wait is how long a content is refused from now on.
func (c *Crashes) Wait(now clock.Stamp, content uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait, _ := c.quarantine.Judge(now, content)
	return wait
}

// Release ends a trial.
func (c *Crashes) Release(content uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.Release(content)
}

// Served clears a content: it ran to its end.
func (c *Crashes) Served(now clock.Stamp, content uint64) {
	c.mu.Lock()
	cleared := c.quarantine.Served(content)
	list := make([]share.Crash, 0, len(cleared))
	for _, l := range cleared {
		list = append(list, report(now, l))
	}
	c.addNews(list)
	c.mu.Unlock()
	if len(list) == 0 {
		return
	}
	c.Log.Emit(event.CrashCleared, event.Uint("content", content), event.Int("losses", int64(len(list))))
	c.announce(list)
}

// Broken takes note of a connection that broke while a target ran a content, and finds out
// whether the target has ended. The channel is closed once that is known, or can't be found out.
func (c *Crashes) Broken(now clock.Stamp, pool *link.Pool, u Unfinished) <-chan struct{} {
	c.mu.Lock()
	x := c.target(now, u.Target)
	x.breaks = append(x.breaks, u.at(now))
	if x.ended {
		tell := c.settle(now, x, "known")
		c.mu.Unlock()
		tell()
		return closedChan
	}
	defer c.mu.Unlock()
	if x.proven == nil {
		x.proven = make(chan struct{})
		go (&probe{crashes: c, pool: pool, target: x, address: u.Target.Address, proven: x.proven}).run()
	}
	return x.proven
}

// GivenUp takes note of a run that was given up, as its caller has left or its target did not answer.
// The target may still end by it.
func (c *Crashes) GivenUp(now clock.Stamp, u Unfinished) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.target(now, u.Target)
	x.breaks = append(x.breaks, u.at(now))
}

// Refused takes note of a target that refuses connections: it has ended, also for the peers, which
// may know what it ran.
func (c *Crashes) Refused(now clock.Stamp, t *roster.Target) {
	c.mu.Lock()
	x := c.target(now, t)
	known := x.ended
	tell := c.settle(now, x, "refused")
	c.mu.Unlock()
	tell()
	if !known {
		c.announce([]share.Crash{{Target: x.key}})
	}
}

// closedChan is closed.
var closedChan = func() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}()

// target returns what is known of a target. The caller holds the lock.
func (c *Crashes) target(now clock.Stamp, t *roster.Target) *brokenTarget {
	c.expire(now)
	key := board.Key(&t.Instance)
	x := c.targets[key]
	if x == nil {
		x = &brokenTarget{key: key, id: t.ID, born: t.Born}
		if c.targets == nil {
			c.targets = make(map[uint32]*brokenTarget)
		}
		c.targets[key] = x
	}
	x.at = now
	return x
}

// expire forgets what is old. The caller holds the lock.
func (c *Crashes) expire(now clock.Stamp) {
	if now.Sub(c.expiredAt) < expireEvery {
		return
	}
	c.expiredAt = now
	for key, x := range c.targets {
		keep := breakKeep
		if x.ended {
			keep = endKeep
		}
		if now.Sub(x.at) > keep {
			delete(c.targets, key)
			continue
		}
		x.breaks = slices.DeleteFunc(x.breaks, func(b contentBreak) bool { return now.Sub(b.at) > b.keep })
	}
}

// settle turns the breaks of a target that has ended into losses. The caller holds the lock, and
// calls what it returns without it.
func (c *Crashes) settle(now clock.Stamp, x *brokenTarget, proof string) (tell func()) {
	first := !x.ended
	x.ended = true
	x.breaks = slices.DeleteFunc(x.breaks, func(b contentBreak) bool { return now.Sub(b.at) > b.keep })
	var list []share.Crash
	for _, b := range x.breaks {
		l := crash.Loss{Fingerprint: b.content, Target: x.key, Events: b.events, At: b.at}
		if c.quarantine.Add(now, l) {
			c.note(now, l, x.id, "own")
			list = append(list, report(now, l))
		}
	}
	if first && len(x.breaks) > 0 {
		c.Meters.Ended.Add(1, proof)
		c.Log.Emit(event.TargetEnded, event.Str("target", x.id), event.Str("proof", proof),
			event.Int("contents", int64(len(x.breaks))), event.Dur("after", now.Sub(x.breaks[0].at)))
	}
	x.breaks = nil
	c.addNews(list)
	return func() { c.announce(list) }
}

// note logs a loss, with what it makes of the content. The caller holds the lock.
func (c *Crashes) note(now clock.Stamp, l crash.Loss, target, from string) {
	wait, losses := c.quarantine.Judge(now, l.Fingerprint)
	c.Log.Emit(event.CrashNoted,
		event.Uint("content", l.Fingerprint), event.Str("target", target), event.Str("from", from),
		event.Int("events", int64(l.Events)), event.Dur("age", now.Sub(l.At)), event.Bool("cleared", l.Cleared),
		event.Int("losses", int64(losses)), event.Dur("refused", wait))
}

// lives drops the breaks of a target that takes new connections, but for what the list of targets
// may still prove: it may have started again within moments.
func (c *Crashes) lives(x *brokenTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Log.Emit(event.TargetLives, event.Str("target", x.id), event.Int("contents", int64(len(x.breaks))))
}

// Review looks for targets that are no longer listed, or listed with a later start, after
// connections to them broke.
func (c *Crashes) Review(now clock.Stamp, v *roster.View) {
	c.mu.Lock()
	var tells []func()
	for _, x := range c.targets {
		t := v.ByID[x.id]
		if x.ended || len(x.breaks) == 0 || t != nil && t.Born == x.born {
			continue
		}
		tells = append(tells, c.settle(now, x, "list"))
	}
	c.mu.Unlock()
	for _, tell := range tells {
		tell()
	}
}

// Merge takes a peer's report, and returns what of it is news. That a target ended while it ran
// one content proves it for all that broke off there.
func (c *Crashes) Merge(now clock.Stamp, list []share.Crash) []share.Crash {
	c.mu.Lock()
	var changed []share.Crash
	var tells []func()
	for _, x := range list {
		l := crash.Loss{
			Fingerprint: x.Fingerprint, Target: x.Target, Events: x.Events,
			At: now.Add(-time.Duration(x.Age) * time.Millisecond), Cleared: x.Cleared,
		}
		if c.quarantine.Add(now, l) {
			c.note(now, l, fmt.Sprintf("%08x", x.Target), "peer")
			c.Meters.CrashAge.Observe(now.Sub(l.At))
			changed = append(changed, x)
		}
		if t := c.targets[x.Target]; t != nil && !t.ended {
			tells = append(tells, c.settle(now, t, "peer"))
		}
	}
	c.mu.Unlock()
	for _, tell := range tells {
		tell()
	}
	return changed
}

// News returns the losses since the last call.
func (c *Crashes) News() []share.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.news
	c.news = nil
	return list
}

// Losses returns the losses of contents that were refused, for an entry that has just started.
func (c *Crashes) Losses(now clock.Stamp) []share.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []share.Crash
	for _, l := range c.quarantine.Losses() {
		list = append(list, report(now, l))
	}
	return list
}

func (c *Crashes) addNews(list []share.Crash) {
	c.news = append(c.news, list[:min(len(list), newsMost-len(c.news))]...)
}

func (c *Crashes) announce(list []share.Crash) {
	if c.OnLoss != nil && len(list) > 0 {
		c.OnLoss(list)
	}
}

// report is a loss as peers get it.
func report(now clock.Stamp, l crash.Loss) share.Crash {
	return share.Crash{
		Target: l.Target, Fingerprint: l.Fingerprint, Events: l.Events, Cleared: l.Cleared,
		Age: uint32(max(now.Sub(l.At), 0).Milliseconds()),
	}
}

// probe finds out whether a target whose connection broke has ended.
type probe struct {
	crashes *Crashes
	pool    *link.Pool
	target  *brokenTarget
	address string
	proven  chan struct{}
}

func (p *probe) run() {
	state := p.pool.Probe(p.address)
	c := p.crashes
	c.mu.Lock()
	tell := func() {}
	if state == link.Ended {
		tell = c.settle(clock.Now(), p.target, "refused")
	}
	p.target.proven = nil
	c.mu.Unlock()
	tell()
	close(p.proven)
	if state == link.Lives {
		c.lives(p.target)
	}
}
