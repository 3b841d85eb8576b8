package trial

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/hedge"
	"chestnutstep.example/chestnutstep/place"
)

// hedgeRun simulates one HedgeConfig.
type hedgeRun struct {
	eventLoop
	cfg     HedgeConfig
	rng     *rand.Rand
	targets []*hedgeTarget
	entries []*hedgeEntry
	// places is how many requests a target can start in time.
	places float64

	latencies                     []time.Duration
	sent, served, refused, hedged int
	useful, wasted                time.Duration
	denied                        map[string]int
}

// hedgeEntry is an entry: what it has sent to each target, and what was there at the last report.
type hedgeEntry struct {
	hedger         hedge.Hedger
	own, ownBefore []int
	reported       []int
	slow           []bool
}

// hedgeTarget is a target with slots and a queue, first come first served.
type hedgeTarget struct {
	sim     *hedgeRun
	index   int
	name    string
	slow    bool
	running int
	queue   []*hedgeAttempt
}

// hedgeRequest is a request of a caller.
type hedgeRequest struct {
	entry  *hedgeEntry
	safe   bool
	at     time.Duration
	work   []time.Duration
	done   bool
	counts bool
	tries  []*hedgeAttempt
}

// hedgeAttempt is a request at one target.
type hedgeAttempt struct {
	request        *hedgeRequest
	target         *hedgeTarget
	startedAt      time.Duration
	started, ended bool
}

func newHedgeRun(cfg HedgeConfig) *hedgeRun {
	s := &hedgeRun{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 7)), denied: map[string]int{}}
	s.places = admit.Capacity(cfg.Slots, meanHedgeWork, hedgeObjective/2)
	for i := range cfg.Targets {
		s.targets = append(s.targets, &hedgeTarget{sim: s, index: i, name: fmt.Sprint("t", i)})
	}
	for range cfg.Entries {
		e := &hedgeEntry{own: make([]int, cfg.Targets), ownBefore: make([]int, cfg.Targets), reported: make([]int, cfg.Targets), slow: make([]bool, cfg.Targets)}
		e.hedger.Ratio = cfg.Ratio
		s.entries = append(s.entries, e)
	}
	return s
}

func (s *hedgeRun) stamp() clock.Stamp { return clock.Stamp(time.Hour + s.now) }

func (s *hedgeRun) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// usualTime is the mean time between two slow times of a target.
func (s *hedgeRun) usualTime() time.Duration {
	return time.Duration(float64(hedgeSlowTime) * (1 - hedgeSlowRatio) / hedgeSlowRatio)
}

func (t *hedgeTarget) turnSlow() {
	t.slow = true
	t.sim.after(hedgeSlowTime, func() {
		t.slow = false
		t.sim.after(t.sim.exp(t.sim.usualTime()), t.turnSlow)
	})
}

// drawWork returns the work of one run at a target of usual speed.
func (s *hedgeRun) drawWork() time.Duration {
	w := minHedgeWork + time.Duration(s.rng.Float64()*float64(maxHedgeWork-minHedgeWork))
	if s.rng.Float64() < 0.01 {
		w *= rareHedgeWork
	}
	return w
}

// exchangeReports tells all entries what is at each target.
func (s *hedgeRun) exchangeReports() {
	for _, e := range s.entries {
		for i, t := range s.targets {
			e.reported[i], e.ownBefore[i], e.slow[i] = t.running+len(t.queue), e.own[i], t.slow
		}
	}
}

// known returns the requests at a target as an entry knows them.
func (e *hedgeEntry) known(i int) int { return max(e.reported[i]-e.ownBefore[i], 0) + e.own[i] }

// arrive simulates the arrival of a request and schedules the next one.
func (s *hedgeRun) arrive() {
	rate := s.cfg.Offered * float64(s.cfg.Targets*s.cfg.Slots) / meanHedgeWork.Seconds()
	s.after(s.exp(time.Duration(float64(time.Second)/rate)), s.arrive)
	q := &hedgeRequest{entry: s.entries[s.rng.IntN(len(s.entries))], safe: s.rng.Float64() < s.cfg.SafeRatio, at: s.now, counts: s.now >= s.cfg.Warmup}
	for range s.targets {
		q.work = append(q.work, s.drawWork())
		if s.cfg.SameWork {
			q.work[len(q.work)-1] = q.work[0]
		}
	}
	s.count(q, &s.sent)
	q.entry.hedger.Arrive(s.stamp(), "s", q.safe)
	first, taken := s.choose(q, nil)
	if taken >= 1 {
		q.entry.hedger.RecordRefused(s.stamp(), "s")
		s.count(q, &s.refused)
		return
	}
	s.send(q, first)
	s.scheduleHedge(q)
}

func (s *hedgeRun) count(q *hedgeRequest, n *int) {
	if q.counts {
		*n++
	}
}

// choose returns the target for a request as package place chooses it, and the part of the places that
// is taken.
func (s *hedgeRun) choose(q *hedgeRequest, skip *hedgeTarget) (best *hedgeTarget, taken float64) {
	var list []place.Candidate
	var targets []*hedgeTarget
	var totals place.Totals
	for _, t := range s.targets {
		avoid := skip != nil && s.cfg.Readings && q.entry.slow[t.index]
		if t != skip && !avoid {
			c := place.Candidate{ID: t.name, Running: float64(q.entry.known(t.index)), Slots: s.cfg.Slots, Limit: s.places, HashRank: len(list) + 1}
			list, targets = append(list, c), append(targets, t)
			totals.Add(&c)
		}
	}
	if s.cfg.Perfect {
		return slices.MinFunc(targets, func(a, b *hedgeTarget) int { return cmp.Compare(a.answerTime(q), b.answerTime(q)) }), 0
	}
	if len(list) == 0 {
		return nil, 0
	}
	picked, _ := place.Pick(list, place.Donor{}, place.Request{Key: s.rng.Uint64(), Ceiling: totals.Ceiling(0)})
	return targets[picked.Index], totals.Taken()
}

