// Package member holds what one process believes of the fleet's hosts. The
// platform's lists lag and differ between processes for seconds, so a list is
// one piece of evidence among others: refusals, failed calls and answers count
// as well. Beliefs only order what a process tries first; whether a target
// takes work is decided by the agent beside it.
package member

import (
	"slices"
	"sync"
	"time"
)

const (
	// leavingTTL is how long a host counts as leaving after the last word that said
	// so, whatever others say meanwhile. Lists of different processes disagree
	// for seconds; without a hold that outlasts them, work would swing to and
	// from a leaving host with each list. Too long a hold only delays the return
	// of a host that changed its mind.
	leavingTTL = 15 * time.Second
	// minProbeDelay is how long a host that failed is not tried again: longer than
	// a dropped connection takes to be replaced, shorter than a caller's
	// patience.
	minProbeDelay = 500 * time.Millisecond
	// maxProbeDelay bounds the pause between tries: a host that is back serves again
	// within about half a minute, and one that is gone costs an entry two failed
	// calls a minute.
	maxProbeDelay = 30 * time.Second
	// backoffDecayInterval is how long a host must go without failure for its pause to halve. A
	// host that comes and goes faster than that keeps its long pause.
	backoffDecayInterval = 30 * time.Second
	// maxBackoffLevel is where the pause reaches lastPause.
	maxBackoffLevel = 6
	// recordTTL drops what is known of hosts that no list has named and no call has
	// met for so long, so that memory follows the fleet and not its history.
	recordTTL = 10 * time.Minute
	// minListRatio is the share of the known hosts that a list must name. A service
	// that restarts may answer with a list that is empty or half filled; taken
	// at its word it would take the whole fleet out of service. The largest real
	// loss at once is one failure domain of three.
	minListRatio = 0.5
	// shortListTimeout is how long a short list must last before it sets the measure
	// for later ones. Hosts that it left out are not taken to have left even
	// then: more than half of the fleet is not lost without a word.
	shortListTimeout = time.Minute
)

// Host is a line of the platform's list.
type Host struct {
	Name string
	// Leaving says that the host takes no new work.
	Leaving bool
}

// record is what is known of one host.
type record struct {
	listed  bool // named by the last list
	leaving bool // said by the last list
	// leavingAt is the last word that the host leaves.
	leavingAt time.Time
	// seenAt is the last word of any kind.
	seenAt time.Time

	suspect      bool
	backoffLevel int
	failedAt     time.Time
	// nextProbe is when one call may try a suspect host again.
	nextProbe time.Time
}

// Tracker holds the beliefs of one process. Its methods take the time and may be
// called from many goroutines. The zero value knows nothing: all hosts are
// taken to be well.
type Tracker struct {
	mu          sync.Mutex
	hosts       map[string]*record
	lastListLen int // hosts that the last good list named
	shortSince  time.Time
}

func (t *Tracker) recordFor(now time.Time, host string) *record {
	if t.hosts == nil {
		t.hosts = make(map[string]*record)
	}
	r := t.hosts[host]
	if r == nil {
		r = new(record)
		t.hosts[host] = r
	}
	r.seenAt = now
	return r
}

// ApplyList takes the platform's list and returns the hosts whose leaving is news.
// A host that was listed and no longer is has left, unless the list names far
// fewer hosts than the one before: then it says false, and believes only what
// the list says of the hosts that it names.
func (t *Tracker) ApplyList(now time.Time, list []Host) (changed []Host, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok = t.checkListLen(now, len(list))
	named := make(map[string]bool, len(list))
	for _, h := range list {
		named[h.Name] = true
		changed = t.applyHost(now, changed, h, true)
	}
	for name, r := range t.hosts {
		switch {
		case named[name]:
		case r.listed && ok:
			changed = t.applyHost(now, changed, Host{Name: name, Leaving: true}, false)
		case now.Sub(r.seenAt) > recordTTL:
			delete(t.hosts, name)
		}
	}
	return changed, ok
}

// checkListLen says whether a list is long enough to tell that hosts are gone.
func (t *Tracker) checkListLen(now time.Time, n int) bool {
	if float64(n) >= minListRatio*float64(t.lastListLen) {
		t.lastListLen, t.shortSince = n, time.Time{}
		return true
	}
	if t.shortSince.IsZero() {
		t.shortSince = now
	}
	if now.Sub(t.shortSince) >= shortListTimeout {
		t.lastListLen = n
		t.clearListed()
	}
	return false
}

