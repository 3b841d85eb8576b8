package board

import (
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// sampleSize is how many targets with free capacity a choice evaluates, in addition to
	// those that hold the prefix. The least loaded of this sample has almost the same load as
	// the least loaded of all.
	sampleSize = 16
	// maxHolders limits how many holders of a prefix a choice evaluates: parts shared by many
	// prompts are in every cache.
	maxHolders = 32
	// maxSpareSlowdown is the reported slowdown above which a target gets no request with Spare: a
	// request that waits elsewhere is likely to be answered first there.
	maxSpareSlowdown = 1.5
)

// Criteria describes which targets can take a request.
type Criteria struct {
	Parts []chestnutstep.PromptPart
	// Domain is the failure domain of the entry.
	Domain string
	// DomainAllowed reports whether targets of a failure domain can take the request; nil
	// allows all.
	DomainAllowed func(domain string) bool
	// Build restricts the choice to targets of a build; empty allows all.
	Build string
	// Skip lists targets that already received the request.
	Skip []string
	// IncludeDown includes targets that are marked down, for use if no other is left.
	IncludeDown bool
	// Caller is set if the request needs a place; nil if it already has one.
	Caller *Caller
	// Claimed is set if the caller was told to return now, see package claim.
	Claimed bool
	// Late is set if the request can't meet its objective any more, because its caller was refused
	// before.
	Late bool
	// CapFactor is the multiple of the mean load that no target should exceed; 0 for the
	// default.
	CapFactor float64
	// VerifyHost is set if a dead host would cost the request more than a handshake, because
	// the request must run at most once or has already lost time.
	VerifyHost bool
	// Spare is set if the request is only worth sending to a target in a good state: none that is
	// cold, suspected, marked down or slow by its own report.
	Spare bool
}

// Choice is the result of choosing a target for a request.
type Choice struct {
	// Target is nil if no target can take the request.
	Target *roster.Target
	place.Candidate
	Request place.Request
	// Donor is the target to fetch the missing prefix from; the zero Donor if it is not
	// fetched.
	Donor place.Donor
	// Cost is the expected time to the first byte, in milliseconds.
	Cost float64
	// NewConnection reports whether the request should open a connection to verify that the
	// host is reachable.
	NewConnection bool
	// PausedUntil is the earliest end of a pause if all targets that could take the request asked for
	// one; 0 otherwise.
	PausedUntil clock.Stamp
	// Eligible is the number of targets that could have taken the request.
	Eligible int
	// Taken is the part of the places that is taken at all of them.
	Taken float64
	// Admission is the result of admission; it is admitted if the request did not ask for a
	// place.
	Admission Admission
}

// ReusableTokens returns the number of prompt tokens that the target does not have to read.
func (c *Choice) ReusableTokens() int { return max(c.CachedTokens, c.Donor.CachedTokens) }

// lookup holds the values that are the same for all targets during one choice.
type lookup struct {
	now         clock.Stamp
	service     *chestnutstep.Service
	criteria    *Criteria
	serviceTime time.Duration
	patience    time.Duration
	// requestsPerSlot is how many requests a target can have per slot.
	requestsPerSlot float64
	totals          place.Totals
	ceiling         float64
	pauses          pauses
}

// Choose selects the target for a request. Its cost does not grow with the number of targets,
// unless few of them have free capacity.
func (b *Board) Choose(now clock.Stamp, v *roster.View, service *chestnutstep.Service, criteria Criteria, req place.Request) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	b.expire(now)
	b.startChoice()
	defer b.endChoice()
	ix := b.serviceIndex(now, v, service)
	b.refreshTotals(now, ix)
	l := b.newLookup(now, service, &criteria)
	b.computeTotals(&l, ix)
	if l.totals.Targets == 0 && !criteria.IncludeDown && !criteria.Spare {
		criteria.IncludeDown = true
		b.computeTotals(&l, ix)
	}
	c := Choice{Request: req, Eligible: l.totals.Targets, Taken: l.totals.Taken(), Admission: Admission{Admitted: true}, PausedUntil: l.pausedUntil()}
	if criteria.Caller != nil {
		if c.Admission = b.admitTo(now, &l); !c.Admission.Admitted {
			return c
		}
	}
	var donor place.Donor
	if service.IsEngine {
		donor = b.donor(now, ix, criteria.Parts)
	}
	l.ceiling = b.ceiling(&l, ix)
	req.Ceiling = l.ceiling
	list := b.shortlist(&l, ix, &req)
	if criteria.Spare {
		list = slices.DeleteFunc(list, func(c place.Candidate) bool { return c.Slowdown > maxSpareSlowdown })
	}
	picked, ok := place.Pick(list, donor, req)
	if !ok {
		return c
	}
	c.Candidate, c.Cost = list[picked.Index], picked.Cost
	c.Target = v.ByID[c.ID]
	c.NewConnection = b.needsHandshake(now, b.state(loadKey(c.ID)), criteria.VerifyHost)
	if picked.Fetch {
		c.Donor = donor
	}
	return c
}

