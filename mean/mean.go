// Package mean estimates the mean load of a model's targets from the samples that agents
// exchange.
//
// The cap of every target is a multiple of this mean, so an error of the mean is an error of
// the cap of the same size. Samples of all 2,700 targets would cost each agent more than 100 kB
// per second. Instead, each agent exchanges a few samples per second with one other agent, its
// own first, and relays some that it received. Samples thus spread without further work of
// their targets, and each agent keeps the youngest that reached it.
package mean

import (
	"cmp"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// MaxSamples is the maximum number of samples that are kept, always the youngest. The error
	// of the mean has two parts: too few samples, and samples from before a surge; more samples
	// are older ones. In a fleet whose load rises and falls by a third within a minute, 48 and
	// 64 had the smallest error, and 128 a third more. With fewer targets all samples are kept,
	// and the mean is exact.
	MaxSamples = 64
	// MaxAge is the maximum age of a sample that counts. With few targets no younger sample
	// displaces it, and that of a stopped agent must expire.
	MaxAge = 10 * time.Second
	// MaxRelayAge is the maximum age of a sample that is passed on, so that the receiver can
	// still use it for some time.
	MaxRelayAge = 5 * time.Second
)

// Sampler implements chestnutstep.Sampler for one target. Set the exported fields before use.
// It is not safe for concurrent use.
type Sampler struct {
	// Model is the model of the target; samples of other models are ignored. SetLocal changes
	// it.
	Model string
	// Target is the name of this agent's own target.
	Target string

	own chestnutstep.Sample
	// samples holds the samples of other targets, the youngest first.
	samples []chestnutstep.Sample
}

var _ chestnutstep.Sampler = (*Sampler)(nil)

// SetLocal sets this target's load, and the model if the publication changed it.
func (s *Sampler) SetLocal(now time.Time, own chestnutstep.Sample) {
	if own.Model != "" && own.Model != s.Model {
		s.Model, s.samples = own.Model, nil
	}
	own.Target, own.Model, own.SeenAt = s.Target, s.Model, now
	s.own = own
}

// Merge adds samples from a peer and keeps the youngest of each target. A sample with a time in
// the future gets the current time; otherwise it would never expire.
func (s *Sampler) Merge(now time.Time, samples []chestnutstep.Sample) {
	for _, x := range samples {
		if x.Model != s.Model || x.Target == s.Target || !(x.Load >= 0) {
			continue
		}
		if x.SeenAt.After(now) {
			x.SeenAt = now
		}
		if now.Sub(x.SeenAt) <= MaxAge {
			s.insert(x)
		}
	}
	s.trim(now)
}

func (s *Sampler) insert(x chestnutstep.Sample) {
	i := slices.IndexFunc(s.samples, func(o chestnutstep.Sample) bool { return o.Target == x.Target })
	if i < 0 {
		s.samples = append(s.samples, x)
		return
	}
	if x.SeenAt.After(s.samples[i].SeenAt) {
		s.samples[i] = x
	}
}

// trim sorts the samples by age and removes those that are too old or too many.
func (s *Sampler) trim(now time.Time) {
	slices.SortFunc(s.samples, func(a, b chestnutstep.Sample) int {
		return cmp.Or(b.SeenAt.Compare(a.SeenAt), cmp.Compare(a.Target, b.Target))
	})
	n := min(len(s.samples), MaxSamples)
	for n > 0 && now.Sub(s.samples[n-1].SeenAt) > MaxAge {
		n--
	}
	clear(s.samples[n:])
	s.samples = s.samples[:n]
}

// Samples returns at most n samples to pass on: this target's first, then the youngest. A
// random choice would fill the fleet with samples from before a surge.
func (s *Sampler) Samples(now time.Time, n int) []chestnutstep.Sample {
	s.trim(now)
	list := make([]chestnutstep.Sample, 0, max(n, 0))
	if n > 0 && s.isOwnFresh(now, MaxRelayAge) {
		list = append(list, s.own)
	}
	for _, x := range s.samples {
		if len(list) >= n || now.Sub(x.SeenAt) > MaxRelayAge {
			break
		}
		list = append(list, x)
	}
	return list
}

// isOwnFresh reports whether this target's own sample is recent enough to count. The agent sets
// none while the target takes no work: a failure domain that is out would count as idle and
// lower the mean, and with it the caps of the targets that carry its load.
func (s *Sampler) isOwnFresh(now time.Time, maxAge time.Duration) bool {
	return !s.own.SeenAt.IsZero() && now.Sub(s.own.SeenAt) <= maxAge
}

// Mean estimates the mean load over all targets of the model, this one included, each counted
// once. With at most MaxSamples other targets it is the mean over all.
func (s *Sampler) Mean(now time.Time) chestnutstep.Mean {
	s.trim(now)
	m := chestnutstep.Mean{Targets: len(s.samples)}
	sum, n := 0.0, len(s.samples)
	for _, x := range s.samples {
		sum += x.Load
		m.Age = max(m.Age, now.Sub(x.SeenAt))
	}
	if s.isOwnFresh(now, MaxAge) {
		sum += s.own.Load
		n++
	}
	if n > 0 {
		m.Load = sum / float64(n)
	}
	return m
}
