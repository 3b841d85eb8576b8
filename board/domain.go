package board

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// silentLeast is how many targets of a failure domain fall silent before it counts as
	// silent itself: one may have died alone.
	silentLeast = 2
	// silentWithin is the time within which they do: as long as two tries in a row take
	// to find out.
	silentWithin = 1500 * time.Millisecond
	// probeTime is how long the one request that finds out whether a domain is back may
	// take, until the next one is sent: a connection that can't be opened is given up
	// sooner.
	probeTime = 500 * time.Millisecond
	// probeSpread is the time over which entries of a failure domain look again, one after the
	// other.
	probeSpread = 2 * time.Second
	// timeoutTime is how long a connection that can't be opened takes: an answer since it was
	// begun shows that the target is gone, not its domain.
	timeoutTime = 400 * time.Millisecond
)

// domain is what is known of the way to a failure domain.
//
// The fault it answers: a domain is cut off or without power, and its targets answer
// nothing. Found out one by one, each costs a request the time in which a connection is
// given up, again and again for as long as the domain is away. Where several fall silent
// and none answers, the others are left alone too, but for one request at a time. In a
// large fleet an entry sends too little to find out by itself: it goes by what the
// entries of its own failure domain see as well, whose way is the same.
type domain struct {
	// silent gives when each target fell silent, since the last answer of any.
	silent map[uint32]clock.Stamp
	until  clock.Stamp
	pause  time.Duration
	// probing says that a request is on its way that finds out whether it is back.
	probing bool
	// answeredAt is when a target there last answered this entry or a near one.
	answeredAt clock.Stamp
	// answeredHere is when one last answered this entry.
	answeredHere clock.Stamp
	// near is what other entries of the own failure domain saw last.
	near map[netip.AddrPort]timeouts
}

// timeouts is what one entry saw of a domain that does not answer it.
type timeouts struct {
	last    clock.Stamp
	targets int
}

// isUnreachable says that the domain gets no requests now.
func (d *domain) isUnreachable(now clock.Stamp) bool { return d != nil && now < d.until }

// recordTimeout notes that a target did not answer.
func (d *domain) recordTimeout(now clock.Stamp, key uint32) {
	d.forget(now)
	d.silent[key] = now
	lost := len(d.silent) >= silentLeast || d.silentForAll() && !d.answered()
	if d.pause == 0 && !lost || d.pause > 0 && !d.probing {
		return
	}
	d.probing = false
	d.leaveAlone(now, min(max(2*d.pause, downLeast), downMost))
}

// forget drops what was seen too long ago.
func (d *domain) forget(now clock.Stamp) {
	for k, at := range d.silent {
		if now.Sub(at) > silentWithin {
			delete(d.silent, k)
		}
	}
	for from, t := range d.near {
		if now.Sub(t.last) > silentWithin {
			delete(d.near, from)
		}
	}
}

func (d *domain) leaveAlone(now clock.Stamp, pause time.Duration) {
	d.pause = pause
	d.until = max(d.until, now.Add(pause))
}

// recordResponse notes that a target answered, whatever it said.
func (d *domain) recordResponse(now clock.Stamp) {
	clear(d.silent)
	clear(d.near)
	d.answeredAt = max(d.answeredAt, now)
	d.until, d.pause, d.probing = 0, 0, false
}

// recordAnswer notes an answer to this entry.
func (d *domain) recordAnswer(now clock.Stamp) {
	d.answeredHere = now
	d.recordResponse(now)
}

// merge takes what a near entry has seen.
func (d *domain) merge(now clock.Stamp, from netip.AddrPort, r share.DomainHealth, wait time.Duration) {
	if r.AnsweredAgo >= 0 {
		d.answeredAt = max(d.answeredAt, ago(now, r.AnsweredAgo))
		if d.answered() {
			d.recordResponse(d.answeredAt)
		}
	}
	if r.TimedOutAgo >= 0 {
		d.near[from] = timeouts{ago(now, r.TimedOutAgo), int(r.TimedOutTargets)}
	}
	d.forget(now)
	if !d.answered() && (r.Avoided || d.silentForAll()) {
		d.leaveToOthers(now, wait)
	}
}

// answered reports whether a target has answered since the last request to one that did not.
func (d *domain) answered() bool { return d.answeredAt > d.lastTimeout().Add(-timeoutTime) }

