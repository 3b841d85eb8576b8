package trial

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/claim"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/origin"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

// claimsRun is the state of one RunClaims.
type claimsRun struct {
	eventLoop
	cfg ClaimsConfig
	// arrivals generates the callers, the same ones with and without claims; rand all else.
	arrivals, rand *rand.Rand
	service        *chestnutstep.Service
	view           *roster.View
	entries        []*claimsEntry
	members        []origin.Member
	targets        map[string]*claimsTarget
	callers        []*claimsCaller
	seq            int
	gone           int
	// swing is the part of the offered load by which the load of this moment differs from it.
	swing float64
	busy  time.Duration
	bytes int
}

// claimsEntry is one entry.
type claimsEntry struct {
	board.Board
	origin.Member
	planner claim.Planner
	limits  claim.Limits
	ledger  claim.Ledger
	budget  claim.Budget
}

// Reserve implements board.ClaimReserve.
func (e *claimsEntry) Reserve(now clock.Stamp, _ string, a claim.Asker, capacity float64, entries int) float64 {
	return e.planner.Reserve(now, a, capacity, entries)
}

// claimsTarget is one target, with its queue in the order of arrival.
type claimsTarget struct {
	running int
	waiting []*claimsCaller
}

// claimsCaller is a caller with its one request.
type claimsCaller struct {
	content   uint64
	workspace int
	arrivedAt time.Duration
	impatient bool
	attempts  int
	admission board.Admission
	run       *board.Attempt
	served    bool
	latency   time.Duration
	// told reports whether the first refusal named a time before the deadline, claimed whether it came
	// with a claim, and honoured whether the claim admitted the request.
	told, claimed, honoured bool
}

const (
	claimsWorkspaces = 24
	// hotShare is the share of the usual load that w0 sends. With 12 times its load, the load of all is
	// 3.5 times the usual one.
	hotShare = 2.5 / 11
	// lookupTimeout is the time until the second holder is asked, or the lookup ends.
	lookupTimeout = 8 * time.Millisecond
	// claimDatagram is the size of a datagram about a claim with its headers.
	claimDatagram = 29 + 32
)

func newClaimsRun(cfg ClaimsConfig) *claimsRun {
	s := &claimsRun{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 2)), arrivals: rand.New(rand.NewPCG(cfg.Seed, 3)), targets: make(map[string]*claimsTarget),
		service: &chestnutstep.Service{Name: serviceName, LatencyObjective: cfg.Objective},
		view: &roster.View{
			Services: make(map[string][]*roster.Target), ByID: make(map[string]*roster.Target), Out: make(map[string]bool),
		},
	}
	for i := range cfg.Targets {
		x := &roster.Target{Instance: chestnutstep.Instance{ID: fmt.Sprint("t", i), Service: serviceName, Domain: "d", Slots: cfg.Slots}}
		s.view.Services[serviceName] = append(s.view.Services[serviceName], x)
		s.view.ByID[x.ID] = x
		s.targets[x.ID] = &claimsTarget{}
	}
	for i := range cfg.Entries {
		e := &claimsEntry{Member: origin.Member{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Domain: uint32(i % 3)}}
		e.Self = e.Addr
		if cfg.Claims {
			e.Claims = e
		}
		s.entries, s.members = append(s.entries, e), append(s.members, e.Member)
	}
	return s
}

func (s *claimsRun) clock() clock.Stamp { return clock.Stamp(time.Hour + s.now) }

// exchangeReports sends one report from every entry to every other entry, at different times.
func (s *claimsRun) exchangeReports() {
	for i, from := range s.entries {
		if i < s.gone {
			continue
		}
		s.after(s.cfg.ReportInterval*time.Duration(i)/time.Duration(len(s.entries)), func() {
			r := &share.Report{From: from.Addr, Loads: from.Loads(), Reservations: from.Kept(s.clock())}
			for _, to := range s.entries {
				if to != from {
					to.MergeReport(s.clock(), r)
				}
			}
		})
	}
}

