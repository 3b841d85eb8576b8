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
	// Wall is the time of day; time.Now if nil.
	Wall func() time.Time

	mu   sync.Mutex
	view atomic.Pointer[View]
	// known is the revision of each entry, gone ones included.
	known map[entry]uint64
	// held are the entries as they were published, for peers.
	held    map[entry]chestnutstep.Fact
	topics  [chestnutstep.TopicCount]topic
	targets map[string]*Target
	out     map[string]bool
	routing *chestnutstep.Routing
	// doubt says that the source of targets has not answered since the last read, and
	// settled until when targets that are missing are kept.
	doubt   bool
	settled clock.Stamp
	// confirmed is when a peer's report last proved the version in force.
	confirmed stamp
}

// stamp is a moment that only moves forward.
type stamp struct{ atomic.Int64 }

func (s *stamp) advance(at clock.Stamp) {
	for {
		old := s.Load()
		if int64(at) <= old || s.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// entry names a published entry.
type entry struct {
	kind chestnutstep.FactKind
	name string
}

// Change is what a batch changed, for logs.
type Change struct {
	Version uint64
	Joined  []string
	Left    []string
	Leaving []string
	// Kept are targets that are no longer listed and stay usable while the source settles.
	Kept []string
	// Back are targets that can be used again.
	Back []string
	// Out and In are failure domains that were taken out of service and back.
	Out []string
	In  []string
}

// Empty says that nothing changed.
func (c Change) Empty() bool {
	return c.Version == 0 && len(c.Joined)+len(c.Left)+len(c.Leaving)+len(c.Kept)+len(c.Back)+len(c.Out)+len(c.In) == 0
}

// View returns what is known now; nil before the configuration is known.
func (r *Roster) View() *View { return r.view.Load() }

// Proof is the moment as of which all facts of a topic are known; 0 for never.
func (r *Roster) Proof(t chestnutstep.Topic) clock.Stamp {
	return clock.Stamp(r.topics[t].proof.Load())
}

// Prove says that all facts of a topic as of a moment are known.
func (r *Roster) Prove(t chestnutstep.Topic, at clock.Stamp) { r.topics[t].proof.advance(at) }

// Confirm says that the version in force was the newest at a moment. It proves nothing about
// failure domains or targets.
func (r *Roster) Confirm(at clock.Stamp) { r.confirmed.advance(at) }

// Confirmed is the moment as of which the version in force is known to be the newest; 0 for
// never.
func (r *Roster) Confirmed() clock.Stamp {
	return max(clock.Stamp(r.confirmed.Load()), r.Proof(chestnutstep.TopicRouting))
}

// Version of the configuration in force, 0 for none.
func (r *Roster) Version() uint64 {
	if v := r.view.Load(); v != nil && v.Routing != nil {
		return v.Routing.Version
	}
	return 0
}

// Doubt records that the source of targets does not answer.
func (r *Roster) Doubt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubt = true
}

func (r *Roster) begin() {
	if r.known != nil {
		return
	}
	r.known = make(map[entry]uint64)
	r.held = make(map[entry]chestnutstep.Fact)
	for i := range r.topics {
		r.topics[i].changed = make(chan struct{})
	}
	r.targets = make(map[string]*Target)
	r.out = make(map[string]bool)
}

// Learn takes the facts of one read of a topic that was asked at a moment. With full they
// are all that there are: what is not among them is gone.
func (r *Roster) Learn(now clock.Stamp, topic chestnutstep.Topic, b chestnutstep.Batch, full bool) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin()
	t := &r.topics[topic]
	if topic == chestnutstep.TopicTargets {
		r.extendSettled(now, b, t.read)
	}
	var c Change
	seen := make(map[entry]bool, len(b.Facts))
	for _, f := range b.Facts {
		seen[entry{f.Kind, f.Name}] = true
		r.take(now, f, &c)
	}
	if full {
		r.retire(now, topic, seen, b.Revision, &c)
	}
	r.expire(now, &c)
	first := full && topic == chestnutstep.TopicTargets && !t.listed
	t.learn(now, b, full)
	r.publish(c, first)
	return c
}

