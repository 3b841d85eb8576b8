// Package roster holds what a process knows of the configuration and of the
// targets that run, from facts that come late, twice, out of order or not at
// all. It is pure: its owner gives it facts and the time.
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

// Target is an instance with what this process knows of it.
type Target struct {
	chestnutstep.Instance
	// ColdUntil is when it is warm.
	ColdUntil clock.Stamp
	// missing says that the source no longer lists it.
	missing bool
}

// View is what is known at one moment. It is never changed.
type View struct {
	Routing *chestnutstep.Routing
	// Listed says that the list of targets was read: before that, none is known.
	Listed bool
	// Targets of each service, leaving or not.
	Services map[string][]*Target
	// ByID has the same targets by name.
	ByID map[string]*Target
	// Out are the failure domains out of service.
	Out map[string]bool
}

// Usable says that the target may get new work.
func (v *View) Usable(t *Target) bool { return !t.Leaving && !v.Out[t.Domain] }

// Roster takes facts. It is safe for concurrent use.
type Roster struct {
	// WallClock is the time of day; time.Now if nil.
	WallClock func() time.Time

	mu   sync.Mutex
	view atomic.Pointer[View]
	// revisions is the revision of each entry, gone ones included.
	revisions map[factKey]uint64
	// facts are the entries as they were published, for peers.
	facts   map[factKey]chestnutstep.Fact
	topics  [chestnutstep.TopicCount]topic
	targets map[string]*Target
	out     map[string]bool
	routing *chestnutstep.Routing
	// sourceUnresponsive says that the source of targets has not answered since the last read, and
	// settled until when targets that are missing are kept.
	sourceUnresponsive bool
	keepMissingUntil   clock.Stamp
	// confirmed is when a peer's report last proved the version in force.
	confirmed latestStamp
}

// latestStamp is a moment that only moves forward.
type latestStamp struct{ atomic.Int64 }

func (s *latestStamp) advance(at clock.Stamp) {
	for {
		old := s.Load()
		if int64(at) <= old || s.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// factKey names a published entry.
type factKey struct {
	kind chestnutstep.FactKind
	name string
}

// Change is what a batch changed, for logs.
type Change struct {
	Version uint64
	Joined  []string
	Removed []string
	Leaving []string
	// Kept are targets that are no longer listed and stay usable while the source settles.
	Kept []string
	// Recovered are targets that can be used again.
	Recovered []string
	// Out and In are failure domains that were taken out of service and back.
	Out      []string
	Restored []string
}

// Empty says that nothing changed.
func (c Change) Empty() bool {
	return c.Version == 0 && len(c.Joined)+len(c.Removed)+len(c.Leaving)+len(c.Kept)+len(c.Recovered)+len(c.Out)+len(c.Restored) == 0
}

// View returns what is known now; nil before the configuration is known.
func (r *Roster) View() *View { return r.view.Load() }

// Proof is the moment as of which all facts of a topic are known; 0 for never.
func (r *Roster) Proof(t chestnutstep.Topic) clock.Stamp {
	return clock.Stamp(r.topics[t].proof.Load())
}

// RecordProof says that all facts of a topic as of a moment are known.
func (r *Roster) RecordProof(t chestnutstep.Topic, at clock.Stamp) { r.topics[t].proof.advance(at) }

// ConfirmVersion says that the version in force was the newest at a moment. It proves nothing about
// failure domains or targets.
func (r *Roster) ConfirmVersion(at clock.Stamp) { r.confirmed.advance(at) }

// VersionConfirmedAt is the moment as of which the version in force is known to be the newest; 0 for
// never.
func (r *Roster) VersionConfirmedAt() clock.Stamp {
	return max(clock.Stamp(r.confirmed.Load()), r.Proof(chestnutstep.TopicRouting))
}

// Version of the configuration in force, 0 for none.
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

// Apply takes the facts of one read of a topic that was asked at a moment. With full they
// are all that there are: what is not among them is gone.
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
	r.publish(c, isFirstList)
	return c
}

// Tick drops instances that did not come back in time.
func (r *Roster) Tick(now clock.Stamp) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	var c Change
	r.expire(now, &c)
	r.publish(c, false)
	return c
}

// applyFact applies a fact unless a later one about the same entry is known: an
// answer that was held up may come after a newer one.
func (r *Roster) applyFact(now clock.Stamp, f chestnutstep.Fact, c *Change) {
	key := factKey{f.Kind, f.Name}
	if r.supersedes(key, f.Revision) {
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
		if f.Deleted {
			r.markMissing(now, f.Name, c)
			return
		}
		r.applyInstance(now, f.Instance, c)
	}
}

// supersedes says whether something newer than a revision is known of an entry. One that a full
// read did not list was removed before it.
func (r *Roster) supersedes(key factKey, revision uint64) bool {
	known := r.revisions[key]
	if _, ok := r.facts[key]; ok {
		return revision < known
	}
	return revision <= max(known, r.topics[key.kind.Topic()].fullRevision)
}

// applyRouting never goes back: a request that was handled under a version must
// not be followed by one under an older version.
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
	isNew := old == nil || old.StartedMs != in.StartedMs || old.Address != in.Address
	if isNew && r.topics[chestnutstep.TopicTargets].listed && !r.startedEarlier(in) {
		// One that appears while we watch has just started, whatever it says.
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

// clockSkewMargin is by how much the time of day may differ between hosts, jumps
// included.
const clockSkewMargin = 10 * time.Second

// startedEarlier says that an instance was born long before it appeared: it was there, and
// the list has lost it for a while.
func (r *Roster) startedEarlier(in *chestnutstep.Instance) bool {
	if in.StartedMs == 0 {
		return false
	}
	now := time.Now
	if r.WallClock != nil {
		now = r.WallClock
	}
	return now().Sub(time.UnixMilli(in.StartedMs)) > r.coldStart(in.Service)+clockSkewMargin
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

// publish makes a new view, if anything changed or always.
func (r *Roster) publish(c Change, force bool) {
	if r.routing == nil || !force && c.Empty() && r.view.Load() != nil {
		return
	}
	v := &View{
		Routing:  r.routing,
		Listed:   r.topics[chestnutstep.TopicTargets].listed,
		Services: make(map[string][]*Target),
		ByID:     maps.Clone(r.targets),
		Out:      maps.Clone(r.out),
	}
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		t := r.targets[id]
		v.Services[t.Service] = append(v.Services[t.Service], t)
	}
	r.view.Store(v)
}
