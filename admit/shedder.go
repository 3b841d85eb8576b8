package admit

import (
	"math"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// targetDelay is the maximum scheduling delay before an entry counts as overloaded.
	targetDelay = 100 * time.Millisecond
	// shedGain is the part of the still accepted requests that one observation adds to the rejected
	// ones, per multiple of targetDelay; maxShedStep limits that part.
	shedGain    = 0.2
	maxShedStep = 0.25
	// shedDecay is the factor by which an observation without delay reduces the reject ratio.
	shedDecay = 0.93
	// minShedRatio is the reject ratio below which nothing is rejected.
	minShedRatio = 0.02
	// maxShedRatio is the maximum reject ratio. A few requests are always accepted, as their delay
	// shows when the overload has ended.
	maxShedRatio = 0.98
	// arrivalsHalfLife is the half-life of the count of a workspace's arrivals.
	arrivalsHalfLife = 500 * time.Millisecond
	// minArrivals is the count below which a workspace is removed.
	minArrivals = 0.01
)

// LoadShedder decides which requests an entry rejects unread while it receives more than its
// processor can parse. Without it, every request in a surge would wait in the entry beyond its
// deadline and be parsed in vain. The accepted requests are shared evenly: only workspaces that
// send more than an even share have their excess rejected. The input is the scheduling delay of
// work that is ready to run. The zero value rejects nothing.
type LoadShedder struct {
	// rejectRatio is the part of the arrivals that is rejected.
	rejectRatio float64
	// arrivalLimit is the count of arrivals of one workspace up to which nothing is rejected.
	arrivalLimit float64
	arrivals     map[string]*arrivals
}

// arrivals counts the requests of one workspace with exponential decay.
type arrivals struct {
	count     float64
	updatedAt clock.Stamp
	// credit accumulates the accepted fraction of each request; one request is accepted when it
	// reaches 1.
	credit float64
}

func (a *arrivals) decayed(now clock.Stamp) float64 {
	return a.count * math.Exp2(-now.Sub(a.updatedAt).Seconds()/arrivalsHalfLife.Seconds())
}

// RejectRatio returns the part of the arrivals that is rejected.
func (s *LoadShedder) RejectRatio() float64 { return s.rejectRatio }

// Observe records the typical scheduling delay since the last observation.
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

// updateArrivalLimit computes the arrival limit at which all workspaces together get the accepted
// part of the arrivals.
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

// ShouldReject counts a request of a workspace and reports whether to reject it.
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
