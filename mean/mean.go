// Package mean estimates the mean load of a model's targets from the samples
// that agents pass on to each other.
//
// The cap of every target is a multiple of this mean, so an error in it becomes
// unevenness of the same size.
// Knowing all 2,700 targets would cost each agent more than a hundred kilobytes
// a second. Instead each agent swaps a few samples a second with one other,
// its own first, and relays some that it heard of: a sample then travels on
// without its target's doing, and each agent holds the youngest that reached it.
package mean

import (
	"cmp"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// MaxSamples is how many samples are held, the youngest. The error of a mean has
	// two parts: too few samples, and samples of before a surge; more samples
	// are older ones. In a fleet whose load rises and falls by a third within a
	// minute, 48 and 64 erred least of what was tried, 128 a third more. Fewer
	// targets than that are all held, and their mean is the mean of all.
	MaxSamples = 64
	// MaxAge is how old a sample may be and still count: with few targets nothing
	// younger pushes it out, and one whose agent is gone must not stay.
	MaxAge = 10 * time.Second
	// MaxRelayAge is how old a sample may be and still be passed on, so that it
	// reaches its receiver with time left to be of use.
	MaxRelayAge = 5 * time.Second
)

// Sampler is a chestnutstep.Sampler for one target. Set the fields before use.
// It is not safe for use by several goroutines.
type Sampler struct {
	// Model of the target; samples of other models are ignored. Own sets it too.
	Model string
	// Target is this agent's own.
	Target string

	own chestnutstep.Sample
	// samples of other targets, the youngest first.
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

// Merge takes samples from a peer: of each target the youngest. A sample that
// claims to come from the future is taken as of now, or it would never age.
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

// trim puts the youngest first and forgets what is too old or too many.
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

// Samples returns at most n samples worth passing on: this target's first, then the
// youngest. A choice among all would fill every place in the fleet with samples
// of before a surge.
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

// isOwnFresh says whether this target's own sample is young enough to count. Its
// agent sets none while the target takes no work: a failure domain that is out
// would count as idle, lower the mean, and with it the caps of those that carry
// its load.
func (s *Sampler) isOwnFresh(now time.Time, maxAge time.Duration) bool {
	return !s.own.SeenAt.IsZero() && now.Sub(s.own.SeenAt) <= maxAge
}

// Mean estimates the mean over all targets of the model, this one included,
// each counted once. With Most targets or fewer it is the mean over all.
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
