package roster

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

// trackBuilds updates the times at which the services last had targets of several builds. It must
// be called before a view is published.
func (r *Roster) trackBuilds(now clock.Stamp) {
	if r.builds == nil {
		r.builds, r.mixedAt = make(map[string]map[string]bool), make(map[string]clock.Stamp)
	}
	builds := make(map[string]map[string]bool)
	for _, t := range r.targets {
		known := r.builds[t.Service]
		if known == nil { // the targets before the first list are unknown, and may have been of another build
			r.mixedAt[t.Service] = max(r.mixedAt[t.Service], r.startedAt(now, t))
		} else if !known[t.Build] {
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
}

// startedAt returns the latest time at which a target can have started; now if it is unknown.
func (r *Roster) startedAt(now clock.Stamp, t *Target) clock.Stamp {
	if t.StartedMs == 0 {
		return now
	}
	age := r.wallNow().Sub(time.UnixMilli(t.StartedMs)) - clockSkewMargin
	return now.Add(-max(age, 0))
}

// SoleBuild returns the build of all targets of a service if no target of another build was listed
// for the given time. A stream that began within that time can then only have begun at it.
func (v *View) SoleBuild(now clock.Stamp, service string, since time.Duration) (string, bool) {
	list := v.Services[service]
	if len(list) == 0 || list[0].Build == "" || now.Sub(v.MixedAt[service]) <= since {
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