// answerTime returns how long a request would take at a target, were it to stay as it is now.
func (t *hedgeTarget) answerTime(q *hedgeRequest) time.Duration {
	wait := time.Duration(max(t.running+len(t.queue)+1-t.sim.cfg.Slots, 0)) * meanHedgeWork / time.Duration(t.sim.cfg.Slots)
	return t.scale(wait + q.work[t.index])
}

// scale returns the time that work takes at the present speed of a target.
func (t *hedgeTarget) scale(work time.Duration) time.Duration {
	if t.slow {
		return time.Duration(hedgeSlowFactor * float64(work))
	}
	return work
}

// scheduleHedge schedules the decision on a second attempt.
func (s *hedgeRun) scheduleHedge(q *hedgeRequest) {
	if !q.safe {
		return
	}
	if s.cfg.Delay > 0 {
		s.after(s.cfg.Delay, func() {
			if !q.done {
				second, _ := s.choose(q, q.tries[0].target)
				s.hedge(q, second)
			}
		})
		return
	}
	plan, ok := q.entry.hedger.Plan(s.stamp(), "s", "r")
	if !ok {
		return
	}
	s.after(plan.Delay, func() {
		if !q.done {
			s.decide(q, plan)
		}
	})
}

// decide hedges a request if package hedge allows it.
func (s *hedgeRun) decide(q *hedgeRequest, plan hedge.Plan) {
	h := &q.entry.hedger
	second, taken := s.choose(q, q.tries[0].target)
	now := hedge.Situation{Remaining: hedgeTimeout - (s.now - q.at), Short: h.IsShort(s.stamp(), "s"), Taken: taken, Slots: s.cfg.Slots}
	if second != nil {
		now.HasTarget, now.Running = true, float64(q.entry.known(second.index))
	}
	denial := hedge.Decide(plan, now)
	if denial == hedge.Allowed {
		if _, ok := h.Take("s"); !ok {
			denial = hedge.OutOfBudget
		}
	}
	if denial != hedge.Allowed {
		s.denied[string(denial)]++
		s.after(plan.Again(s.now-q.at), func() {
			if !q.done {
				s.decide(q, plan)
			}
		})
		return
	}
	s.hedge(q, second)
}

func (s *hedgeRun) hedge(q *hedgeRequest, second *hedgeTarget) {
	s.count(q, &s.hedged)
	s.send(q, second)
}

// send sends a request to a target.
func (s *hedgeRun) send(q *hedgeRequest, t *hedgeTarget) {
	a := &hedgeAttempt{request: q, target: t}
	q.tries = append(q.tries, a)
	q.entry.own[t.index]++
	s.after(hedgeHop, func() { t.accept(a) })
}

func (t *hedgeTarget) accept(a *hedgeAttempt) {
	switch {
	case a.ended:
	case t.running < t.sim.cfg.Slots:
		t.start(a)
	case len(t.queue) < hedgeQueue:
		t.queue = append(t.queue, a)
	default:
		t.sim.after(hedgeHop, func() { t.sim.reject(a) })
	}
}

func (t *hedgeTarget) start(a *hedgeAttempt) {
	t.running++
	a.started, a.startedAt = true, t.sim.now
	t.sim.after(t.scale(a.request.work[t.index]), func() {
		if !a.ended {
			t.end(a)
			t.sim.after(hedgeHop, func() { t.sim.answer(a) })
		}
	})
}

// end frees the slot of an attempt that was answered or canceled.
func (t *hedgeTarget) end(a *hedgeAttempt) {
	a.ended = true
	if !a.started {
		t.queue = slices.DeleteFunc(t.queue, func(x *hedgeAttempt) bool { return x == a })
		return
	}
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		t.start(next)
	}
}

// reject handles a refusal by a full target. A request without another attempt is refused.
func (s *hedgeRun) reject(a *hedgeAttempt) {
	q := a.request
	a.ended = true
	q.entry.own[a.target.index]--
	q.entry.hedger.RecordRefused(s.stamp(), "s")
	if !q.done && !slices.ContainsFunc(q.tries, func(x *hedgeAttempt) bool { return !x.ended }) {
		q.done = true
		s.count(q, &s.refused)
	}
}

// answer handles an answer of a target.
func (s *hedgeRun) answer(a *hedgeAttempt) {
	q := a.request
	q.entry.own[a.target.index]--
	work := s.now - hedgeHop - a.startedAt
	if q.done {
		s.wasted += work
		return
	}
	q.done = true
	s.count(q, &s.served)
	s.useful += work
	if q.safe && q.counts {
		s.latencies = append(s.latencies, s.now-q.at)
	}
	if q.safe {
		q.entry.hedger.Observe(s.stamp(), "r", s.now-q.at)
	}
	for _, x := range q.tries {
		if x != a && !x.ended {
			s.after(hedgeHop, func() { s.cancel(x) })
		}
	}
}

// cancel ends an attempt whose request was answered by another target.
func (s *hedgeRun) cancel(a *hedgeAttempt) {
	if a.ended {
		return // its answer is on the way
	}
	if a.started {
		s.wasted += s.now - a.startedAt
	}
	a.request.entry.own[a.target.index]--
	a.target.end(a)
}
