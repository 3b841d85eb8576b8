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
	// minTimedOut is how many targets of a failure domain fall silent before it counts as
	// silent itself: one may have died alone.
	minTimedOut = 2
	// timeoutWindow is the time within which they do: as long as two tries in a row take
	// to find out.
	timeoutWindow = 1500 * time.Millisecond
	// probeTimeout is how long the one request that finds out whether a domain is back may
	// take, until the next one is sent: a connection that can't be opened is given up
	// sooner.
	probeTimeout = 500 * time.Millisecond
	// probeSpread is the time over which entries of a failure domain look again, one after the
	// other.
	probeSpread = 2 * time.Second
	// dialTimeout is how long a connection that can't be opened takes: an answer since it was
	// begun shows that the target is gone, not its domain.
	dialTimeout = 400 * time.Millisecond
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
	// timedOut gives when each target fell silent, since the last answer of any.
	timedOut  map[uint32]clock.Stamp
	downUntil clock.Stamp
	backoff   time.Duration
	// probing says that a request is on its way that finds out whether it is back.
	probing bool
	// answeredAt is when a target there last answered this entry or a near one.
	answeredAt clock.Stamp
	// answeredLocally is when one last answered this entry.
	answeredLocally clock.Stamp
	// peerTimeouts is what other entries of the own failure domain saw last.
	peerTimeouts map[netip.AddrPort]timeouts
}

// timeouts is what one entry saw of a domain that does not answer it.
type timeouts struct {
	last    clock.Stamp
	targets int
}

// isUnreachable says that the domain gets no requests now.
func (d *domain) isUnreachable(now clock.Stamp) bool { return d != nil && now < d.downUntil }

// recordTimeout notes that a target did not answer.
func (d *domain) recordTimeout(now clock.Stamp, key uint32) {
	d.expire(now)
	d.timedOut[key] = now
	unreachable := len(d.timedOut) >= minTimedOut || d.hasTimedOutForAll() && !d.hasAnswered()
	if d.backoff == 0 && !unreachable || d.backoff > 0 && !d.probing {
		return
	}
	d.probing = false
	d.markUnreachable(now, min(max(2*d.backoff, minDownTime), maxDownTime))
}

// expire drops what was seen too long ago.
func (d *domain) expire(now clock.Stamp) {
	for k, at := range d.timedOut {
		if now.Sub(at) > timeoutWindow {
			delete(d.timedOut, k)
		}
	}
	for from, t := range d.peerTimeouts {
		if now.Sub(t.last) > timeoutWindow {
			delete(d.peerTimeouts, from)
		}
	}
}

func (d *domain) markUnreachable(now clock.Stamp, backoff time.Duration) {
	d.backoff = backoff
	d.downUntil = max(d.downUntil, now.Add(backoff))
}

// recordResponse notes that a target answered, whatever it said.
func (d *domain) recordResponse(now clock.Stamp) {
	clear(d.timedOut)
	clear(d.peerTimeouts)
	d.answeredAt = max(d.answeredAt, now)
	d.downUntil, d.backoff, d.probing = 0, 0, false
}

// recordAnswer notes an answer to this entry.
func (d *domain) recordAnswer(now clock.Stamp) {
	d.answeredLocally = now
	d.recordResponse(now)
}

// merge takes what a near entry has seen.
func (d *domain) merge(now clock.Stamp, from netip.AddrPort, r share.DomainHealth, probeDelay time.Duration) {
	if r.AnsweredAgo >= 0 {
		d.answeredAt = max(d.answeredAt, stampFromAge(now, r.AnsweredAgo))
		if d.hasAnswered() {
			d.recordResponse(d.answeredAt)
		}
	}
	if r.TimedOutAgo >= 0 {
		d.peerTimeouts[from] = timeouts{stampFromAge(now, r.TimedOutAgo), int(r.TimedOutTargets)}
	}
	d.expire(now)
	if !d.hasAnswered() && (r.Avoided || d.hasTimedOutForAll()) {
		d.deferProbe(now, probeDelay)
	}
}

// hasAnswered reports whether a target has answered since the last request to one that did not.
func (d *domain) hasAnswered() bool { return d.answeredAt > d.lastTimeout().Add(-dialTimeout) }

