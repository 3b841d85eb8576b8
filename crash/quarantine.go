package crash

import (
	"cmp"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// DefaultMaxContents limits the number of stored contents: 8,192 cover the contents of some two
	// hundred targets that end within ten minutes, and take 0.8 MB.
	DefaultMaxContents = 8192
	// DefaultThreshold is the number of targets that must end while running a content before it is
	// refused.
	DefaultThreshold = 2
	// ambiguousPause is how long a content is refused after two targets if another cause is
	// possible. Reports from peers about the same failure arrive within a fraction of it.
	ambiguousPause = 3 * time.Second
	// maxEventSpread is the maximum difference in received events between two answers that broke
	// off at the same step. A connection reset discards the events in flight, so the numbers differ
	// slightly.
	maxEventSpread = 4
	// correlationWindow is the maximum time between the ends of targets that are attributed to one
	// common failure, such as that of a failure domain.
	correlationWindow = 2 * time.Second
	// correlationThreshold is the number of other targets that must end within the window for a
	// common failure to explain one loss of a content.
	correlationThreshold = 2
	// jointTargets is the number of targets that must end within JointWindow to count once. An entry
	// that continues a stream can lose two targets to one content within milliseconds.
	jointTargets = 3
	// suspectTTL is how long a content that is not refused is remembered after its last loss;
	// quarantineTTL is the same for a refused content.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = 24 * time.Hour
	// expireInterval is the minimum interval between two scans for expired entries.
	expireInterval = time.Second
	// maxLosses limits the number of losses stored per content.
	maxLosses = 8
)

// pauses lists how long a content is refused after Threshold losses, after one more, and so on. Each
// time a pause expires, the content can end one more target; the total stays within the number of
// targets that one content may end per day.
var pauses = []time.Duration{time.Minute, 10 * time.Minute, time.Hour, quarantineTTL}

// Loss records that a target ended while it was running a content.
type Loss struct {
	Fingerprint uint64
	// Target identifies the instance that ended.
	Target uint32
	// Events is the number of events of the answer received before the end.
	Events uint16
	// At is the time of the end on the clock of this process.
	At clock.Stamp
	// Cleared reports whether the content was served after this loss.
	Cleared bool
}

// Quarantine decides, at entries without agents, which contents may be sent to targets.
//
// It protects the targets from a request that ends every target that runs it and that its caller
// retries through any entry. Every other request on such a target ends as well, so that many
// contents are involved in one loss and a few, by chance, in two.
//
// A content is refused after the loss of two targets. If its answers broke off at the same step and
// no other content was involved in both losses, the first pause is already long. Otherwise the
// pause is short, and the next run shows whether the content is the cause. If other targets end at
// the same time, one more loss is required. A content that is served is cleared of all earlier
// losses.
//
// Losses merge to the same state in any order. A Quarantine is not safe for concurrent use.
type Quarantine struct {
	// MaxContents limits the number of stored contents; 0 means DefaultMaxContents.
	MaxContents int
	// Threshold is the number of targets that must end while running a content before it is refused;
	// 0 means DefaultThreshold.
	Threshold int
	// JointWindow is the time within which the ends of jointTargets or more count once, as they
	// probably have another common cause, unless all answers broke off at the same step. If it is 0, each end counts, and the ends of other targets
	// at the same time explain one loss.
	JointWindow time.Duration
	// TrialDelay returns an additional time for which a content is refused after each pause; nil adds
	// none. If it differs from entry to entry, their trial runs don't coincide.
	TrialDelay func(fingerprint uint64) time.Duration

	contents map[uint64]*contentRecord
	// targetEndedAt holds the times at which targets ended recently.
	targetEndedAt map[uint32]clock.Stamp
	// lastExpired is the time of the last scan for expired entries.
	lastExpired clock.Stamp
}

// contentRecord is the state of one content.
type contentRecord struct {
	losses []Loss // sorted by time
	// isTrialRunning reports whether a trial run is in progress, which may end one more target.
	isTrialRunning bool
}

// unclearedCount returns the number of losses that the content is not cleared of.
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

// add adds a loss and reports whether the record changed. If the record is full, the loss replaces
// one that the content is cleared of; if there is none, the loss is dropped.
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

// Add adds a loss that this process or a peer has observed, and reports whether the state changed.
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

// RecordServed clears a content of its losses, and returns those that were not cleared before.
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

