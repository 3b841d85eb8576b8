package node

import (
	"strconv"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admin"
	"chestnutstep.example/chestnutstep/audit"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/gossip"
)

// source remembers what the status page says about the publication.
type source struct {
	mu      sync.Mutex
	since   time.Time
	refused uint64
	why     string
	// silent and alone are what gossip said last of the service and of peers.
	silent bool
	alone  bool
}

// hear takes what gossip notices of the service and of peers.
func (s *source) hear(kind gossip.NoticeKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case gossip.NoticeDown, gossip.NoticeUp:
		s.silent = kind == gossip.NoticeDown
	case gossip.NoticeLost, gossip.NoticeFound:
		s.alone = kind == gossip.NoticeLost
	}
}

func (b *base) isAlone() bool {
	b.source.mu.Lock()
	defer b.source.mu.Unlock()
	return b.source.alone
}

// note adds a record to the audit trail and counts it.
func (b *base) note(r audit.Record) {
	b.trail.Add(r)
	b.meters.Process.Audit.Add(1, string(r.Kind))
}

// accepted notes a publication that came into force.
func (b *base) accepted(c config.Change) {
	p := c.To.Publication
	b.source.mu.Lock()
	b.source.since = c.Now
	b.source.mu.Unlock()
	var old *chestnutstep.Publication
	before := ""
	if c.From != nil {
		old = c.From.Publication
		before = strconv.FormatUint(old.Version, 10)
	}
	b.log.Emit(event.PublicationInForce, event.Version(p.Version))
	b.meters.Publication.Version.Set(float64(p.Version))
	b.meters.Publication.Changes.Add(1, "accepted")
	if c.Conflict {
		b.log.Emit(event.PublicationConflict, event.Version(p.Version))
	}
	b.note(audit.Record{
		Kind: audit.KindAccepted, Subject: "publication", Cause: "published",
		Before: before, After: c.Stamp.String(), Version: p.Version,
	})
	for _, r := range audit.Changes(old, p) {
		b.note(r)
	}
}

// refused notes a publication that was not put in force.
func (b *base) refused(r config.Refusal) {
	b.source.mu.Lock()
	b.source.refused = r.Stamp.Version
	b.source.why = r.Err.Error()
	b.source.mu.Unlock()
	id := event.PublicationRefused
	if config.IsErrStale(r.Err) {
		id = event.PublicationOld
	}
	if config.IsErrConflict(r.Err) {
		id = event.PublicationConflict
	}
	b.log.Emit(id, event.Version(r.Stamp.Version), event.Err(r.Err))
	b.meters.Publication.Changes.Add(1, "refused")
	b.note(audit.Record{
		Kind: audit.KindRefused, Subject: "publication", Cause: r.Err.Error(),
		After: r.Stamp.String(), Version: b.version(),
	})
}

func (b *base) version() uint64 {
	if v := b.store.View(); v != nil {
		return v.Publication.Version
	}
	return 0
}

func (b *base) publicationStatus() admin.Publication {
	b.source.mu.Lock()
	defer b.source.mu.Unlock()
	return admin.Publication{
		Version:              b.version(),
		Since:                b.source.since,
		RefusedVersion:       b.source.refused,
		RefusalReason:        b.source.why,
		PlatformUnresponsive: b.source.silent,
	}
}

// status fills in what entries and agents show alike.
func (b *base) status(ready error, streams int64) admin.Status {
	s := admin.Status{
		NoPeers:      b.isAlone(),
		Process:      b.settings.Name,
		Role:         string(b.role),
		Host:         b.settings.Host,
		Domain:       b.settings.Domain,
		Region:       b.settings.Region,
		Started:      b.started,
		Ready:        ready == nil,
		OpenRequests: int(streams),
		Publication:  b.publicationStatus(),
		Changes:      b.trail.Last(statusChanges),
	}
	if ready != nil {
		s.NotReadyReason = ready.Error()
	}
	return s
}

// statusChanges is how many audit records a status page shows.
const statusChanges = 20
