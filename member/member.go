// Package member tracks which hosts of the fleet one process considers leaving or suspect. The
// inputs are the platform's lists, reports of other processes, refusals, failed calls and
// successful calls; lists alone are not sufficient, as they are outdated for seconds and differ
// between processes. The result only affects which targets a process tries first: whether a target
// accepts a request is decided by its agent.
package member

import (
	"slices"
	"sync"
	"time"
)

const (
	// leavingTTL is how long a host counts as leaving after the last evidence for it, regardless of
	// other reports. Lists of different processes disagree for seconds; with a shorter TTL,
	// requests would move to and from a leaving host with each list. A longer TTL only delays the
	// return of a host that stays after all.
	leavingTTL = 15 * time.Second
	// minProbeDelay is how long a host is not tried again after its first failure. It is longer
	// than it takes to replace a dropped connection, and shorter than callers wait.
	minProbeDelay = 500 * time.Millisecond
	// maxProbeDelay limits the delay between two probes. A recovered host serves again within about
	// half a minute, and a lost host costs an entry two failed calls per minute.
	maxProbeDelay = 30 * time.Second
	// backoffDecayInterval is how long a host must have no failure for its probe delay to halve. A
	// host that fails more often keeps its long delay.
	backoffDecayInterval = 30 * time.Second
	// maxBackoffLevel is the level at which the delay reaches maxProbeDelay.
	maxBackoffLevel = 6
	// recordTTL is how long a record is kept for a host that was neither listed, reported nor
	// called, so that the memory depends on the current size of the fleet and not on its history.
	recordTTL = 10 * time.Minute
	// minListRatio is the minimum length of a list as a ratio of the last accepted one. A platform
	// service that restarts can return an empty or incomplete list, which would take the whole
	// fleet out of service. The largest real loss at once is one failure domain of three.
	minListRatio = 0.5
	// shortListTimeout is how long lists must remain short before their length becomes the new
	// reference. Even then the missing hosts don't count as leaving, as more than half of the fleet
	// does not leave without any other evidence.
	shortListTimeout = time.Minute
)

// Host is one line of the platform's list.
type Host struct {
	Name string
	// Leaving reports whether the host is leaving and accepts no new requests.
	Leaving bool
}

// record is the state of one host.
type record struct {
	listed  bool // named in the last list
	leaving bool // marked as leaving in the last list
	// leavingAt is the time of the last evidence that the host is leaving.
	leavingAt time.Time
	// seenAt is the time of the last evidence of any kind.
	seenAt time.Time

	suspect      bool
	backoffLevel int
	failedAt     time.Time
	// nextProbe is the time from which one call may try a suspect host again.
	nextProbe time.Time
}

// Tracker tracks the state of hosts for one process. It is safe for concurrent use; its methods
// take the current time. In the zero value all hosts are available.
type Tracker struct {
	mu          sync.Mutex
	hosts       map[string]*record
	lastListLen int // length of the list with which the next one is compared
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

// ApplyList applies the platform's list and returns the hosts whose leaving state changed. A host
// that was listed before and is missing now is leaving. If the list is much shorter than the last
// one, ok is false and missing hosts keep their state.
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

// checkListLen reports whether a list is long enough to treat missing hosts as leaving.
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

// clearListed marks all hosts as not listed, so that their absence from the next list has no
// effect.
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

// ApplyReport applies the report of another process about one host. age is the time since that
// process made its observation. It returns true if the state changed, so that the report should be
// forwarded. A report that a host is not leaving only overrides an older list, and never evidence
// of leaving within leavingTTL.
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
	changed := !r.leaving && !r.hasLeavingEvidence(now) && age < leavingTTL
	if reportedAt.After(r.leavingAt) {
		r.leavingAt = reportedAt
	}
	return changed
}

func (r *record) hasLeavingEvidence(now time.Time) bool {
	return !r.leavingAt.IsZero() && now.Sub(r.leavingAt) < leavingTTL
}

// RecordRefusal records that the agent on a host refused a request because the host is leaving.
// This is the most reliable evidence and often the first.
func (t *Tracker) RecordRefusal(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordFor(now, host).leavingAt = now
}

// RecordFailure records that a call could not reach a host.
func (t *Tracker) RecordFailure(now time.Time, host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordFor(now, host)
	if r.suspect && now.Before(r.nextProbe) {
		return // concurrent calls fail together and count once
	}
	r.decayBackoff(now)
	r.suspect, r.failedAt = true, now
	r.nextProbe = now.Add(probeDelay(r.backoffLevel))
	r.backoffLevel = min(r.backoffLevel+1, maxBackoffLevel)
}

// RecordSuccess records that a call reached a host. A host that failed repeatedly must have no
// failure for the probe delay of its level before it is no longer suspect; otherwise an unstable
// host would receive requests each time it is up.
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

// decayBackoff lowers the level by one for each backoffDecayInterval since the last failure.
func (r *record) decayBackoff(now time.Time) {
	if r.failedAt.IsZero() {
		return
	}
	r.backoffLevel = max(0, r.backoffLevel-int(now.Sub(r.failedAt)/backoffDecayInterval))
}

func probeDelay(level int) time.Duration {
	return min(minProbeDelay<<level, maxProbeDelay)
}

// IsLeaving reports whether a host is considered leaving.
func (t *Tracker) IsLeaving(now time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.hosts[host]
	return r != nil && (r.leaving || r.hasLeavingEvidence(now))
}

// IsSuspect reports whether a host has failed and not recovered since. Suspect hosts rank behind
// all others.
func (t *Tracker) IsSuspect(_ time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.hosts[host]
	return r != nil && r.suspect
}

// Unavailable returns the sorted names of the hosts that are leaving or suspect, which an entry
// excludes from its ranking. It scans the hosts once, so that a ranking of thousands of targets
// needs to be recomputed only when this list has changed.
func (t *Tracker) Unavailable(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hosts []string
	for host, r := range t.hosts {
		if r.leaving || r.hasLeavingEvidence(now) || r.suspect {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// AllowProbe reports whether this call may try a suspect host at its usual rank. It returns true
// once per probe delay: if all calls were allowed at the end of the delay, a host that is still
// down would delay all of them.
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
