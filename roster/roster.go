// Package roster maintains the configuration and the list of running targets from published
// facts, which can arrive late, twice, out of order or not at all. It does no I/O: its owner
// passes in the facts and the time. A fact never replaces a newer one, and the version of the
// configuration in force never decreases.
package roster

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// Target is an instance together with local state.
type Target struct {
	chestnutstep.Instance
	// ColdUntil is the time from which the target is warm.
	ColdUntil clock.Stamp
	// missing is set if the source no longer lists the instance.
	missing bool
}

// View is an immutable snapshot of the configuration and the targets.
type View struct {
	Routing *chestnutstep.Routing
	// Listed reports whether the list of targets was read completely. Before that, no target is
	// known.
	Listed bool
	// Services holds the targets of each service, leaving ones included.
	Services map[string][]*Target
	// ByID holds the same targets by ID.
	ByID map[string]*Target
	// Out holds the failure domains that are out of service.
	Out map[string]bool
	// MixedAt holds the time at which a service last had targets of several builds, or can have had.
	MixedAt map[string]clock.Stamp
	// PromisedMixedAt is the same if the source's history reaches back for as long as it promises; services
	// whose history was not read have none.
	PromisedMixedAt map[string]clock.Stamp
}

// Usable reports whether the target can get new work.
func (v *View) Usable(t *Target) bool { return !t.Leaving && !v.Out[t.Domain] }

// Roster applies facts and publishes views. It is safe for concurrent use.
type Roster struct {
	// WallClock returns the time of day; time.Now if nil.
	WallClock func() time.Time

	mu   sync.Mutex
	view atomic.Pointer[View]
	// revisions holds the newest revision of each fact, removed facts included.
	revisions map[factKey]uint64
	// facts holds the facts as they were published, for peers.
	facts   map[factKey]chestnutstep.Fact
	topics  [chestnutstep.TopicCount]topic
	targets map[string]*Target
	out     map[string]bool
	// builds holds the builds of each service in the last view; mixedAt and promisedMixedAt are those of the
	// view.
	builds          map[string]map[string]bool
	mixedAt         map[string]clock.Stamp
	promisedMixedAt map[string]clock.Stamp
	// listedBuildsAt is the time of the first view with a complete list.
	listedBuildsAt clock.Stamp
	routing        *chestnutstep.Routing
	// sourceUnresponsive is set if the source of targets has not answered since the last read.
	// Missing targets are kept until keepMissingUntil.
	sourceUnresponsive bool
	keepMissingUntil   clock.Stamp
	// confirmed is the time at which a peer's report last confirmed the version in force.
	confirmed latestStamp
}

// latestStamp is a time that only increases. It is safe for concurrent use.
type latestStamp struct{ atomic.Int64 }