// hasTimedOutForAll reports whether several targets did not answer several of this entry and the
// near ones.
func (d *domain) hasTimedOutForAll() bool {
	entries, targets := len(d.peerTimeouts), len(d.timedOut)
	if targets > 0 {
		entries++
	}
	for _, t := range d.peerTimeouts {
		targets += t.targets
	}
	return entries >= minTimedOut && targets >= minTimedOut
}

// lastTimeout is when a target last did not answer, here or at a near entry.
func (d *domain) lastTimeout() clock.Stamp {
	last := clock.Stamp(0)
	for _, at := range d.timedOut {
		last = max(last, at)
	}
	for _, t := range d.peerTimeouts {
		last = max(last, t.last)
	}
	return last
}

// deferProbe leaves the domain alone for as long as what entries of the own failure domain
// saw counts. They don't all look again at the same moment: wait is this entry's turn.
func (d *domain) deferProbe(now clock.Stamp, probeDelay time.Duration) {
	if until := d.lastTimeout().Add(timeoutWindow + probeDelay); until > now {
		d.backoff = max(d.backoff, minDownTime)
		d.downUntil = max(d.downUntil, until)
	}
}

// recordStart notes a request to the domain: while it is not known to be back, no other
// follows for a while.
func (d *domain) recordStart(now clock.Stamp) {
	if d != nil && d.backoff > 0 {
		d.downUntil, d.probing = max(d.downUntil, now.Add(probeTimeout)), true
	}
}

// report says what this entry has seen of late; false for nothing.
func (d *domain) report(now clock.Stamp, name string) (share.DomainHealth, bool) {
	d.expire(now)
	r := share.DomainHealth{
		Name: DomainKey(name), AnsweredAgo: ageMillis(now, d.answeredLocally), TimedOutAgo: -1,
		TimedOutTargets: uint8(min(len(d.timedOut), math.MaxUint8)), Avoided: d.backoff > 0,
	}
	if r.Avoided || r.TimedOutTargets > 0 {
		r.TimedOutAgo = ageMillis(now, d.lastTimeout())
	}
	return r, r.AnsweredAgo >= 0 || r.TimedOutAgo >= 0
}

// ageMillis is how long ago something was, in milliseconds; -1 for too long.
func ageMillis(now, at clock.Stamp) int16 {
	if at == 0 || now.Sub(at) > timeoutWindow {
		return -1
	}
	return int16(now.Sub(at).Milliseconds())
}

// stampFromAge is the inverse of age.
func stampFromAge(now clock.Stamp, ms int16) clock.Stamp {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// DomainKey names a failure domain in datagrams.
func DomainKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// domainOf returns what is known of a failure domain.
func (b *Board) domainOf(name string) *domain {
	d := b.domains[name]
	if d == nil {
		d = &domain{timedOut: make(map[uint32]clock.Stamp), peerTimeouts: make(map[netip.AddrPort]timeouts)}
		b.domains[name] = d
	}
	return d
}

// recordDomainOutcome notes what the end of a request says of the way to a domain.
func (b *Board) recordDomainOutcome(now clock.Stamp, name string, key uint32, o Outcome) {
	switch o {
	case Unreachable:
		b.domainOf(name).recordTimeout(now, key)
	case Served, Failed, Refused, Replaced, ConnRefused:
		b.domainOf(name).recordAnswer(now)
	case Broken, Canceled: // a connection that broke says nothing of the way there
	}
}

// DomainReports lists what this entry has seen of failure domains of late, for the peers.
func (b *Board) DomainReports(now clock.Stamp) []share.DomainHealth {
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
				d.merge(now, from, r, b.probeDelay(name, d))
			}
		}
	}
}

// probeDelay is this entry's turn among the near ones to find out whether a domain is back; it
// changes with each time that one finds out that it is not.
func (b *Board) probeDelay(name string, d *domain) time.Duration {
	round := d.lastTimeout() / clock.Stamp(time.Second)
	h := xxhash.Sum64String(fmt.Sprintf("%s %s %d", b.Self, name, round))
	return time.Duration(h % uint64(probeSpread))
}
