package board

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// sampleSize is how many targets with a place a choice looks at, beside those that hold the
	// prefix: the least loaded of so many is hardly worse than that of all.
	sampleSize = 16
	// maxHolders bounds the holders of a prefix that a choice looks at: parts that many
	// prompts share are in every cache.
	maxHolders = 32
)

// Criteria says what a request wants of a target.
type Criteria struct {
	Parts []chestnutstep.PromptPart
	// Domain of the entry.
	Domain string
	// DomainAllowed says whether targets of a failure domain may have the request; nil
	// for all.
	DomainAllowed func(domain string) bool
	// Skip are targets that had the request already.
	Skip []string
	// IncludeDown may be used when nothing else is left.
	IncludeDown bool
	// Caller asks for a place; nil where the request has one.
	Caller *Caller
	// CapFactor is the multiple of the mean load that no target may carry; 0 where none is set.
	CapFactor float64
	// VerifyHost says that a dead host would cost the request more than a handshake: it may run
	// only once, or has lost time already.
	VerifyHost bool
}

// Choice is the target for a request.
type Choice struct {
	// Target is nil where there is none for the request.
	Target *roster.Target
	place.Candidate
	Request place.Request
	// Donor is where the missing prefix is fetched from; the zero Donor for nowhere.
	Donor place.Donor
	// Cost is the expected milliseconds to the first byte.
	Cost float64
	// NewConnection says that the request should open a connection, to verify that the host is there.
	NewConnection bool
	// Eligible is the number of targets that might have taken the request.
	Eligible int
	// Admission is what is known of the places; Free where the request did not ask for one.
	Admission Admission
}

// ReusableTokens is the tokens of the prompt that the target need not read.
func (c *Choice) ReusableTokens() int { return max(c.CachedTokens, c.Donor.CachedTokens) }

// lookup is what holds for all targets during one choice.
type lookup struct {
	now         clock.Stamp
	service     *chestnutstep.Service
	criteria    *Criteria
	serviceTime time.Duration
	patience    time.Duration
	// requestsPerSlot is how many requests each slot of a target may have.
	requestsPerSlot float64
	totals          place.Totals
	ceiling         float64
}

// Choose picks the target for a request. Its cost does not grow with the number of targets,
// but where hardly any of them has a place.
func (b *Board) Choose(now clock.Stamp, v *roster.View, service *chestnutstep.Service, criteria Criteria, req place.Request) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	b.expire(now)
	ix := b.serviceIndex(now, v, service)
	b.refreshTotals(now, ix)
	l := b.newLookup(now, service, &criteria)
	b.computeTotals(&l, ix)
	if l.totals.Targets == 0 && !criteria.IncludeDown {
		criteria.IncludeDown = true
		b.computeTotals(&l, ix)
	}
	c := Choice{Request: req, Eligible: l.totals.Targets, Admission: Admission{Admitted: true}}
	if criteria.Caller != nil {
		if c.Admission = b.admit(now, service.Name, l.totals.Taken(), *criteria.Caller); !c.Admission.Admitted {
			return c
		}
	}
	var donor place.Donor
	if service.IsEngine {
		donor = b.donor(now, ix, criteria.Parts)
	}
	l.ceiling = l.totals.Ceiling(criteria.CapFactor)
	req.Ceiling = l.ceiling
	list := b.shortlist(&l, ix, &req)
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
		serviceTime: b.serviceState(service.Name).pace.Mean(),
		patience:    time.Duration(patienceRatio * float64(service.LatencyObjective)),
	}
	l.requestsPerSlot = admit.Capacity(1, l.serviceTime, l.patience)
	return l
}

// computeTotals adds up the targets that may take the request.
func (b *Board) computeTotals(l *lookup, ix *serviceIndex) {
	l.totals = place.Totals{}
	b.setAllowedDomains(l, ix)
	for _, a := range ix.totals {
		if a.allowed {
			l.addDomain(a)
		}
	}
	for _, m := range ix.recentlySent {
		if !m.individual && m.totals.allowed {
			l.totals.Unreported += b.unreported(l.now, m.state, l.requestsPerSlot*float64(m.Slots))
		}
	}
	for _, id := range l.criteria.Skip {
		if s := b.targets[loadKey(id)]; s != nil && s.member != nil && !s.member.individual && s.member.totals.allowed {
			l.subtractSkipped(b, s.member)
		}
	}
	for _, m := range ix.individual {
		if c, ok := b.candidate(l, m); ok {
			l.totals.Add(&c)
		}
	}
}

// setAllowedDomains notes which failure domains may have the request.
func (b *Board) setAllowedDomains(l *lookup, ix *serviceIndex) {
	for _, a := range ix.totals {
		allowed := l.criteria.DomainAllowed == nil || l.criteria.DomainAllowed(a.domain)
		a.allowed = allowed && (l.criteria.IncludeDown || !b.domains[a.domain].isUnreachable(l.now))
	}
}

func (l *lookup) addDomain(a *domainTotals) {
	l.totals.Targets += a.targets
	l.totals.Warm += a.targets
	l.totals.Running += float64(a.running)
	l.totals.WarmRunning += float64(a.running)
	l.totals.Capacity += l.requestsPerSlot * float64(a.slots)
	l.totals.Unlimited = l.totals.Unlimited || a.unlimited > 0
}

// subtractSkipped takes a target that had the request already out of the sums.
func (l *lookup) subtractSkipped(b *Board, m *indexMember) {
	running := float64(b.runningAt(m))
	l.totals.Targets--
	l.totals.Warm--
	l.totals.Running -= running
	l.totals.WarmRunning -= running
	l.totals.Capacity -= l.requestsPerSlot * float64(m.Slots)
	l.totals.Unreported -= b.unreported(l.now, m.state, l.requestsPerSlot*float64(m.Slots))
}

// shortlist lists the targets worth a closer look: in the order of the request's hash until
// enough of them have a place, and those that hold the prefix. All are listed where few have
// a place. The list is valid until the next call.
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

// addHolders adds the targets that hold enough of the prefix and were not looked at yet.
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

// donor returns the target with the longest prefix to fetch from; of several the
// least loaded, as fetches from one run one after the other. One that is leaving
// may give while it still answers: what only it holds is lost otherwise.
func (b *Board) donor(now clock.Stamp, ix *serviceIndex, parts []chestnutstep.PromptPart) place.Donor {
	var best place.Donor
	for i := len(parts) - 1; i >= 0 && best.CachedTokens == 0; i-- {
		remaining := maxHolders
		for cache := range b.cachedParts[uint32(parts[i].ID)] {
			if remaining--; remaining < 0 {
				break
			}
			if m := ix.caches[cache]; m != nil && !m.state.health.isDown(now) && now >= m.ColdUntil {
				b.compareDonor(now, &best, m, parts)
			}
		}
	}
	return best
}

// compareDonor puts a target in the place of the best donor if it is better.
func (b *Board) compareDonor(now clock.Stamp, best *place.Donor, m *indexMember, parts []chestnutstep.PromptPart) {
	cached := b.cachedTokens(now, m.cacheKey, parts, true)
	load := float64(b.runningAt(m))
	if cached > best.CachedTokens || cached == best.CachedTokens && cached > 0 && load < best.Running {
		*best = place.Donor{ID: m.ID, Address: m.Address, CachedTokens: cached, Running: load}
	}
}