func (s *latestStamp) advance(at clock.Stamp) {
	for {
		old := s.Load()
		if int64(at) <= old || s.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// factKey identifies what a fact is about.
type factKey struct {
	kind chestnutstep.FactKind
	name string
}

// Change lists the effects of a batch, for logs.
type Change struct {
	Version uint64
	Joined  []string
	Removed []string
	Leaving []string
	// Kept are targets that are no longer listed and stay usable until the settle time is over.
	Kept []string
	// Recovered are targets that are listed again or no longer leaving, and those whose cold
	// time was extended.
	Recovered []string
	// Out and Restored are failure domains that were taken out of service and put back.
	Out      []string
	Restored []string
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool {
	return c.Version == 0 && len(c.Joined)+len(c.Removed)+len(c.Leaving)+len(c.Kept)+len(c.Recovered)+len(c.Out)+len(c.Restored) == 0
}

// View returns the current view; nil before the first configuration is applied.
func (r *Roster) View() *View { return r.view.Load() }

// Proof returns the latest time up to which all facts of a topic are known; 0 for never.
func (r *Roster) Proof(t chestnutstep.Topic) clock.Stamp {
	return clock.Stamp(r.topics[t].proof.Load())
}

// RecordProof records that all facts of a topic up to a time are known.
func (r *Roster) RecordProof(t chestnutstep.Topic, at clock.Stamp) { r.topics[t].proof.advance(at) }

// ConfirmVersion records that the version in force was the newest one at a time. It gives no
// proof about failure domains or targets.
func (r *Roster) ConfirmVersion(at clock.Stamp) { r.confirmed.advance(at) }

// VersionConfirmedAt returns the latest time at which the version in force was known to be the
// newest; 0 for never.
func (r *Roster) VersionConfirmedAt() clock.Stamp {
	return max(clock.Stamp(r.confirmed.Load()), r.Proof(chestnutstep.TopicRouting))
}

// Version returns the version of the configuration in force; 0 for none.
func (r *Roster) Version() uint64 {
	if v := r.view.Load(); v != nil && v.Routing != nil {
		return v.Routing.Version
	}
	return 0
}

// MarkSourceUnresponsive records that the source of targets does not answer.
func (r *Roster) MarkSourceUnresponsive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sourceUnresponsive = true
}

func (r *Roster) initMaps() {
	if r.revisions != nil {
		return
	}
	r.revisions = make(map[factKey]uint64)
	r.facts = make(map[factKey]chestnutstep.Fact)
	for i := range r.topics {
		r.topics[i].changed = make(chan struct{})
	}
	r.targets = make(map[string]*Target)
	r.out = make(map[string]bool)
}

// Apply applies the facts of one read of a topic; now is the current time. If full is
// set, the batch is complete and facts missing from it are removed.
func (r *Roster) Apply(now clock.Stamp, topic chestnutstep.Topic, b chestnutstep.Batch, full bool) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	t := &r.topics[topic]
	if topic == chestnutstep.TopicTargets {
		r.extendKeepMissing(now, b, t.readAt)
	}
	var c Change
	seen := make(map[factKey]bool, len(b.Facts))
	for _, f := range b.Facts {
		seen[factKey{f.Kind, f.Name}] = true
		r.applyFact(now, f, &c)
	}
	if full {
		r.removeUnlisted(now, topic, seen, b.Revision, &c)
	}
	r.expire(now, &c)
	isFirstList := full && topic == chestnutstep.TopicTargets && !t.listed
	t.recordRead(now, b, full)
	r.publish(now, c, isFirstList)
	return c
}

// Tick removes missing instances that did not return in time.
func (r *Roster) Tick(now clock.Stamp) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	var c Change
	r.expire(now, &c)
	r.publish(now, c, false)
	return c
}

// applyFact applies a fact unless a newer one with the same key was applied: answers can
// arrive out of order.
func (r *Roster) applyFact(now clock.Stamp, f chestnutstep.Fact, c *Change) {
	key := factKey{f.Kind, f.Name}
	if r.isSuperseded(key, f.Revision) {
		return
	}
	r.revisions[key] = f.Revision
	r.storeFact(key, f)
	switch f.Kind {
	case chestnutstep.FactRouting:
		r.applyRouting(f, c)
	case chestnutstep.FactDomainOut:
		r.applyOut(f.Name, !f.Deleted, c)
	case chestnutstep.FactInstance:
		switch {
		case f.Deleted:
			r.markMissing(now, f.Name, c)
		case f.Instance == nil:
			r.markLeaving(f.Name, c)
		default:
			r.applyInstance(now, f.Instance, c)
		}
	}
}

// isSuperseded reports whether a newer revision of a fact is known or, if the fact is not
// stored, the same one. A fact that a full read did not list was removed before that read.
func (r *Roster) isSuperseded(key factKey, revision uint64) bool {
	known := r.revisions[key]
	if _, ok := r.facts[key]; ok {
		return revision < known
	}
	return revision <= max(known, r.topics[key.kind.Topic()].fullRevision)
}