func (s *claimsRun) inSurge(at time.Duration) bool {
	return at >= s.cfg.Warmup && at < s.cfg.Warmup+s.cfg.Surge
}

// turn begins the next period with more or less than the offered load, of a third to five thirds of the mean length.
func (s *claimsRun) turn() {
	if s.swing > 0 {
		s.swing = -s.cfg.Swing
	} else {
		s.swing = s.cfg.Swing
	}
	s.after(time.Duration((1+(s.arrivals.Float64()*2-1)*2/3)*float64(s.cfg.Clump)), s.turn)
}

// arrive generates a caller and schedules the next arrival.
func (s *claimsRun) arrive() {
	load, hot := s.cfg.Usual, hotShare
	switch {
	case !s.inSurge(s.now):
	case s.cfg.HotFactor > 0:
		load *= 1 + hotShare*(s.cfg.HotFactor-1)
		hot = hotShare * s.cfg.HotFactor * s.cfg.Usual / load
	default:
		load = s.cfg.Offered * (1 + s.swing)
	}
	rate := load * float64(s.cfg.Targets*s.cfg.Slots) / s.cfg.Work.Seconds()
	s.after(time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.seq++
	c := &claimsCaller{content: uint64(s.seq), arrivedAt: s.now, impatient: s.arrivals.Float64() < s.cfg.Impatient}
	if s.arrivals.Float64() >= hot {
		c.workspace = 1 + s.arrivals.IntN(claimsWorkspaces-1)
	}
	if s.inSurge(s.now) {
		s.callers = append(s.callers, c)
	}
	s.send(c)
}

// remaining returns the time until the caller's deadline.
func (s *claimsRun) remaining(c *claimsCaller) time.Duration {
	return c.arrivedAt + s.cfg.Deadline - s.now
}

// send makes an attempt of a caller at a random entry.
func (s *claimsRun) send(c *claimsCaller) {
	c.attempts++
	e := s.entries[s.gone+s.rand.IntN(len(s.entries)-s.gone)]
	elapsed := e.limits.Elapsed(s.clock(), serviceName, s.remaining(c))
	if s.admit(e, c, board.Criteria{Late: elapsed > s.cfg.Objective}) {
		return
	}
	if !s.cfg.Claims || !claim.MayHaveClaim(elapsed, s.cfg.Objective) {
		s.refuse(e, c, elapsed)
		return
	}
	s.lookUp(e, c, origin.Holders(origin.StreamID(c.content), s.members, 2), func(a claim.Answer) {
		switch a.State {
		case claim.Valid:
			c.honoured = s.admit(e, c, board.Criteria{Claimed: true})
			if !c.honoured {
				s.refuse(e, c, elapsed)
			}
		case claim.Early:
			s.comeBack(c, a.Wait)
		case claim.Unknown, claim.Used:
			s.refuse(e, c, elapsed)
		}
	})
}

// lookUp asks the holders one after the other.
func (s *claimsRun) lookUp(e *claimsEntry, c *claimsCaller, holders []origin.Member, done func(claim.Answer)) {
	if len(holders) == 0 {
		done(claim.Answer{})
		return
	}
	id := claim.LookupID{From: e.Addr.String(), Number: c.content}
	next := func() { s.lookUp(e, c, holders[1:], done) }
	timedOut := func() { s.after(lookupTimeout, next) }
	s.datagram(e, holders[0], func(h *claimsEntry) {
		a := h.ledger.Take(s.clock(), c.content, id)
		s.datagram(h, e.Member, func(*claimsEntry) {
			if a.State == claim.Unknown {
				next()
				return
			}
			done(a)
		}, timedOut)
	}, timedOut)
}

// datagram sends a datagram to an entry, and calls lost instead if it does not arrive or can't be sent.
func (s *claimsRun) datagram(from *claimsEntry, to origin.Member, arrived func(*claimsEntry), lost func()) {
	if !from.budget.CanSend(s.clock()) {
		lost()
		return
	}
	from.budget.Use(claimDatagram)
	s.bytes += claimDatagram
	i := slices.Index(s.members, to)
	if i < s.gone || s.rand.Float64() < s.cfg.Loss {
		lost()
		return
	}
	s.after(s.cfg.OneWay, func() { arrived(s.entries[i]) })
}

// admit asks an entry for a place, and sends the request to the target.
func (s *claimsRun) admit(e *claimsEntry, c *claimsCaller, criteria board.Criteria) bool {
	caller := board.Caller{Workspace: fmt.Sprint("w", c.workspace), Objective: s.cfg.Objective}
	criteria.Caller = &caller
	choice := e.Choose(s.clock(), s.view, s.service, criteria, place.Request{Key: c.content})
	c.admission = choice.Admission
	if !choice.Admission.Admitted {
		return false
	}
	t := s.targets[choice.ID]
	c.run = e.Start(s.clock(), choice.Target, s.service, nil, 0, caller)
	if t.running >= s.cfg.Slots && len(t.waiting) >= s.cfg.Queue {
		c.run.End(s.clock(), board.Refused)
		return false
	}
	t.waiting = append(t.waiting, c)
	s.begin(t)
	s.after(s.remaining(c), func() { s.expire(t, c) })
	return true
}

// refuse tells a caller when to return.
func (s *claimsRun) refuse(e *claimsEntry, c *claimsCaller, elapsed time.Duration) {
	id := fmt.Sprint(c.content, "-", c.attempts)
	if !s.cfg.Claims {
		s.comeBack(c, admit.RetryAfter(id, s.cfg.Objective))
		return
	}
	plan := e.planner.Plan(s.clock(), claim.Shortage{
		ID: id, Workspace: fmt.Sprint("w", c.workspace), WithinShare: !c.admission.Admitted && c.admission.Yield == admit.YieldNone,
		Remaining: s.remaining(c), Elapsed: elapsed, Objective: s.cfg.Objective,
		Hold: c.admission.Hold, Released: c.admission.Released, Free: c.admission.Free,
	})
	if plan.Wait == 0 {
		plan.Wait = admit.RetryAfter(id, s.cfg.Objective)
	}
	if plan.Granted {
		c.claimed = c.claimed || c.attempts == 1
		for i, h := range origin.Holders(origin.StreamID(c.content), s.members, 2) {
			s.datagram(e, h, func(holder *claimsEntry) {
				holder.ledger.Add(s.clock(), c.content, plan.Wait-s.cfg.OneWay, i == 0)
			}, func() {})
		}
	}
	s.comeBack(c, plan.Wait)
}

// comeBack schedules the second attempt of a caller that was told to return after a time.
func (s *claimsRun) comeBack(c *claimsCaller, after time.Duration) {
	if c.attempts > 1 {
		return
	}
	c.told = after < s.remaining(c)
	if c.impatient {
		s.after(time.Duration(5+s.rand.IntN(46))*time.Millisecond, func() { s.send(c) })
		return
	}
	if s.cfg.GivesUp && !c.told {
		return
	}
	s.after(min(after, s.remaining(c)/3)+3*time.Millisecond, func() { s.send(c) })
}

// begin starts queued requests while the target has free slots.
func (s *claimsRun) begin(t *claimsTarget) {
	for t.running < s.cfg.Slots && len(t.waiting) > 0 {
		c := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running++
		if s.inSurge(s.now) {
			s.busy += s.cfg.Work
		}
		s.after(s.cfg.Work, func() { s.end(t, c) })
	}
}

// end answers a request. Targets complete what they have started, also if its caller has left.
func (s *claimsRun) end(t *claimsTarget, c *claimsCaller) {
	t.running--
	c.run.FirstByte(s.clock())
	c.run.End(s.clock(), board.Served)
	c.latency = s.now - c.arrivedAt
	c.served = c.latency <= s.cfg.Deadline
	s.begin(t)
}

// expire removes a request that is still queued at its deadline.
func (s *claimsRun) expire(t *claimsTarget, c *claimsCaller) {
	if i := slices.Index(t.waiting, c); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		c.run.End(s.clock(), board.Canceled)
	}
}
