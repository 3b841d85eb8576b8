package admit

import (
	"math"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// delayTarget is how long work may wait for the processor before an entry counts as
	// full.
	delayTarget = 100 * time.Millisecond
	// shedGain is the part of what is still taken that one observation refuses, for each
	// time that the delay is as long as the target, and shedStep bounds it.
	shedGain = 0.2
	shedStep = 0.25
	// shedEase is what is left of the refused part after an observation without delay.
	shedEase = 0.93
	// shedLeast is the refused part that counts as none.
	shedLeast = 0.02
	// shedMost keeps a few requests coming, whose delay shows when the load is over.
	shedMost = 0.98
	// arrivalsHalf halves the count of a workspace's arrivals.
	arrivalsHalf = 500 * time.Millisecond
	// arrivalsForgotten is the count below which a workspace is forgotten.
	arrivalsForgotten = 0.01
)

// LoadShedder refuses requests before they are read while an entry gets more of them than its
// processor can parse. It answers a surge that would make every request wait in the entry
// beyond its deadline, and be parsed for nobody. Workspaces that send more than an even part
// of what is taken are refused the surplus; the others are not refused. It uses the standing
// delay of work that is ready to run; the zero value refuses nothing.
type LoadShedder struct {
	// part of the arrivals that is refused.
	part float64
	// level is the count of arrivals of one workspace up to which none is refused.
	level    float64
	arrivals map[string]*arrivals
}

// arrivals are the requests of one workspace, counted with exponential decay.
type arrivals struct {
	n    float64
	last clock.Stamp
	// credit is what is left of the part that is taken; a request is taken for a whole.
	credit float64
}

func (a *arrivals) at(now clock.Stamp) float64 {
	return a.n * math.Exp2(-now.Sub(a.last).Seconds()/arrivalsHalf.Seconds())
}

// RejectRatio is the part of the arrivals that is refused.
func (s *LoadShedder) RejectRatio() float64 { return s.part }

// Observe takes the usual delay of work since the last observation.
func (s *LoadShedder) Observe(now clock.Stamp, delay time.Duration) {
	if delay > delayTarget {
		step := min(shedGain*delay.Seconds()/delayTarget.Seconds(), shedStep)
		s.part = min(s.part+step*(1-s.part), shedMost)
	} else {
		s.part *= shedEase
	}
	if s.part < shedLeast {
		s.part = 0
	}
	s.divide(now)
}

// divide finds the level at which the workspaces together get what is taken.
func (s *LoadShedder) divide(now clock.Stamp) {
	counts := make([]float64, 0, len(s.arrivals))
	sum := 0.0
	for who, a := range s.arrivals {
		n := a.at(now)
		if n < arrivalsForgotten {
			delete(s.arrivals, who)
			continue
		}
		counts = append(counts, n)
		sum += n
	}
	slices.Sort(counts)
	left := (1 - s.part) * sum
	s.level = math.Inf(1)
	for i, n := range counts {
		even := left / float64(len(counts)-i)
		if n > even {
			s.level = even
			return
		}
		left -= n
	}
}

// Refuse counts a request of a workspace, and reports whether it is refused.
func (s *LoadShedder) Refuse(now clock.Stamp, workspace string) bool {
	if s.arrivals == nil {
		s.arrivals = make(map[string]*arrivals)
	}
	a := s.arrivals[workspace]
	if a == nil {
		a = &arrivals{}
		s.arrivals[workspace] = a
	}
	a.n, a.last = a.at(now)+1, now
	if s.part == 0 || a.n <= s.level {
		return false
	}
	a.credit += s.level / a.n
	if a.credit >= 1 {
		a.credit--
		return false
	}
	return true
}
