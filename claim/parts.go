package claim

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// partTime is the time constant of the counts by workspace: some requests of each come to an entry in
	// this time.
	partTime = 5 * time.Second
	// minPart is the decayed number of claims that each workspace may have.
	minPart = 4
	// grantSlack is the multiple of an even part of the claims that a workspace may have beyond that.
	grantSlack = 1.5
	// overFactor is the multiple of an even part of the refusals above which a workspace is over its part.
	overFactor = 2
	// minDemand is the decayed number of refusals above which a workspace competes for claims.
	minDemand = 0.1
	// countInterval is the minimum time between two counts of the competing workspaces.
	countInterval = 100 * time.Millisecond
)

// parts divides claims among workspaces. It is stricter than their shares of places: an entry of a large
// fleet has so few requests in progress that the largest workspace is within its share most of the time.
type parts struct {
	workspaces      map[string]*part
	grants, refused decayingSum
	competing       int
	countedAt       clock.Stamp
}

// part counts the recent claims and refusals of a workspace.
type part struct{ grants, refused decayingSum }

// refuse records a refusal.
func (p *parts) refuse(now clock.Stamp, workspace string) {
	if p.workspaces == nil {
		p.workspaces = make(map[string]*part)
	}
	if p.workspaces[workspace] == nil {
		p.workspaces[workspace] = &part{}
	}
	p.workspaces[workspace].refused.add(now, partTime)
	p.refused.add(now, partTime)
	if now.Sub(p.countedAt) < countInterval && p.competing > 0 {
		return
	}
	p.countedAt = now
	for name, w := range p.workspaces {
		if w.refused.at(now, partTime) < minDemand {
			delete(p.workspaces, name)
		}
	}
	p.competing = len(p.workspaces)
}

// mayGrant reports whether a workspace that was just refused has not had its part of the recent claims.
func (p *parts) mayGrant(now clock.Stamp, workspace string) bool {
	even := p.grants.at(now, partTime) / float64(p.competing)
	return p.workspaces[workspace].grants.at(now, partTime)+1 <= max(grantSlack*even, minPart)
}

// grant records a claim of a workspace that was just refused.
func (p *parts) grant(now clock.Stamp, workspace string) {
	p.workspaces[workspace].grants.add(now, partTime)
	p.grants.add(now, partTime)
}

// isOver reports whether a workspace had far more refusals than an even part.
func (p *parts) isOver(now clock.Stamp, workspace string) bool {
	w := p.workspaces[workspace]
	if w == nil {
		return false
	}
	even := p.refused.at(now, partTime) / float64(p.competing)
	return w.refused.at(now, partTime) > max(overFactor*even, minPart)
}