// Admit returns how long a content is refused; 0 means that it may be sent to a target now. A
// content with at least Threshold losses runs once at a time: if trial is true, the
// caller must call EndTrial after the run.
func (q *Quarantine) Admit(now clock.Stamp, fingerprint uint64) (wait time.Duration, trial bool) {
	wait, losses := q.Check(now, fingerprint)
	if wait > 0 || losses < q.threshold() {
		return wait, false
	}
	c := q.contents[fingerprint]
	if c.isTrialRunning {
		return ambiguousPause, false
	}
	c.isTrialRunning = true
	return 0, true
}

// EndTrial ends the trial run of a content.
func (q *Quarantine) EndTrial(fingerprint uint64) {
	if c := q.contents[fingerprint]; c != nil {
		c.isTrialRunning = false
	}
}

// Check returns how long a content is refused from now on, and the number of targets that ended
// while running it since it was last served. Targets that ended jointly count once.
func (q *Quarantine) Check(now clock.Stamp, fingerprint uint64) (wait time.Duration, losses int) {
	c := q.contents[fingerprint]
	if c == nil {
		return 0, 0
	}
	uncleared := c.uncleared()
	losses = q.countEnds(uncleared)
	if losses < q.threshold() {
		return 0, losses
	}
	pause := q.pause(fingerprint, uncleared)
	if q.TrialDelay != nil {
		pause += q.TrialDelay(fingerprint)
	}
	return max(uncleared[len(uncleared)-1].At.Add(pause).Sub(now), 0), losses
}

func (q *Quarantine) threshold() int {
	if q.Threshold <= 0 {
		return DefaultThreshold
	}
	return q.Threshold
}

// countEnds counts the losses, which are sorted by time. A group of at least jointTargets within
// JointWindow of its first one counts once, unless all answers broke off at the same step.
func (q *Quarantine) countEnds(losses []Loss) int {
	n := 0
	for len(losses) > 0 {
		group := 1
		for group < len(losses) && losses[group].At.Sub(losses[0].At) < q.JointWindow {
			group++
		}
		if group >= jointTargets && !hasSimilarEvents(losses[:group]) {
			n++
		} else {
			n += group
		}
		losses = losses[group:]
	}
	return n
}

// pause returns how long a content is refused after its last loss.
func (q *Quarantine) pause(fingerprint uint64, uncleared []Loss) time.Duration {
	n, threshold := q.countEnds(uncleared), q.threshold()
	if q.JointWindow == 0 && q.countCorrelatedEnds(uncleared) >= correlationThreshold {
		n--
	}
	switch {
	case n < threshold:
		return 0
	case n == threshold && !(hasSimilarEvents(uncleared) && !q.hasOtherSuspect(fingerprint, uncleared)):
		return ambiguousPause
	default:
		return pauses[min(n-threshold, len(pauses)-1)]
	}
}

// hasSimilarEvents reports whether the answers broke off after about the same number of events.
func hasSimilarEvents(losses []Loss) bool {
	byEvents := func(a, b Loss) int { return cmp.Compare(a.Events, b.Events) }
	return slices.MaxFunc(losses, byEvents).Events-slices.MinFunc(losses, byEvents).Events <= maxEventSpread
}

// countCorrelatedEnds counts the other targets that ended within correlationWindow of these losses
// without running the content.
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

// hasOtherSuspect reports whether another content was involved in all these losses and its answers
// also broke off at the same step.
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

// Losses returns the uncleared losses of all refused contents, to be sent to an entry that has just
// started.
func (q *Quarantine) Losses() []Loss {
	var list []Loss
	for _, c := range q.contents {
		if c.unclearedCount() >= q.threshold() {
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

// expire removes ended targets and contents whose TTL has passed.
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
		if c.unclearedCount() >= q.threshold() {
			ttl = quarantineTTL
		}
		if now.Sub(c.losses[len(c.losses)-1].At) > ttl {
			delete(q.contents, fingerprint)
		}
	}
}

// evictExcess removes a content if there are more than MaxContents: the one with the fewest
// uncleared losses and, among equals, the one whose last loss is the oldest. It never removes the
// content that was just added.
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

// hasLessEvidence reports whether this content has fewer uncleared losses than the other one or, if
// the numbers are equal, an older last loss.
func (c *contentRecord) hasLessEvidence(other *contentRecord) bool {
	if a, b := c.unclearedCount(), other.unclearedCount(); a != b {
		return a < b
	}
	return c.losses[len(c.losses)-1].At < other.losses[len(other.losses)-1].At
}