// clearListed forgets which hosts were listed, so that their absence says nothing.
func (t *Tracker) clearListed() {
	for _, r := range t.hosts {
		r.listed = false
	}
}

func (t *Tracker) applyHost(now time.Time, changed []Host, h Host, listed bool) []Host {
	r := t.recordFor(now, h.Name)
	if r.leaving != h.Leaving {
		changed = append(changed, h)
	}
	r.listed, r.leaving = listed, h.Leaving
	if h.Leaving {
		r.leavingAt = now
	}
	return changed
}

// ApplyReport takes another process's word about one host, age old. It returns true
// when it is news worth passing on. Word that a host is live is only believed
// over an older list, never over a word of leaving that is still held.
func (t *Tracker) ApplyReport(now time.Time, h Host, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordFor(now, h.Name)
	reportedAt := now.Add(-age)
	if !h.Leaving {
		changed := r.leaving && reportedAt.Sub(r.leavingAt) > leavingTTL
		if changed {
			r.leaving = false
		}
		return changed
	}
	changed := !r.leaving && !r.isLeavingHeld(now) && age < leavingTTL
	if reportedAt.After(r.leavingAt) {
		r.leavingAt = reportedAt
	}
	return changed
}

func (r *record) isLeavingHeld(now time.Time) bool {
	return !r.leavingAt.IsZero() && now.Sub(r.leavingAt) < leavingTTL
}

// RecordRefusal notes that the agent on a host refused work because it is leaving: the
// surest word there is, and often the first.
func (t *Tracker) RecordRefusal(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordFor(now, host).leavingAt = now
}

// RecordFailure notes that a call to a host failed to reach it.
func (t *Tracker) RecordFailure(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordFor(now, host)
	if r.suspect && now.Before(r.nextProbe) {
		return // calls that were under way together fail together: count once
	}
	r.decayBackoff(now)
	r.suspect, r.failedAt = true, now
	r.nextProbe = now.Add(probeDelay(r.backoffLevel))
	r.backoffLevel = min(r.backoffLevel+1, maxBackoffLevel)
}

// RecordSuccess notes that a host was reached. A host that kept failing must stay well
// for a pause of its level first, so that one that comes and goes doesn't draw
// work each time it is up.
func (t *Tracker) RecordSuccess(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordFor(now, host)
	if !r.suspect {
		return
	}
	if r.backoffLevel <= 1 || now.Sub(r.failedAt) >= probeDelay(r.backoffLevel) {
		r.suspect = false
	}
}

// decayBackoff lowers the level by one for each calm period since the last failure.
func (r *record) decayBackoff(now time.Time) {
	if r.failedAt.IsZero() {
		return
	}
	r.backoffLevel = max(0, r.backoffLevel-int(now.Sub(r.failedAt)/backoffDecayInterval))
}

func probeDelay(level int) time.Duration {
	return min(minProbeDelay<<level, maxProbeDelay)
}

// IsLeaving says whether a host is believed to take no new work.
func (t *Tracker) IsLeaving(now time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.hosts[host]
	return r != nil && (r.leaving || r.isLeavingHeld(now))
}

// IsSuspect says whether a host failed and has not proven well since: it ranks
// behind all others.
func (t *Tracker) IsSuspect(_ time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.hosts[host]
	return r != nil && r.suspect
}

// Unavailable lists the hosts that are leaving or suspect, sorted: what an entry leaves
// out of its ranking. It is one pass over the hosts, so that a ranking of
// thousands of targets is only computed anew when this list has changed.
func (t *Tracker) Unavailable(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hosts []string
	for host, r := range t.hosts {
		if r.leaving || r.isLeavingHeld(now) || r.suspect {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// AllowProbe says whether this call may try a suspect host in its usual place. It
// says so once for each pause: were all calls let through when a pause ends, a
// host that is still down would hold up all of them.
func (t *Tracker) AllowProbe(now time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.hosts[host]
	if r == nil || !r.suspect || now.Before(r.nextProbe) {
		return false
	}
	r.nextProbe = now.Add(probeDelay(r.backoffLevel))
	return true
}
