package crash

import (
	"cmp"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// DefaultMaxContents bounds the contents that are remembered: those of some two hundred targets that end
	// within ten minutes, in 0.8 MB.
	DefaultMaxContents = 8192
	// quarantineThreshold is how many targets have to end under a content before it is refused.
	quarantineThreshold = 2
	// ambiguousPause is how long a content is refused after two targets where something else may
	// have ended them. Peers' reports of the same moment come within a fraction of it.
	ambiguousPause = 3 * time.Second
	// maxEventSpread is by how many events two answers may differ that broke off at one step: a reset
	// loses those that were on their way.
	maxEventSpread = 4
	// correlationWindow is how far apart targets end that were lost to one failure, such as that of a
	// failure domain.
	correlationWindow = 2 * time.Second
	// correlationThreshold is how many other targets end at the time before that explains one loss of a content.
	correlationThreshold = 2
	// suspectTTL is how long a content is remembered under which one target ended, or that was
	// served since; keepMany the same for one that was refused.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = 24 * time.Hour
	// expireInterval is how often what is old is looked for.
	expireInterval = time.Second
	// maxLosses bounds the targets that are remembered for one content.
	maxLosses = 8
)

// pauses is for how long a content is refused after two targets and more. Each end of a pause
// may cost one more target: together they stay within what the content may end in a day.
var pauses = []time.Duration{time.Minute, 10 * time.Minute, time.Hour, quarantineTTL}

// Loss says that a target ended while it ran a content.
type Loss struct {
	Fingerprint uint64
	// Target is the instance that ended.
	Target uint32
	// Events is how many events of the answer had come.
	Events uint16
	// At is when it ended, by this process's clock.
	At clock.Stamp
	// Cleared says that the content was served after it.
	Cleared bool
}

// Quarantine decides, at entries without agents, which contents may be sent to targets.
//
// The load it answers is a request that ends each target which runs it, and that its caller
// sends again through any entry. With each target all else that runs there ends as well, so that many
// contents are found at one loss and a few, by chance, at two.
//
// A content under which two targets ended is refused. Where its answers broke off at the same step and
// no other content was found at both, the pause is long at once; otherwise it is short, and the
// next run shows whether the content was the cause. Where other targets end as well, it takes
// one more. A content that is served is cleared of all losses before.
//
// Losses merge in any order to the same state. A Quarantine is not safe for concurrent use.
type Quarantine struct {
	// MaxContents bounds the contents; DefaultContents when 0.
	MaxContents int

	contents map[uint64]*contentRecord
	// targetEndedAt are the targets that ended of late.
	targetEndedAt map[uint32]clock.Stamp
	// lastExpired is when what is old was last forgotten.
	lastExpired clock.Stamp
}

// contentRecord is what is known of one content.
type contentRecord struct {
	losses []Loss // by time
	// isTrialRunning says that a run is in progress that may end one more target.
	isTrialRunning bool
}

// unclearedCount is how many losses the content is not cleared of.
func (c *contentRecord) unclearedCount() int {
	n := 0
	for _, l := range c.losses {
		if !l.Cleared {
			n++
		}
	}
	return n
}

// uncleared returns the losses that the content is not cleared of.
func (c *contentRecord) uncleared() []Loss {
	list := make([]Loss, 0, len(c.losses))
	for _, l := range c.losses {
		if !l.Cleared {
			list = append(list, l)
		}
	}
	return list
}

// add takes a loss, and reports whether it is news. Losses that the content is cleared of make
// room for others.
func (c *contentRecord) add(l Loss) bool {
	for i := range c.losses {
		if old := &c.losses[i]; old.Target == l.Target {
			changed := l.Cleared && !old.Cleared
			old.Cleared = old.Cleared || l.Cleared
			return changed
		}
	}
	if len(c.losses) == maxLosses {
		i := slices.IndexFunc(c.losses, func(old Loss) bool { return old.Cleared })
		if i < 0 {
			return false
		}
		c.losses = slices.Delete(c.losses, i, i+1)
	}
	c.losses = append(c.losses, l)
	slices.SortFunc(c.losses, func(a, b Loss) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Target, b.Target)) })
	return true
}

// Add takes a loss, from this process or a peer, and reports whether it is news.
func (q *Quarantine) Add(now clock.Stamp, l Loss) bool {
	if l.Fingerprint == 0 {
		return false
	}
	q.initialize()
	q.expire(now)
	q.targetEndedAt[l.Target] = max(q.targetEndedAt[l.Target], l.At)
	c := q.contents[l.Fingerprint]
	if c == nil {
		c = &contentRecord{}
		q.contents[l.Fingerprint] = c
	}
	changed := c.add(l)
	q.evictExcess(l.Fingerprint)
	return changed
}

// RecordServed clears a content, and returns the losses that it is cleared of.
func (q *Quarantine) RecordServed(fingerprint uint64) []Loss {
	c := q.contents[fingerprint]
	if c == nil {
		return nil
	}
	cleared := c.uncleared()
	for i := range cleared {
		cleared[i].Cleared = true
	}
	for i := range c.losses {
		c.losses[i].Cleared = true
	}
	return cleared
}