// silentForAll reports whether several targets did not answer several of this entry and the
// near ones.
func (d *domain) silentForAll() bool {
	entries, targets := len(d.near), len(d.silent)
	if targets > 0 {
		entries++
	}
	for _, t := range d.near {
		targets += t.targets
	}
	return entries >= silentLeast && targets >= silentLeast
}

// lastTimeout is when a target last did not answer, here or at a near entry.
func (d *domain) lastTimeout() clock.Stamp {
	last := clock.Stamp(0)
	for _, at := range d.silent {
		last = max(last, at)
	}
	for _, t := range d.near {
		last = max(last, t.last)
	}
	return last
}

// leaveToOthers leaves the domain alone for as long as what entries of the own failure domain
// saw counts. They don't all look again at the same moment: wait is this entry's turn.
func (d *domain) leaveToOthers(now clock.Stamp, wait time.Duration) {
	if until := d.lastTimeout().Add(silentWithin + wait); until > now {
		d.pause = max(d.pause, downLeast)
		d.until = max(d.until, until)
	}
}

// start notes a request to the domain: while it is not known to be back, no other
// follows for a while.
func (d *domain) start(now clock.Stamp) {
	if d != nil && d.pause > 0 {
		d.until, d.probing = max(d.until, now.Add(probeTime)), true
	}
}

// report says what this entry has seen of late; false for nothing.
func (d *domain) report(now clock.Stamp, name string) (share.DomainHealth, bool) {
	d.forget(now)
	r := share.DomainHealth{
		Name: DomainKey(name), AnsweredAgo: age(now, d.answeredHere), TimedOutAgo: -1,
		TimedOutTargets: uint8(min(len(d.silent), math.MaxUint8)), Avoided: d.pause > 0,
	}
	if r.Avoided || r.TimedOutTargets > 0 {
		r.TimedOutAgo = age(now, d.lastTimeout())
	}
	return r, r.AnsweredAgo >= 0 || r.TimedOutAgo >= 0
}

// age is how long ago something was, in milliseconds; -1 for too long.
func age(now, at clock.Stamp) int16 {
	if at == 0 || now.Sub(at) > silentWithin {
		return -1
	}
	return int16(now.Sub(at).Milliseconds())
}

// ago is the inverse of age.
func ago(now clock.Stamp, ms int16) clock.Stamp {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// DomainKey names a failure domain in datagrams.
func DomainKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// domainOf returns what is known of a failure domain.
func (b *Board) domainOf(name string) *domain {
	d := b.domains[name]
	if d == nil {
		d = &domain{silent: make(map[uint32]clock.Stamp), near: make(map[netip.AddrPort]timeouts)}
		b.domains[name] = d
	}
	return d
}

// reach notes what the end of a request says of the way to a domain.
func (b *Board) reach(now clock.Stamp, name string, key uint32, o Outcome) {
	switch o {
	case Unreached:
		b.domainOf(name).recordTimeout(now, key)
	case Served, Failed, Refused, Replaced, Closed:
		b.domainOf(name).recordAnswer(now)
	case Silent, Canceled: // a connection that broke says nothing of the way there
	}
}

// Domains lists what this entry has seen of failure domains of late, for the peers.
func (b *Board) Domains(now clock.Stamp) []share.DomainHealth {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []share.DomainHealth
	for name, d := range b.domains {
		if r, ok := d.report(now, name); ok {
			list = append(list, r)
		}
	}
	return list
}

// mergeDomains takes what another entry of the own failure domain has seen.
func (b *Board) mergeDomains(now clock.Stamp, from netip.AddrPort, list []share.DomainHealth) {
	for _, r := range list {
		for name, d := range b.domains {
			if DomainKey(name) == r.Name {
				d.merge(now, from, r, b.probeWait(name, d))
			}
		}
	}
}

// probeWait is this entry's turn among the near ones to find out whether a domain is back; it
// changes with each time that one finds out that it is not.
func (b *Board) probeWait(name string, d *domain) time.Duration {
	round := d.lastTimeout() / clock.Stamp(time.Second)
	h := xxhash.Sum64String(fmt.Sprintf("%s %s %d", b.Self, name, round))
	return time.Duration(h % uint64(probeSpread))
}
