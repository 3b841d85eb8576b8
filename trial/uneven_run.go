package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/place"
)

// unevenRun is the state of one RunUneven.
type unevenRun struct {
	eventLoop
	cfg     UnevenConfig
	rand    *rand.Rand
	targets []*unevenTarget
	ring    place.Ring
	// own is the number of requests in progress by entry and target.
	own [unevenEntries][]int
	// prefixes holds the keys of the prefixes in use.
	prefixes   []uint64
	nextPrefix uint64
	// all holds every target as the entry sees it, list the candidates of a choice and indexes their
	// indexes in targets.
	all, list  []place.Candidate
	indexes    []int
	arrived    int
	firstBytes []time.Duration
	slow       int
	misses     int
	result     UnevenResult
}

// unevenTarget runs up to Slots requests and queues the others in the order of their arrival.
type unevenTarget struct {
	id       string
	domain   int
	slowdown float64
	running  int
	waiting  []*unevenRequest
	// readUntil is the time at which all prompts sent so far are read.
	readUntil time.Duration
	cached    map[uint64]bool
	// readings holds a reading for each sampleInterval.
	readings []unevenReading
	received int
	fair     float64
}

type unevenReading struct {
	slowdown         float64
	running, waiting int
	pendingTokens    float64
}

type unevenRequest struct {
	entry   int
	target  int
	key     uint64
	work    time.Duration
	arrived time.Duration
}

func (g *unevenTarget) reading(now time.Duration) unevenReading {
	pending := milliseconds(max(g.readUntil-now, 0)) * place.PrefillRate / g.slowdown
	return unevenReading{g.slowdown, g.running, len(g.waiting), pending}
}

func newUneven(cfg UnevenConfig) *unevenRun {
	s := &unevenRun{cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 2))}
	var ids []string
	for i := range cfg.Targets {
		g := &unevenTarget{id: fmt.Sprint("t", i), domain: i % unevenDomains, slowdown: 1, cached: make(map[uint64]bool)}
		ids = append(ids, g.id)
		s.targets = append(s.targets, g)
		if cfg.SlowRatio > 0 {
			s.after(s.usualTime(), func() { s.slowDown(g) })
		}
	}
	s.ring.Update(ids, nil)
	for i := range s.own {
		s.own[i] = make([]int, cfg.Targets)
	}
	for range unevenPrefixes {
		s.prefixes = append(s.prefixes, s.newPrefix())
	}
	return s
}

// usualTime draws how long a target keeps its usual speed.
func (s *unevenRun) usualTime() time.Duration {
	return time.Duration(s.rand.ExpFloat64() * float64(slowTime) * (1 - s.cfg.SlowRatio) / s.cfg.SlowRatio)
}

// slowDown makes a target slow for slowTime.
func (s *unevenRun) slowDown(g *unevenTarget) {
	g.slowdown = slowFactor
	s.after(slowTime, func() {
		g.slowdown = 1
		s.after(s.usualTime(), func() { s.slowDown(g) })
	})
}

func (s *unevenRun) newPrefix() uint64 {
	s.nextPrefix++
	return s.nextPrefix * 0x9e3779b97f4a7c15
}

// sample records a reading of each target, and the part of the last arrivals that would have been
// fair for it.
func (s *unevenRun) sample() {
	speed := 0.0
	for _, g := range s.targets {
		g.readings = append(g.readings, g.reading(s.now))
		speed += 1 / g.slowdown
	}
	for _, g := range s.targets {
		g.fair += float64(s.arrived) / g.slowdown / speed
	}
	s.arrived = 0
}

func (s *unevenRun) closeWindow() {
	for _, g := range s.targets {
		s.result.LargestPart = max(s.result.LargestPart, float64(g.received)/max(g.fair, 1))
		g.received, g.fair = 0, 0
	}
}

// arrive generates a request at a random entry and schedules the next arrival.
func (s *unevenRun) arrive() {
	s.after(time.Duration(s.rand.ExpFloat64()/s.cfg.Rate*float64(time.Second)), s.arrive)
	r := &unevenRequest{entry: s.randomEntry(), key: s.rand.Uint64(), arrived: s.now}
	s.arrived++
	if s.cfg.Engine {
		i := int(unevenPrefixes * math.Pow(s.rand.Float64(), popularitySkew))
		if s.rand.Float64() < newPrefixRatio {
			i = s.rand.IntN(unevenPrefixes)
			s.prefixes[i] = s.newPrefix()
		}
		r.key, r.work = s.prefixes[i], time.Duration(s.rand.ExpFloat64()*float64(streamTime))
	} else {
		r.work = plainWork
		if s.rand.Float64() < 0.01 {
			r.work += time.Duration(s.rand.Float64() * float64(longWork-plainWork))
		}
	}
	r.target = s.choose(r)
	g := s.targets[r.target]
	g.received++
	if !s.cfg.Engine && len(g.waiting) >= plainQueue {
		s.result.Refused++
		return
	}
	s.own[r.entry][r.target]++
	g.waiting = append(g.waiting, r)
	s.begin(g)
}

func (s *unevenRun) randomEntry() int {
	entry := s.rand.IntN(unevenEntries)
	if s.cfg.DomainRates == nil {
		return entry
	}
	u := s.rand.Float64()
	for domain, rate := range s.cfg.DomainRates {
		if u -= rate; u < 0 {
			return entry - entry%unevenDomains + domain
		}
	}
	return entry
}

