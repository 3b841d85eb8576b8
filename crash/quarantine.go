package crash

import (
	"cmp"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// DefaultContents bounds the contents that are remembered: those of some two hundred targets that end
	// within ten minutes, in 0.8 MB.
	DefaultContents = 8192
	// quarantineAt is how many targets have to end under a content before it is refused.
	quarantineAt = 2
	// doubtPause is how long a content is refused after two targets where something else may
	// have ended them. Peers' reports of the same moment come within a fraction of it.
	doubtPause = 3 * time.Second
	// stepSlack is by how many events two answers may differ that broke off at one step: a reset
	// loses those that were on their way.
	stepSlack = 4
	// togetherFor is how far apart targets end that were lost to one failure, such as that of a
	// failure domain.
	togetherFor = 2 * time.Second
	// togetherAt is how many other targets end at the time before that explains one loss of a content.
	togetherAt = 2
	// keepFew is how long a content is remembered under which one target ended, or that was
	// served since; keepMany the same for one that was refused.
	keepFew  = 10 * time.Minute
	keepMany = 24 * time.Hour
	// expireEvery is how often what is old is looked for.
	expireEvery = time.Second
	// lossesMost bounds the targets that are remembered for one content.
	lossesMost = 8
)

// pauses is for how long a content is refused after two targets and more. Each end of a pause
// may cost one more target: together they stay within what the content may end in a day.
var pauses = []time.Duration{time.Minute, 10 * time.Minute, time.Hour, keepMany}

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
	// Most bounds the contents; DefaultContents when 0.
	Most int

	cases map[uint64]*quarantineCase
	// ends are the targets that ended of late.
	ends map[uint32]clock.Stamp
	// expiredAt is when what is old was last forgotten.
	expiredAt clock.Stamp
}

// quarantineCase is what is known of one content.
type quarantineCase struct {
	losses []Loss // by time
	// trying says that a run is in progress that may end one more target.
	trying bool
}

// count is how many losses the content is not cleared of.
func (c *quarantineCase) count() int {
	n := 0
	for _, l := range c.losses {
		if !l.Cleared {
			n++
		}
	}
	return n
}

