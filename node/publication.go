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

// sourceStatus holds the state of the publication for the status page.
type sourceStatus struct {
	mu             sync.Mutex
	acceptedAt     time.Time
	refusedVersion uint64
	refusedReason  string
	// platformDown and isolated are the last state of the platform and of peers reported by gossip.
	platformDown bool
	isolated     bool
}

// handleNotice updates the state of the platform and of peers from a notice of gossip.
func (s *sourceStatus) handleNotice(kind gossip.NoticeKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case gossip.NoticePlatformDown, gossip.NoticePlatformUp:
		s.platformDown = kind == gossip.NoticePlatformDown
	case gossip.NoticePeersLost, gossip.NoticePeersFound:
		s.isolated = kind == gossip.NoticePeersLost
	}
}

func (b *base) isIsolated() bool {
	b.sourceStatus.mu.Lock()
	defer b.sourceStatus.mu.Unlock()
	return b.sourceStatus.isolated
}

// addAuditRecord adds a record to the audit trail and counts it.
func (b *base) addAuditRecord(r audit.Record) {
	b.trail.Add(r)
	b.meters.Process.Audit.Add(1, string(r.Kind))
}

// onPublicationAccepted records a publication that came into force.
func (b *base) onPublicationAccepted(c config.Change) {
	p := c.To.Publication
	b.sourceStatus.mu.Lock()
	b.sourceStatus.acceptedAt = c.Now
	b.sourceStatus.mu.Unlock()
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
	b.addAuditRecord(audit.Record{
		Kind: audit.KindAccepted, Subject: "publication", Cause: "published",
		Before: before, After: c.Stamp.String(), Version: p.Version,
	})
	for _, r := range audit.Changes(old, p) {
		b.addAuditRecord(r)
	}
}

// onPublicationRefused records a publication that was refused.
func (b *base) onPublicationRefused(r config.Refusal) {
	b.sourceStatus.mu.Lock()
	b.sourceStatus.refusedVersion = r.Stamp.Version
	b.sourceStatus.refusedReason = r.Err.Error()
	b.sourceStatus.mu.Unlock()
	id := event.PublicationRefused
	if config.IsErrStale(r.Err) {
		id = event.PublicationOld
	}
	if config.IsErrConflict(r.Err) {
		id = event.PublicationConflict
	}
	b.log.Emit(id, event.Version(r.Stamp.Version), event.Err(r.Err))
	b.meters.Publication.Changes.Add(1, "refused")
	b.addAuditRecord(audit.Record{
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
	b.sourceStatus.mu.Lock()
	defer b.sourceStatus.mu.Unlock()
	return admin.Publication{
		Version:              b.version(),
		Since:                b.sourceStatus.acceptedAt,
		RefusedVersion:       b.sourceStatus.refusedVersion,
		RefusalReason:        b.sourceStatus.refusedReason,
		PlatformUnresponsive: b.sourceStatus.platformDown,
	}
}

// baseStatus returns the part of the status page that entries and agents share.
func (b *base) baseStatus(ready error, streams int64) admin.Status {
	s := admin.Status{
		NoPeers:      b.isIsolated(),
		Process:      b.settings.Name,
		Role:         string(b.role),
		Host:         b.settings.Host,
		Domain:       b.settings.Domain,
		Region:       b.settings.Region,
		Started:      b.started,
		Ready:        ready == nil,
		OpenRequests: int(streams),
		Publication:  b.publicationStatus(),
		Changes:      b.trail.Last(maxStatusChanges),
	}
	if ready != nil {
		s.NotReadyReason = ready.Error()
	}
	return s
}

// maxStatusChanges is the number of audit records on a status page.
const maxStatusChanges = 20
