package admit

import (
	"math"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// targetDelay is how long work may wait for the processor before an entry counts as
	// full.
	targetDelay = 100 * time.Millisecond
	// shedGain is the part of what is still taken that one observation refuses, for each
	// time that the delay is as long as the target, and shedStep bounds it.
	shedGain    = 0.2
	maxShedStep = 0.25
	// shedDecay is what is left of the refused part after an observation without delay.
	shedDecay = 0.93
	// minShedRatio is the refused part that counts as none.
	minShedRatio = 0.02
	// maxShedRatio keeps a few requests coming, whose delay shows when the load is over.
	maxShedRatio = 0.98
	// arrivalsHalfLife halves the count of a workspace's arrivals.
	arrivalsHalfLife = 500 * time.Millisecond
	// minArrivals is the count below which a workspace is forgotten.
	minArrivals = 0.01
)

// LoadShedder refuses requests before they are read while an entry gets more of them than its
// processor can parse. It answers a surge that would make every request wait in the entry
// beyond its deadline, and be parsed for nobody. Workspaces that send more than an even part
// of what is taken are refused the surplus; the others are not refused. It uses the standing
// delay of work that is ready to run; the zero value refuses nothing.
type LoadShedder struct {
	// rejectRatio of the arrivals that is refused.
	rejectRatio float64
	// arrivalLimit is the count of arrivals of one workspace up to which none is refused.
	arrivalLimit float64
	arrivals     map[string]*arrivals
}

// arrivals are the requests of one workspace, counted with exponential decay.
type arrivals struct {
	count     float64
	updatedAt clock.Stamp
	// credit is what is left of the part that is taken; a request is taken for a whole.
	credit float64
}

func (a *arrivals) decayed(now clock.Stamp) float64 {
	return a.count * math.Exp2(-now.Sub(a.updatedAt).Seconds()/arrivalsHalfLife.Seconds())
}

// RejectRatio is the part of the arrivals that is refused.
func (s *LoadShedder) RejectRatio() float64 { return s.rejectRatio }

// Observe takes the usual delay of work since the last observation.
func (s *LoadShedder) Observe(now clock.Stamp, delay time.Duration) {
	if delay > targetDelay {
		step := min(shedGain*delay.Seconds()/targetDelay.Seconds(), maxShedStep)
		s.rejectRatio = min(s.rejectRatio+step*(1-s.rejectRatio), maxShedRatio)
	} else {
		s.rejectRatio *= shedDecay
	}
	if s.rejectRatio < minShedRatio {
		s.rejectRatio = 0
	}
	s.updateArrivalLimit(now)
}

// updateArrivalLimit finds the level at which the workspaces together get what is taken.
func (s *LoadShedder) updateArrivalLimit(now clock.Stamp) {
	counts := make([]float64, 0, len(s.arrivals))
	sum := 0.0
	for workspace, a := range s.arrivals {
		n := a.decayed(now)
		if n < minArrivals {
			delete(s.arrivals, workspace)
			continue
		}
		counts = append(counts, n)
		sum += n
	}
	slices.Sort(counts)
	remaining := (1 - s.rejectRatio) * sum
	s.arrivalLimit = math.Inf(1)
	for i, n := range counts {
		evenShare := remaining / float64(len(counts)-i)
		if n > evenShare {
			s.arrivalLimit = evenShare
			return
		}
		remaining -= n
	}
}

// ShouldReject counts a request of a workspace, and reports whether it is refused.
func (s *LoadShedder) ShouldReject(now clock.Stamp, workspace string) bool {
	if s.arrivals == nil {
		s.arrivals = make(map[string]*arrivals)
	}
	a := s.arrivals[workspace]
	if a == nil {
		a = &arrivals{}
		s.arrivals[workspace] = a
	}
	a.count, a.updatedAt = a.decayed(now)+1, now
	if s.rejectRatio == 0 || a.count <= s.arrivalLimit {
		return false
	}
	a.credit += s.arrivalLimit / a.count
	if a.credit >= 1 {
		a.credit--
		return false
	}
	return true
}