// choose returns the index of the target for a request.
func (s *unevenRun) choose(r *unevenRequest) int {
	if s.cfg.Policy == BestAtAge || s.cfg.Policy == Perfect {
		return s.earliest(r)
	}
	var totals place.Totals
	s.all = s.all[:0]
	for i, g := range s.targets {
		s.all = append(s.all, s.candidate(r, i, g))
		totals.Add(&s.all[i])
	}
	req := place.Request{Key: r.key, Ceiling: totals.Ceiling(0)}
	if s.cfg.Engine {
		req.Tokens, req.Shared = unevenShared+unevenOwn, unevenShared
	}
	s.shortlist(&req)
	c, _ := place.Pick(s.list, place.Donor{}, req)
	return s.indexes[c.Index]
}

// shortlist selects the candidates as package board does: in the order of the request's hash until
// enough of them have room, plus those that hold the prefix.
func (s *unevenRun) shortlist(req *place.Request) {
	s.list, s.indexes = s.list[:0], s.indexes[:0]
	listed, fitting := make([]bool, len(s.all)), 0
	add := func(i int) {
		listed[i] = true
		s.list, s.indexes = append(s.list, s.all[i]), append(s.indexes, i)
	}
	s.ring.Walk(req.Key, func(i int) bool {
		if len(s.list) < place.HashCandidates {
			s.all[i].HashRank = len(s.list) + 1
		}
		add(i)
		if s.all[i].Fits(req.Ceiling) {
			fitting++
		}
		return fitting < shortlistSize
	})
	if req.Shared == 0 {
		return
	}
	for i := range s.all {
		if !listed[i] && s.all[i].CachedTokens >= place.MinHolderTokens(req.Shared) {
			add(i)
		}
	}
}

// candidate returns a target as an entry sees it.
func (s *unevenRun) candidate(r *unevenRequest, i int, g *unevenTarget) place.Candidate {
	c := place.Candidate{ID: g.id, Slots: s.cfg.Slots, Running: float64(s.own[r.entry][i]), OtherDomain: g.domain != r.entry%unevenDomains}
	c.Hold = milliseconds(plainWork)
	if s.cfg.Engine {
		c.Hold = milliseconds(streamTime)
	}
	c.Limit = admit.Capacity(s.cfg.Slots, time.Duration(c.Hold*float64(time.Millisecond)), s.cfg.Patience)
	if g.cached[r.key] {
		c.CachedTokens = unevenShared
	}
	reading, ok := s.reading(g)
	if !ok {
		return c
	}
	c.Running = max(c.Running, float64(reading.running+reading.waiting))
	c.PendingTokens = reading.pendingTokens
	if s.cfg.Policy == WithSpeed {
		c.Slowdown, c.Waiting = reading.slowdown, float64(reading.waiting)
	}
	return c
}

// reading returns the newest reading of a target that entries have.
func (s *unevenRun) reading(g *unevenTarget) (unevenReading, bool) {
	if s.cfg.Age == 0 {
		return g.reading(s.now), true
	}
	i := int((s.now-s.cfg.Age)/sampleInterval) - 1
	if s.cfg.Age < 0 || i < 0 || i >= len(g.readings) {
		return unevenReading{slowdown: 1}, false
	}
	return g.readings[i], true
}

// earliest returns the target with the earliest first byte. Ties go to the least loaded target.
func (s *unevenRun) earliest(r *unevenRequest) int {
	best, least := 0, math.Inf(1)
	for i, g := range s.targets {
		slowdown := g.slowdown
		if s.cfg.Policy == BestAtAge {
			reading, _ := s.reading(g)
			slowdown = reading.slowdown
		}
		n := g.running + len(g.waiting)
		ms := milliseconds(s.delay(r, g)) + 0.01*float64(n)
		if s.cfg.Engine {
			ms += milliseconds(max(g.readUntil-s.now, 0)) + slowdown*(float64(s.missing(r, g))/place.PrefillRate+float64(n)*place.LoadCost)
		} else {
			ms += slowdown * milliseconds(plainWork) * (1 + max(float64(n-s.cfg.Slots+1), 0)/float64(s.cfg.Slots))
		}
		if s.cfg.Engine && n >= s.cfg.Slots {
			ms += milliseconds(streamTime)
		}
		if ms < least {
			best, least = i, ms
		}
	}
	return best
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// delay returns the delays of the network, both ways.
func (s *unevenRun) delay(r *unevenRequest, g *unevenTarget) time.Duration {
	if g.domain == r.entry%unevenDomains {
		return 2 * callerDelay
	}
	return 2 * (callerDelay + domainDelay)
}

func (s *unevenRun) missing(r *unevenRequest, g *unevenTarget) int {
	if g.cached[r.key] {
		return unevenOwn
	}
	return unevenOwn + unevenShared
}

// begin starts queued requests while the target has free slots. Work goes on at the speed that the
// target has at its start.
func (s *unevenRun) begin(g *unevenTarget) {
	for g.running < s.cfg.Slots && len(g.waiting) > 0 {
		r := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.running++
		if g.slowdown > 1 {
			s.slow++
		}
		first, end := s.serve(r, g)
		s.firstBytes = append(s.firstBytes, first+s.delay(r, g)-r.arrived)
		s.after(end-s.now, func() {
			g.running--
			s.own[r.entry][r.target]--
			s.begin(g)
		})
	}
}

// serve returns the times of the first byte and of the end.
func (s *unevenRun) serve(r *unevenRequest, g *unevenTarget) (first, end time.Duration) {
	if !s.cfg.Engine {
		end = s.now + time.Duration(g.slowdown*float64(r.work))
		return end, end
	}
	missing := s.missing(r, g)
	if missing > unevenOwn {
		s.misses++
	}
	g.cached[r.key] = true
	read := time.Duration(g.slowdown * float64(missing) / place.PrefillRate * float64(time.Millisecond))
	g.readUntil = max(g.readUntil, s.now) + read
	first = g.readUntil + time.Duration(g.slowdown*float64(g.running)*place.LoadCost*float64(time.Millisecond))
	return first, first + r.work
}