// open returns the losses that the content is not cleared of.
func (c *quarantineCase) open() []Loss {
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
func (c *quarantineCase) add(l Loss) bool {
	for i := range c.losses {
		if old := &c.losses[i]; old.Target == l.Target {
			news := l.Cleared && !old.Cleared
			old.Cleared = old.Cleared || l.Cleared
			return news
		}
	}
	if len(c.losses) == lossesMost {
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
	q.begin()
	q.expire(now)
	q.ends[l.Target] = max(q.ends[l.Target], l.At)
	c := q.cases[l.Fingerprint]
	if c == nil {
		c = &quarantineCase{}
		q.cases[l.Fingerprint] = c
	}
	news := c.add(l)
	q.bound(l.Fingerprint)
	return news
}

// Served clears a content, and returns the losses that it is cleared of.
func (q *Quarantine) Served(fingerprint uint64) []Loss {
	c := q.cases[fingerprint]
	if c == nil {
		return nil
	}
	cleared := c.open()
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
	if wait > 0 || losses < quarantineAt {
		return wait, false
	}
	c := q.cases[fingerprint]
	if c.trying {
		return doubtPause, false
	}
	c.trying = true
	return 0, true
}

// Release ends a trial.
func (q *Quarantine) Release(fingerprint uint64) {
	if c := q.cases[fingerprint]; c != nil {
		c.trying = false
	}
}

// Check returns how long a content is refused from now on, and how many targets ended under it
// since it was last served.
func (q *Quarantine) Check(now clock.Stamp, fingerprint uint64) (wait time.Duration, losses int) {
	c := q.cases[fingerprint]
	if c == nil {
		return 0, 0
	}
	open := c.open()
	if len(open) < quarantineAt {
		return 0, len(open)
	}
	return max(open[len(open)-1].At.Add(q.pause(fingerprint, open)).Sub(now), 0), len(open)
}

// pause is for how long a content is refused after its last loss.
func (q *Quarantine) pause(fingerprint uint64, open []Loss) time.Duration {
	n := len(open)
	if q.others(open) >= togetherAt {
		n--
	}
	switch {
	case n < quarantineAt:
		return 0
	case n == quarantineAt && !(sameStep(open) && !q.hasOtherSuspect(fingerprint, open)):
		return doubtPause
	default:
		return pauses[min(n-quarantineAt, len(pauses)-1)]
	}
}

// sameStep reports whether the targets ended after about as many events of a content.
func sameStep(losses []Loss) bool {
	byEvents := func(a, b Loss) int { return cmp.Compare(a.Events, b.Events) }
	return slices.MaxFunc(losses, byEvents).Events-slices.MinFunc(losses, byEvents).Events <= stepSlack
}

// others counts the targets that ended about when these did, without the content.
func (q *Quarantine) others(losses []Loss) int {
	n := 0
	for target, at := range q.ends {
		own := slices.ContainsFunc(losses, func(l Loss) bool { return l.Target == target })
		near := slices.ContainsFunc(losses, func(l Loss) bool { return at.Sub(l.At).Abs() <= togetherFor })
		if near && !own {
			n++
		}
	}
	return n
}

// hasOtherSuspect reports whether another content was found at all these losses, and at the same step.
func (q *Quarantine) hasOtherSuspect(fingerprint uint64, losses []Loss) bool {
	for other, c := range q.cases {
		if other == fingerprint || c.count() < len(losses) {
			continue
		}
		shared := slices.DeleteFunc(c.open(), func(l Loss) bool {
			return !slices.ContainsFunc(losses, func(own Loss) bool { return own.Target == l.Target })
		})
		if len(shared) == len(losses) && sameStep(shared) {
			return true
		}
	}
	return false
}

// Losses returns the losses of all contents that were refused, for an entry that has just started.
func (q *Quarantine) Losses() []Loss {
	var list []Loss
	for _, c := range q.cases {
		if c.count() >= quarantineAt {
			list = append(list, c.open()...)
		}
	}
	return list
}

func (q *Quarantine) begin() {
	if q.cases != nil {
		return
	}
	if q.Most <= 0 {
		q.Most = DefaultContents
	}
	q.cases = make(map[uint64]*quarantineCase)
	q.ends = make(map[uint32]clock.Stamp)
}

// expire forgets what is old.
func (q *Quarantine) expire(now clock.Stamp) {
	if now.Sub(q.expiredAt) < expireEvery {
		return
	}
	q.expiredAt = now
	for target, at := range q.ends {
		if now.Sub(at) > keepFew {
			delete(q.ends, target)
		}
	}
	for fingerprint, c := range q.cases {
		keep := keepFew
		if c.count() >= quarantineAt {
			keep = keepMany
		}
		if now.Sub(c.losses[len(c.losses)-1].At) > keep {
			delete(q.cases, fingerprint)
		}
	}
}

// bound drops contents beyond the limit, those with the fewest and then the oldest losses first,
// but for one that was just added.
func (q *Quarantine) bound(added uint64) {
	if len(q.cases) <= q.Most {
		return
	}
	var worst uint64
	var least *quarantineCase
	for fingerprint, c := range q.cases {
		if fingerprint == added {
			continue
		}
		if least == nil || c.weaker(least) || !least.weaker(c) && fingerprint < worst {
			worst, least = fingerprint, c
		}
	}
	delete(q.cases, worst)
}

// weaker reports whether less is known against a content than against another.
func (c *quarantineCase) weaker(other *quarantineCase) bool {
	if a, b := c.count(), other.count(); a != b {
		return a < b
	}
	return c.losses[len(c.losses)-1].At < other.losses[len(other.losses)-1].At
}
