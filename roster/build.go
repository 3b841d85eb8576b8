package roster

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// trackBuilds updates the times at which the services last had targets of several builds. It must
// be called before a view is published.
func (r *Roster) trackBuilds(now clock.Stamp) {
	if r.builds == nil {
		r.builds, r.mixedAt, r.promisedMixedAt = make(map[string]map[string]bool), make(map[string]clock.Stamp), make(map[string]clock.Stamp)
	}
	builds := make(map[string]map[string]bool)
	for _, t := range r.targets {
		known := r.builds[t.Service]
		if !known[t.Build] { // also if the targets before the first list are unknown: they may have been of another build
			r.mixedAt[t.Service] = now
		}
		if builds[t.Service] == nil {
			builds[t.Service] = make(map[string]bool)
		}
		builds[t.Service][t.Build] = true
	}
	for service, known := range r.builds {
		if len(known) > 1 || len(builds[service]) == 0 {
			r.mixedAt[service] = now
		}
		if builds[service] == nil {
			builds[service] = known
		}
	}
	r.builds = builds
	if r.listedBuildsAt == 0 && r.topics[chestnutstep.TopicTargets].listed {
		r.listedBuildsAt = now
	}
}

// ApplyHistory records which builds the services had before the first list, by the changes that the source
// still knows. requestedAt is the time before they were read, and span how far back the source promises to
// know them.
func (r *Roster) ApplyHistory(now, requestedAt clock.Stamp, h chestnutstep.History, span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	builds, isKnown := r.historicBuilds(h.Facts)
	if r.routing == nil || !isKnown {
		return
	}
	for service, current := range r.builds {
		if len(current) != 1 || r.mixedAt[service] > r.listedBuildsAt || hasOther(builds[service], current) {
			continue
		}
		if h.IsComplete {
			r.mixedAt[service] = requestedAt.Add(-completeSpan)
		}
		r.promisedMixedAt[service] = min(r.mixedAt[service], requestedAt.Add(-span))
	}
	r.publish(now, Change{}, true)
}

// completeSpan stands for all time before a complete history.
const completeSpan = 24 * time.Hour

// historicBuilds returns the builds of each service in the history. It returns false if that does not show
// the service and build of a target that was removed.
func (r *Roster) historicBuilds(facts []chestnutstep.Fact) (builds map[string]map[string]bool, isKnown bool) {
	builds = make(map[string]map[string]bool)
	names := make(map[string]bool)
	for _, f := range facts {
		switch {
		case f.Kind != chestnutstep.FactInstance, !f.Deleted && f.Instance == nil:
		case f.Deleted:
			if !names[f.Name] && r.targets[f.Name] == nil {
				return nil, false
			}
		default:
			names[f.Name] = true
			if builds[f.Instance.Service] == nil {
				builds[f.Instance.Service] = make(map[string]bool)
			}
			builds[f.Instance.Service][f.Instance.Build] = true
		}
	}
	return builds, true
}

// hasOther reports whether builds contains one that current does not.
func hasOther(builds, current map[string]bool) bool {
	for build := range builds {
		if !current[build] {
			return true
		}
	}
	return false
}

// SoleBuild returns the build of all targets of a service if no target of another build was listed
// for the given time. A stream that began within that time can then only have begun at it. With
// trustSource the source's history counts for as long as the source promises to keep it.
func (v *View) SoleBuild(now clock.Stamp, service string, since time.Duration, trustSource bool) (string, bool) {
	list := v.Services[service]
	if len(list) == 0 || list[0].Build == "" {
		return "", false
	}
	mixedAt := v.MixedAt[service]
	if promised, ok := v.PromisedMixedAt[service]; ok && trustSource {
		mixedAt = min(mixedAt, promised)
	}
	if now.Sub(mixedAt) <= since {
		return "", false
	}
	for _, t := range list {
		if t.Build != list[0].Build {
			return "", false
		}
	}
	return list[0].Build, true
}

// FindBuild returns the build that satisfies the condition and of which a service has a usable
// target, or false if there is none.
func (v *View) FindBuild(service string, match func(build string) bool) (string, bool) {
	for _, t := range v.Services[service] {
		if v.Usable(t) && t.Build != "" && match(t.Build) {
			return t.Build, true
		}
	}
	return "", false
}