// Tick drops instances that did not come back in time.
func (r *Roster) Tick(now clock.Stamp) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin()
	var c Change
	r.expire(now, &c)
	r.publish(c, false)
	return c
}

// take applies a fact unless a later one about the same entry is known: an
// answer that was held up may come after a newer one.
func (r *Roster) take(now clock.Stamp, f chestnutstep.Fact, c *Change) {
	key := entry{f.Kind, f.Name}
	if r.supersedes(key, f.Revision) {
		return
	}
	r.known[key] = f.Revision
	r.keep(key, f)
	switch f.Kind {
	case chestnutstep.FactRouting:
		r.takeRouting(f, c)
	case chestnutstep.FactDomainOut:
		r.takeOut(f.Name, !f.Deleted, c)
	case chestnutstep.FactInstance:
		if f.Deleted {
			r.miss(now, f.Name, c)
			return
		}
		r.takeInstance(now, f.Instance, c)
	}
}

// supersedes says whether something newer than a revision is known of an entry. One that a full
// read did not list was removed before it.
func (r *Roster) supersedes(key entry, revision uint64) bool {
	known := r.known[key]
	if _, ok := r.held[key]; ok {
		return revision < known
	}
	return revision <= max(known, r.topics[key.kind.Topic()].floor)
}

// takeRouting never goes back: a request that was handled under a version must
// not be followed by one under an older version.
func (r *Roster) takeRouting(f chestnutstep.Fact, c *Change) {
	if f.Deleted || r.routing != nil && f.Routing.Version <= r.routing.Version {
		return
	}
	r.routing = f.Routing
	c.Version = f.Routing.Version
}

func (r *Roster) takeOut(domain string, out bool, c *Change) {
	if r.out[domain] == out {
		return
	}
	if out {
		r.out[domain] = true
		c.Out = append(c.Out, domain)
		return
	}
	delete(r.out, domain)
	c.In = append(c.In, domain)
}

func (r *Roster) takeInstance(now clock.Stamp, in *chestnutstep.Instance, c *Change) {
	old := r.targets[in.ID]
	t := &Target{Instance: *in, ColdUntil: now.Add(in.ColdRemaining)}
	fresh := old == nil || old.StartedMs != in.StartedMs || old.Address != in.Address
	if fresh && r.topics[chestnutstep.TopicTargets].listed && !r.aged(in) {
		// One that appears while we watch has just started, whatever it says.
		t.ColdUntil = max(t.ColdUntil, now.Add(r.coldStart(in.Service)))
	}
	if !fresh {
		t.ColdUntil = max(t.ColdUntil, old.ColdUntil)
	}
	r.targets[in.ID] = t
	switch {
	case fresh:
		c.Joined = append(c.Joined, in.ID)
	case in.Leaving && !old.Leaving:
		c.Leaving = append(c.Leaving, in.ID)
	case old.missing || old.Leaving != in.Leaving || old.ColdUntil < t.ColdUntil:
		c.Back = append(c.Back, in.ID)
	}
}

// bornMargin is by how much the time of day may differ between hosts, jumps
// included.
const bornMargin = 10 * time.Second

// aged says that an instance was born long before it appeared: it was there, and
// the list has lost it for a while.
func (r *Roster) aged(in *chestnutstep.Instance) bool {
	if in.StartedMs == 0 {
		return false
	}
	wall := time.Now
	if r.Wall != nil {
		wall = r.Wall
	}
	return wall().Sub(time.UnixMilli(in.StartedMs)) > r.coldStart(in.Service)+bornMargin
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
func (r *Roster) publish(c Change, always bool) {
	if r.routing == nil || !always && c.Empty() && r.view.Load() != nil {
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