// applyRouting ignores older versions: a request handled under one version must not be followed
// by one handled under an older version.
func (r *Roster) applyRouting(f chestnutstep.Fact, c *Change) {
	if f.Deleted || r.routing != nil && f.Routing.Version <= r.routing.Version {
		return
	}
	r.routing = f.Routing
	c.Version = f.Routing.Version
}

func (r *Roster) applyOut(domain string, out bool, c *Change) {
	if r.out[domain] == out {
		return
	}
	if out {
		r.out[domain] = true
		c.Out = append(c.Out, domain)
		return
	}
	delete(r.out, domain)
	c.Restored = append(c.Restored, domain)
}

func (r *Roster) applyInstance(now clock.Stamp, in *chestnutstep.Instance, c *Change) {
	old := r.targets[in.ID]
	t := &Target{Instance: *in, ColdUntil: now.Add(in.ColdRemaining)}
	isNew := old == nil || old.StartedMs != in.StartedMs || old.Address != in.Address || old.Build != in.Build
	if isNew && r.topics[chestnutstep.TopicTargets].listed && !r.startedEarlier(in) {
		// An instance that appears after the first list has just started, whatever cold time it
		// reports.
		t.ColdUntil = max(t.ColdUntil, now.Add(r.coldStart(in.Service)))
	}
	if !isNew {
		t.ColdUntil = max(t.ColdUntil, old.ColdUntil)
	}
	r.targets[in.ID] = t
	switch {
	case isNew:
		c.Joined = append(c.Joined, in.ID)
	case in.Leaving && !old.Leaving:
		c.Leaving = append(c.Leaving, in.ID)
	case old.missing || old.Leaving != in.Leaving || old.ColdUntil < t.ColdUntil:
		c.Recovered = append(c.Recovered, in.ID)
	}
}

// markLeaving gives an instance no new work until its own entry is read again: the entry that replaced it names
// no target, and may hide that the instance is leaving.
func (r *Roster) markLeaving(id string, c *Change) {
	t := r.targets[id]
	if t == nil || t.Leaving {
		return
	}
	leaving := *t
	leaving.Leaving = true
	r.targets[id] = &leaving
	c.Leaving = append(c.Leaving, id)
}

// clockSkewMargin is the maximum difference of the time of day between hosts, clock jumps
// included.
const clockSkewMargin = 10 * time.Second

// startedEarlier reports whether an instance started long before it appeared. It was then
// already running and only missing from the list for some time.
func (r *Roster) startedEarlier(in *chestnutstep.Instance) bool {
	if in.StartedMs == 0 {
		return false
	}
	return r.wallNow().Sub(time.UnixMilli(in.StartedMs)) > r.coldStart(in.Service)+clockSkewMargin
}

func (r *Roster) wallNow() time.Time {
	if r.WallClock != nil {
		return r.WallClock()
	}
	return time.Now()
}

func (r *Roster) coldStart(service string) time.Duration {
	if r.routing == nil || r.routing.Services[service] == nil {
		return 0
	}
	s := r.routing.Services[service]
	if s.ColdRate <= 0 {
		return 0
	}
	return s.ColdStart
}

// publish stores a new view if anything changed, or if force is set.
func (r *Roster) publish(now clock.Stamp, c Change, force bool) {
	if r.routing == nil || !force && c.Empty() && r.view.Load() != nil {
		return
	}
	r.trackBuilds(now)
	v := &View{
		Routing:  r.routing,
		Listed:   r.topics[chestnutstep.TopicTargets].listed,
		Services: make(map[string][]*Target),
		ByID:     maps.Clone(r.targets),
		Out:      maps.Clone(r.out),
		MixedAt:  maps.Clone(r.mixedAt),

		PromisedMixedAt: maps.Clone(r.promisedMixedAt),
	}
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		t := r.targets[id]
		v.Services[t.Service] = append(v.Services[t.Service], t)
	}
	r.view.Store(v)
}
