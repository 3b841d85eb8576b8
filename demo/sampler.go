package demo

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fleet"
)

// samplePeriod is the interval between reads of the engines' load reports.
const samplePeriod = 200 * time.Millisecond

// sampler samples the engines' load reports to measure how evenly the load is
// distributed. largestSum and meanSum add up the largest and the mean load of each
// sample.
type sampler struct {
	fleet      *fleet.Fleet
	done       chan struct{}
	largestSum float64
	meanSum    float64
	crashes    map[string]int
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

// sample adds one sample. It includes only engines in service: an idle engine in a
// failure domain that is out would lower the mean and exaggerate the skew.
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
	s.largestSum += largest
	s.meanSum += sum / float64(n)
}

func (s *sampler) isOut(domain string) bool {
	for _, d := range s.fleet.Publication.Domains {
		if d.Name == domain {
			return d.Out
		}
	}
	return false
}

// skew returns the ratio of the largest load to the mean load over all samples.
func (s *sampler) skew() float64 {
	if s.meanSum == 0 {
		return 0
	}
	return s.largestSum / s.meanSum
}

func (s *sampler) crashCount() int {
	n := 0
	for _, c := range s.crashes {
		n += c
	}
	return n
}
