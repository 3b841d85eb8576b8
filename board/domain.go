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
	// minTimedOut is how many targets of a failure domain must time out before the domain
	// counts as unreachable: a single target can be dead on its own. With
	// reports of peers, it is also the minimum number of entries that had timeouts.
	minTimedOut = 2
	// timeoutWindow is the time within which these timeouts must occur: as long as two
	// consecutive attempts take to fail.
	timeoutWindow = 1500 * time.Millisecond
	// probeTimeout is how long the request that probes an unreachable domain can take before
	// the next one is sent. It is longer than dialTimeout.
	probeTimeout = 500 * time.Millisecond
	// probeSpread is the time over which the entries of a failure domain distribute their
	// probes.
	probeSpread = 2 * time.Second
	// dialTimeout is how long a failed connection attempt takes. An answer of the domain after
	// the attempt began shows that only the target is down.
	dialTimeout = 400 * time.Millisecond
)

// domain tracks whether a failure domain is reachable.
//
// If a domain loses its network or power, none of its targets answers. Detected target by
// target, each of them costs a request its dial timeout, repeatedly for as long as the domain
// is down. If several targets time out and none answers, the domain therefore gets only one
// request at a time. In a large fleet an entry sends too few requests to detect this alone, so
// it also uses the reports of peers in its own failure domain, which use the same network path.
type domain struct {
	// timedOut holds the last timeout of each target since the last answer of any.
	timedOut  map[uint32]clock.Stamp
	downUntil clock.Stamp
	backoff   time.Duration
	// probing is set while a request is in flight that probes whether the domain is reachable
	// again.
	probing bool
	// answeredAt is when a target of the domain last answered this entry or a peer in this
	// entry's own failure domain.
	answeredAt clock.Stamp
	// answeredLocally is when a target of the domain last answered this entry.
	answeredLocally clock.Stamp
	// peerTimeouts is the last timeout report of each peer in this entry's own failure domain.
	peerTimeouts map[netip.AddrPort]timeouts
}

// timeouts is the report of one peer about a domain that does not answer it.
type timeouts struct {
	last    clock.Stamp
	targets int
}

// isUnreachable reports whether the domain gets no requests now.
func (d *domain) isUnreachable(now clock.Stamp) bool { return d != nil && now < d.downUntil }

// recordTimeout records that a target did not answer.
func (d *domain) recordTimeout(now clock.Stamp, key uint32) {
	d.expire(now)
	d.timedOut[key] = now
	unreachable := len(d.timedOut) >= minTimedOut || d.hasTimedOutForSeveral() && !d.hasAnswered()
	if d.backoff == 0 && !unreachable || d.backoff > 0 && !d.probing {
		return
	}
	d.probing = false
	d.markUnreachable(now, min(max(2*d.backoff, minDownTime), maxDownTime))
}

// expire removes timeouts older than timeoutWindow.
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

// recordResponse records that a target answered, with any result.
func (d *domain) recordResponse(now clock.Stamp) {
	clear(d.timedOut)
	clear(d.peerTimeouts)
	d.answeredAt = max(d.answeredAt, now)
	d.downUntil, d.backoff, d.probing = 0, 0, false
}

// recordAnswer records an answer to this entry.
func (d *domain) recordAnswer(now clock.Stamp) {
	d.answeredLocally = now
	d.recordResponse(now)
}

// merge applies a report of a peer in this entry's own failure domain.
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
	if !d.hasAnswered() && (r.Avoided || d.hasTimedOutForSeveral()) {
		d.deferProbe(now, probeDelay)
	}
}

// hasAnswered reports whether a target has answered since the connection attempt of the last
// timeout began.
func (d *domain) hasAnswered() bool { return d.answeredAt > d.lastTimeout().Add(-dialTimeout) }

// hasTimedOutForSeveral reports whether several entries, counting this one and the peers of its
// domain, had timeouts, at several targets in total.
func (d *domain) hasTimedOutForSeveral() bool {
	entries, targets := len(d.peerTimeouts), len(d.timedOut)
	if targets > 0 {
		entries++
	}
	for _, t := range d.peerTimeouts {
		targets += t.targets
	}
	return entries >= minTimedOut && targets >= minTimedOut
}

// lastTimeout returns the time of the last timeout here or at a peer of the own domain.
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

// deferProbe marks the domain down for as long as the timeouts of peers count. probeDelay
// differs by entry, so that entries do not all probe at the same moment.
func (d *domain) deferProbe(now clock.Stamp, probeDelay time.Duration) {
	if until := d.lastTimeout().Add(timeoutWindow + probeDelay); until > now {
		d.backoff = max(d.backoff, minDownTime)
		d.downUntil = max(d.downUntil, until)
	}
}

// recordStart records a request to the domain. While the domain is not known to be reachable,
// this request is the probe and no other is sent for probeTimeout.
func (d *domain) recordStart(now clock.Stamp) {
	if d != nil && d.backoff > 0 {
		d.downUntil, d.probing = max(d.downUntil, now.Add(probeTimeout)), true
	}
}

// report returns this entry's recent observations of the domain; false if there are none.
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

// ageMillis returns the age of a time in milliseconds; -1 if it is zero or older than
// timeoutWindow.
func ageMillis(now, at clock.Stamp) int16 {
	if at == 0 || now.Sub(at) > timeoutWindow {
		return -1
	}
	return int16(now.Sub(at).Milliseconds())
}

// stampFromAge is the inverse of ageMillis.
func stampFromAge(now clock.Stamp, ms int16) clock.Stamp {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// DomainKey returns the key of a failure domain in reports.
func DomainKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// domainOf returns the state of a failure domain, creating it if needed.
func (b *Board) domainOf(name string) *domain {
	d := b.domains[name]
	if d == nil {
		d = &domain{timedOut: make(map[uint32]clock.Stamp), peerTimeouts: make(map[netip.AddrPort]timeouts)}
		b.domains[name] = d
	}
	return d
}

// recordDomainOutcome updates the reachability of a domain from the outcome of a request.
func (b *Board) recordDomainOutcome(now clock.Stamp, name string, key uint32, o Outcome) {
	switch o {
	case Unreachable:
		b.domainOf(name).recordTimeout(now, key)
	case Served, Failed, Refused, Paused, Replaced, ConnRefused:
		b.domainOf(name).recordAnswer(now)
	case Broken, Canceled, Outraced, Unsent: // a broken connection is no evidence about reachability
	}
}

// DomainReports returns this entry's recent observations of failure domains, for its peers.
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

// mergeDomains applies the reports of a peer in this entry's own failure domain.
func (b *Board) mergeDomains(now clock.Stamp, from netip.AddrPort, list []share.DomainHealth) {
	for _, r := range list {
		for name, d := range b.domains {
			if DomainKey(name) == r.Name {
				d.merge(now, from, r, b.probeDelay(name, d))
			}
		}
	}
}

// probeDelay returns this entry's delay within probeSpread before it probes a domain. It
// changes with the time of the last timeout, so that the first entry to probe varies.
func (b *Board) probeDelay(name string, d *domain) time.Duration {
	round := d.lastTimeout() / clock.Stamp(time.Second)
	h := xxhash.Sum64String(fmt.Sprintf("%s %s %d", b.Self, name, round))
	return time.Duration(h % uint64(probeSpread))
}