func (b *Board) newLookup(now clock.Stamp, service *chestnutstep.Service, criteria *Criteria) lookup {
	l := lookup{
		now: now, service: service, criteria: criteria,
		serviceTime: b.serviceState(service.Name).durations.Mean(),
		patience:    time.Duration(patienceRatio * float64(service.LatencyObjective)),
	}
	l.requestsPerSlot = admit.Capacity(1, l.serviceTime, l.patience)
	return l
}

// ceiling returns the load that no target should exceed. It depends on the mean load of all builds:
// the load of a build's last target must not count as the mean.
func (b *Board) ceiling(l *lookup, ix *serviceIndex) float64 {
	if l.criteria.Build == "" {
		return l.totals.Ceiling(l.criteria.CapFactor)
	}
	all, criteria := *l, *l.criteria
	criteria.Build, all.criteria = "", &criteria
	b.computeTotals(&all, ix)
	b.setAllowedDomains(l, ix)
	return all.totals.Ceiling(criteria.CapFactor)
}

// admitTo decides on admission to the targets that can take the request. A stream that goes on at
// its build had its share of the places when it began: it only needs a free place.
func (b *Board) admitTo(now clock.Stamp, l *lookup) Admission {
	taken := l.totals.Taken()
	if l.criteria.Build != "" {
		return Admission{Admitted: taken < 1, Taken: taken, Reason: chestnutstep.ReasonFull}
	}
	return b.admit(now, l, taken)
}

// computeTotals sums up the targets that can take the request.
func (b *Board) computeTotals(l *lookup, ix *serviceIndex) {
	l.totals, l.pauses = place.Totals{}, pauses{}
	b.setAllowedDomains(l, ix)
	for _, d := range ix.totals {
		if d.allowed {
			l.addDomain(d)
		}
	}
	for _, m := range ix.recentlySent {
		if !m.individual && m.totals.allowed {
			l.totals.Unreported += b.unreportedInTotals(l, m)
		}
	}
	for _, id := range l.criteria.Skip {
		if s := b.targets[loadKey(id)]; s != nil && s.member != nil && !s.member.individual && s.member.totals.allowed {
			l.pauses.available = true
			l.subtractSkipped(b, s.member)
		}
	}
	for _, m := range ix.individual {
		if c, ok := b.candidate(l, m); ok {
			l.totals.Add(&c)
		}
	}
}

// setAllowedDomains marks the failure domains and builds whose targets can take the request.
func (b *Board) setAllowedDomains(l *lookup, ix *serviceIndex) {
	for _, d := range ix.totals {
		allowed := l.criteria.Build == "" || l.criteria.Build == d.build
		allowed = allowed && (l.criteria.DomainAllowed == nil || l.criteria.DomainAllowed(d.domain))
		d.allowed = allowed && (l.criteria.IncludeDown || !b.domains[d.domain].isUnreachable(l.now))
	}
}

func (l *lookup) addDomain(d *domainTotals) {
	l.totals.Targets += d.targets
	l.totals.Warm += d.targets
	l.totals.Running += float64(d.running)
	l.totals.WarmRunning += float64(d.running)
	l.totals.Capacity += l.requestsPerSlot * float64(d.slots)
	l.totals.Unlimited = l.totals.Unlimited || d.unlimited > 0
}

