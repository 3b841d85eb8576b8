package demo

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fleet"
)

// samplePeriod is how often the engines' own load reports are read.
const samplePeriod = 200 * time.Millisecond

// sampler compares the engines' loads by their own reports.
type sampler struct {
	fleet   *fleet.Fleet
	done    chan struct{}
	largest float64
	mean    float64
	crashes map[string]int
}

func (s *sampler) run(ctx context.Context) {
	defer close(s.done)
	s.crashes = map[string]int{}
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sample(ctx)
		}
	}
}

// sample takes engines in service only: an empty one that operators took out
// would make the rest look uneven.
func (s *sampler) sample(ctx context.Context) {
	var sum, largest float64
	n := 0
	for _, t := range s.fleet.Targets {
		if t.Kind != chestnutstep.KindEngine || s.isOut(t.Domain) {
			continue
		}
		l, err := t.Load(ctx)
		if err != nil {
			return
		}
		s.crashes[t.Name] = l.Crashes
		n++
		sum += float64(l.Running + l.Waiting)
		largest = max(largest, float64(l.Running+l.Waiting))
	}
	if n == 0 {
		return
	}
	s.largest += largest
	s.mean += sum / float64(n)
}

func (s *sampler) isOut(domain string) bool {
	for _, d := range s.fleet.Publication.Domains {
		if d.Name == domain {
			return d.Out
		}
	}
	return false
}

// skew is the largest load over the mean load, over the whole play.
func (s *sampler) skew() float64 {
	if s.mean == 0 {
		return 0
	}
	return s.largest / s.mean
}

func (s *sampler) crashCount() int {
	n := 0
	for _, c := range s.crashes {
		n += c
	}
	return n
}