// Admit says whether a content may be sent to a target now, or how long it is refused. A content
// that has ended targets runs once at a time; with trial the caller has to call Release.
func (q *Quarantine) Admit(now clock.Stamp, fingerprint uint64) (wait time.Duration, trial bool) {
	wait, losses := q.Check(now, fingerprint)
	if wait > 0 || losses < quarantineThreshold {
		return wait, false
	}
	c := q.contents[fingerprint]
	if c.isTrialRunning {
		return ambiguousPause, false
	}
	c.isTrialRunning = true
	return 0, true
}

// EndTrial ends a trial.
func (q *Quarantine) EndTrial(fingerprint uint64) {
	if c := q.contents[fingerprint]; c != nil {
		c.isTrialRunning = false
	}
}

// Check returns how long a content is refused from now on, and how many targets ended under it
// since it was last served.
func (q *Quarantine) Check(now clock.Stamp, fingerprint uint64) (wait time.Duration, losses int) {
	c := q.contents[fingerprint]
	if c == nil {
		return 0, 0
	}
	uncleared := c.uncleared()
	if len(uncleared) < quarantineThreshold {
		return 0, len(uncleared)
	}
	return max(uncleared[len(uncleared)-1].At.Add(q.pause(fingerprint, uncleared)).Sub(now), 0), len(uncleared)
}

// pause is for how long a content is refused after its last loss.
func (q *Quarantine) pause(fingerprint uint64, uncleared []Loss) time.Duration {
	n := len(uncleared)
	if q.countCorrelatedEnds(uncleared) >= correlationThreshold {
		n--
	}
	switch {
	case n < quarantineThreshold:
		return 0
	case n == quarantineThreshold && !(hasSimilarEvents(uncleared) && !q.hasOtherSuspect(fingerprint, uncleared)):
		return ambiguousPause
	default:
		return pauses[min(n-quarantineThreshold, len(pauses)-1)]
	}
}

// hasSimilarEvents reports whether the targets ended after about as many events of a content.
func hasSimilarEvents(losses []Loss) bool {
	byEvents := func(a, b Loss) int { return cmp.Compare(a.Events, b.Events) }
	return slices.MaxFunc(losses, byEvents).Events-slices.MinFunc(losses, byEvents).Events <= maxEventSpread
}

// countCorrelatedEnds counts the targets that ended about when these did, without the content.
func (q *Quarantine) countCorrelatedEnds(losses []Loss) int {
	n := 0
	for target, at := range q.targetEndedAt {
		own := slices.ContainsFunc(losses, func(l Loss) bool { return l.Target == target })
		near := slices.ContainsFunc(losses, func(l Loss) bool { return at.Sub(l.At).Abs() <= correlationWindow })
		if near && !own {
			n++
		}
	}
	return n
}

// hasOtherSuspect reports whether another content was found at all these losses, and at the same step.
func (q *Quarantine) hasOtherSuspect(fingerprint uint64, losses []Loss) bool {
	for other, c := range q.contents {
		if other == fingerprint || c.unclearedCount() < len(losses) {
			continue
		}
		shared := slices.DeleteFunc(c.uncleared(), func(l Loss) bool {
			return !slices.ContainsFunc(losses, func(own Loss) bool { return own.Target == l.Target })
		})
		if len(shared) == len(losses) && hasSimilarEvents(shared) {
			return true
		}
	}
	return false
}

// Losses returns the losses of all contents that were refused, for an entry that has just started.
func (q *Quarantine) Losses() []Loss {
	var list []Loss
	for _, c := range q.contents {
		if c.unclearedCount() >= quarantineThreshold {
			list = append(list, c.uncleared()...)
		}
	}
	return list
}

func (q *Quarantine) initialize() {
	if q.contents != nil {
		return
	}
	if q.MaxContents <= 0 {
		q.MaxContents = DefaultMaxContents
	}
	q.contents = make(map[uint64]*contentRecord)
	q.targetEndedAt = make(map[uint32]clock.Stamp)
}

// expire forgets what is old.
func (q *Quarantine) expire(now clock.Stamp) {
	if now.Sub(q.lastExpired) < expireInterval {
		return
	}
	q.lastExpired = now
	for target, at := range q.targetEndedAt {
		if now.Sub(at) > suspectTTL {
			delete(q.targetEndedAt, target)
		}
	}
	for fingerprint, c := range q.contents {
		ttl := suspectTTL
		if c.unclearedCount() >= quarantineThreshold {
			ttl = quarantineTTL
		}
		if now.Sub(c.losses[len(c.losses)-1].At) > ttl {
			delete(q.contents, fingerprint)
		}
	}
}

// evictExcess drops contents beyond the limit, those with the fewest and then the oldest losses first,
// but for one that was just added.
func (q *Quarantine) evictExcess(added uint64) {
	if len(q.contents) <= q.MaxContents {
		return
	}
	var evicted uint64
	var weakest *contentRecord
	for fingerprint, c := range q.contents {
		if fingerprint == added {
			continue
		}
		if weakest == nil || c.hasLessEvidence(weakest) || !weakest.hasLessEvidence(c) && fingerprint < evicted {
			evicted, weakest = fingerprint, c
		}
	}
	delete(q.contents, evicted)
}

// hasLessEvidence reports whether less is known against a content than against another.
func (c *contentRecord) hasLessEvidence(other *contentRecord) bool {
	if a, b := c.unclearedCount(), other.unclearedCount(); a != b {
		return a < b
	}
	return c.losses[len(c.losses)-1].At < other.losses[len(other.losses)-1].At
}