// unreportedInTotals estimates the unreported requests at a target that is in the totals. Many targets have
// none of the recent readings; these are not looked up.
func (b *Board) unreportedInTotals(l *lookup, m *indexMember) float64 {
	sent := m.state.recentSent.at(l.now)
	if l.now < m.readingUntil {
		sent = b.reading(l.now, m).recentSent
	}
	return b.unreported(sent, l.requestsPerSlot*float64(m.Slots))
}

// subtractSkipped removes a target that already received the request from the totals.
func (l *lookup) subtractSkipped(b *Board, m *indexMember) {
	running := float64(b.runningAt(m))
	l.totals.Targets--
	l.totals.Warm--
	l.totals.Running -= running
	l.totals.WarmRunning -= running
	l.totals.Capacity -= l.requestsPerSlot * float64(m.Slots)
	l.totals.Unreported -= b.unreportedInTotals(l, m)
}

// shortlist returns the targets to evaluate: in the order of the request's hash until enough of
// them have free capacity, plus those that hold the prefix. It returns all targets if few have
// free capacity. The list is valid until the next call.
func (b *Board) shortlist(l *lookup, ix *serviceIndex, req *place.Request) []place.Candidate {
	ix.choiceSeq++
	list := b.scratch[:0]
	fitting := 0
	ix.ring.Walk(req.Key, func(i int) bool {
		m := ix.members[i]
		m.choiceSeq = ix.choiceSeq
		c, ok := b.candidate(l, m)
		if !ok {
			return true
		}
		if len(list) < place.HashCandidates {
			c.HashRank = len(list) + 1
		}
		list = append(list, c)
		if c.Fits(l.ceiling) {
			fitting++
		}
		return fitting < sampleSize
	})
	list = b.addHolders(l, ix, req, list)
	b.scratch = list
	return list
}

// addHolders appends the targets that hold enough of the prefix and are not in the list yet.
func (b *Board) addHolders(l *lookup, ix *serviceIndex, req *place.Request, list []place.Candidate) []place.Candidate {
	if req.Shared <= 0 {
		return list
	}
	remaining, minTokens := maxHolders, place.MinHolderTokens(req.Shared)
	tokens := 0
	for _, p := range l.criteria.Parts {
		if tokens += p.Tokens; tokens < minTokens {
			continue
		}
		for cache := range b.cachedParts[uint32(p.ID)] {
			if remaining--; remaining < 0 {
				break
			}
			m := ix.caches[cache]
			if m == nil || m.choiceSeq == ix.choiceSeq {
				continue
			}
			m.choiceSeq = ix.choiceSeq
			if c, ok := b.candidate(l, m); ok {
				list = append(list, c)
			}
		}
		break
	}
	return list
}

// donor returns the target with the longest prefix to fetch from, and among equals the least
// loaded, because a target serves fetches one after the other. A leaving target can be the
// donor while it still answers: the parts that only it holds would otherwise be lost.
func (b *Board) donor(now clock.Stamp, ix *serviceIndex, parts []chestnutstep.PromptPart) place.Donor {
	var best place.Donor
	for i := len(parts) - 1; i >= 0 && best.CachedTokens == 0; i-- {
		remaining := maxHolders
		for cache := range b.cachedParts[uint32(parts[i].ID)] {
			if remaining--; remaining < 0 {
				break
			}
			if m := ix.caches[cache]; m != nil && !m.state.health.isDown(now) && now >= m.ColdUntil && !b.isPaused(now, m) {
				b.compareDonor(now, &best, m, parts)
			}
		}
	}
	return best
}

// compareDonor replaces best with m if m is the better donor.
func (b *Board) compareDonor(now clock.Stamp, best *place.Donor, m *indexMember, parts []chestnutstep.PromptPart) {
	cached := b.cachedTokens(now, m.cacheKey, parts, true)
	load := float64(b.runningAt(m))
	if cached > best.CachedTokens || cached == best.CachedTokens && cached > 0 && load < best.Running {
		*best = place.Donor{ID: m.ID, Address: m.Address, CachedTokens: cached, Running: load}
	}
}
