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
	// hold is how long a host counts as leaving after the last word that said
	// so, whatever others say meanwhile. Lists of different processes disagree
	// for seconds; without a hold that outlasts them, work would swing to and
	// from a leaving host with each list. Too long a hold only delays the return
	// of a host that changed its mind.
	hold = 15 * time.Second
	// firstPause is how long a host that failed is not tried again: longer than
	// a dropped connection takes to be replaced, shorter than a caller's
	// patience.
	firstPause = 500 * time.Millisecond
	// lastPause bounds the pause between tries: a host that is back serves again
	// within about half a minute, and one that is gone costs an entry two failed
	// calls a minute.
	lastPause = 30 * time.Second
	// calm is how long a host must go without failure for its pause to halve. A
	// host that comes and goes faster than that keeps its long pause.
	calm = 30 * time.Second
	// levelMax is where the pause reaches lastPause.
	levelMax = 6
	// forget drops what is known of hosts that no list has named and no call has
	// met for so long, so that memory follows the fleet and not its history.
	forget = 10 * time.Minute
	// shortest is the share of the known hosts that a list must name. A service
	// that restarts may answer with a list that is empty or half filled; taken
	// at its word it would take the whole fleet out of service. The largest real
	// loss at once is one failure domain of three.
	shortest = 0.5
	// shortHold is how long a short list must last before it sets the measure
	// for later ones. Hosts that it left out are not taken to have left even
	// then: more than half of the fleet is not lost without a word.
	shortHold = time.Minute
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
	// left is the last word that the host leaves.
	left time.Time
	// seen is the last word of any kind.
	seen time.Time

	suspect bool
	level   int
	failed  time.Time
	// probe is when one call may try a suspect host again.
	probe time.Time
}

// List holds the beliefs of one process. Its methods take the time and may be
// called from many goroutines. The zero value knows nothing: all hosts are
// taken to be well.
type List struct {
	mu    sync.Mutex
	hosts map[string]*record
	known int // hosts that the last good list named
	short time.Time
}

func (l *List) record(now time.Time, host string) *record {
	if l.hosts == nil {
		l.hosts = make(map[string]*record)
	}
	r := l.hosts[host]
	if r == nil {
		r = new(record)
		l.hosts[host] = r
	}
	r.seen = now
	return r
}

// Learn takes the platform's list and returns the hosts whose leaving is news.
// A host that was listed and no longer is has left, unless the list names far
// fewer hosts than the one before: then it says false, and believes only what
// the list says of the hosts that it names.
func (l *List) Learn(now time.Time, list []Host) (news []Host, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok = l.measure(now, len(list))
	named := make(map[string]bool, len(list))
	for _, h := range list {
		named[h.Name] = true
		news = l.take(now, news, h, true)
	}
	for name, r := range l.hosts {
		switch {
		case named[name]:
		case r.listed && ok:
			news = l.take(now, news, Host{Name: name, Leaving: true}, false)
		case now.Sub(r.seen) > forget:
			delete(l.hosts, name)
		}
	}
	return news, ok
}

// measure says whether a list is long enough to tell that hosts are gone.
func (l *List) measure(now time.Time, n int) bool {
	if float64(n) >= shortest*float64(l.known) {
		l.known, l.short = n, time.Time{}
		return true
	}
	if l.short.IsZero() {
		l.short = now
	}
	if now.Sub(l.short) >= shortHold {
		l.known = n
		l.unlist()
	}
	return false
}

// unlist forgets which hosts were listed, so that their absence says nothing.
func (l *List) unlist() {
	for _, r := range l.hosts {
		r.listed = false
	}
}

func (l *List) take(now time.Time, news []Host, h Host, listed bool) []Host {
	r := l.record(now, h.Name)
	if r.leaving != h.Leaving {
		news = append(news, h)
	}
	r.listed, r.leaving = listed, h.Leaving
	if h.Leaving {
		r.left = now
	}
	return news
}

// Hear takes another process's word about one host, age old. It returns true
// when it is news worth passing on. Word that a host is live is only believed
// over an older list, never over a word of leaving that is still held.
func (l *List) Hear(now time.Time, h Host, age time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(now, h.Name)
	said := now.Add(-age)
	if !h.Leaving {
		news := r.leaving && said.Sub(r.left) > hold
		if news {
			r.leaving = false
		}
		return news
	}
	news := !r.leaving && !r.held(now) && age < hold
	if said.After(r.left) {
		r.left = said
	}
	return news
}

func (r *record) held(now time.Time) bool {
	return !r.left.IsZero() && now.Sub(r.left) < hold
}

// Refuse notes that the agent on a host refused work because it is leaving: the
// surest word there is, and often the first.
func (l *List) Refuse(now time.Time, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record(now, host).left = now
}

// Fail notes that a call to a host failed to reach it.
func (l *List) Fail(now time.Time, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(now, host)
	if r.suspect && now.Before(r.probe) {
		return // calls that were under way together fail together: count once
	}
	r.settle(now)
	r.suspect, r.failed = true, now
	r.probe = now.Add(pause(r.level))
	r.level = min(r.level+1, levelMax)
}

// Answer notes that a host was reached. A host that kept failing must stay well
// for a pause of its level first, so that one that comes and goes doesn't draw
// work each time it is up.
func (l *List) Answer(now time.Time, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(now, host)
	if !r.suspect {
		return
	}
	if r.level <= 1 || now.Sub(r.failed) >= pause(r.level) {
		r.suspect = false
	}
}

// settle lowers the level by one for each calm period since the last failure.
func (r *record) settle(now time.Time) {
	if r.failed.IsZero() {
		return
	}
	r.level = max(0, r.level-int(now.Sub(r.failed)/calm))
}

func pause(level int) time.Duration {
	return min(firstPause<<level, lastPause)
}

// Leaving says whether a host is believed to take no new work.
func (l *List) Leaving(now time.Time, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.hosts[host]
	return r != nil && (r.leaving || r.held(now))
}

// Suspect says whether a host failed and has not proven well since: it ranks
// behind all others.
func (l *List) Suspect(_ time.Time, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.hosts[host]
	return r != nil && r.suspect
}

// Away lists the hosts that are leaving or suspect, sorted: what an entry leaves
// out of its ranking. It is one pass over the hosts, so that a ranking of
// thousands of targets is only computed anew when this list has changed.
func (l *List) Away(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var away []string
	for host, r := range l.hosts {
		if r.leaving || r.held(now) || r.suspect {
			away = append(away, host)
		}
	}
	slices.Sort(away)
	return away
}

// Probe says whether this call may try a suspect host in its usual place. It
// says so once for each pause: were all calls let through when a pause ends, a
// host that is still down would hold up all of them.
func (l *List) Probe(now time.Time, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.hosts[host]
	if r == nil || !r.suspect || now.Before(r.probe) {
		return false
	}
	r.probe = now.Add(pause(r.level))
	return true
}
