package order

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep/script"
)

const (
	loadRate    = 2.0
	serverCount = 4
	stepTime    = 100 * time.Millisecond
)

// publishedTargets returns the targets of a publication. Two consecutive versions differ by two
// targets at each end.
func publishedTargets(version uint64) []string {
	var all []string
	for n := 2 * version; n < 2*version+8; n++ {
		all = append(all, fmt.Sprint("t", n))
	}
	return all
}

// store counts the loads that the permit servers of a fleet grant while cold targets request
// permits from all of them continuously.
type store struct {
	now    time.Time
	agents [14]*PermitServer
	times  []time.Time
}

func newStore() *store {
	s := &store{now: script.Epoch}
	for n := range s.agents {
		s.startAgent(n, 1)
	}
	return s
}

// startAgent starts a new agent with a publication.
func (s *store) startAgent(n int, version uint64) {
	s.agents[n] = &PermitServer{Target: fmt.Sprint("t", n)}
	s.configure(n, version)
}

func (s *store) configure(n int, version uint64) {
	s.agents[n].Configure(s.now, publishedTargets(version), loadRate, serverCount)
}

func (s *store) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(stepTime) {
		for _, a := range s.agents {
			if ok, _ := a.Grant(s.now); ok {
				s.times = append(s.times, s.now)
			}
		}
	}
}

// excess returns the maximum number of permits above the fleet's rate, over any period.
func (s *store) excess() float64 {
	highest, lowest := 0.0, 0.0
	for i, at := range s.times {
		above := float64(i) - loadRate*at.Sub(s.times[0]).Seconds()
		lowest = min(lowest, above)
		highest = max(highest, above+1-lowest)
	}
	return highest
}

// TestLoadsStayWithinTheBudget guards against loads above the rate while a publication spreads,
// which agents receive at different times and between restarts. If each new permit server began
// with its full share, the store would refuse loads just when a domain starts cold.
func TestLoadsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		s.advance(20 * time.Second)
		updateOrder := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}).Draw(t, "order")
		for _, n := range updateOrder {
			s.advance(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			s.configure(n, 2)
			if rapid.Bool().Draw(t, "restart") {
				s.startAgent(updateOrder[0], 2)
			}
		}
		s.advance(20 * time.Second)
		assert.Assert(t, s.excess() <= serverCount, "%.1f permits above the rate", s.excess())
		assert.Assert(t, len(s.times) > 30, "only %d loads", len(s.times))
	})
}

// TestPartitionBoundsTheExcess guards against unbounded loads while two halves of a fleet hold
// different publications for long. The excess is the share of the permit servers that differ.
// Permit servers chosen from each agent's own list of live targets have no such bound.
func TestPartitionBoundsTheExcess(t *testing.T) {
	s := newStore()
	for n := range s.agents {
		s.startAgent(n, 1+uint64(n%2))
	}
	s.advance(110 * time.Second)
	moved := 0
	for _, name := range PermitServers(publishedTargets(2), serverCount) {
		if !slices.Contains(PermitServers(publishedTargets(1), serverCount), name) {
			moved++
		}
	}
	maxLoads := loadRate * 100 * (1 + float64(moved)/serverCount)
	t.Logf("100 s at %.0f loads a second, %d of %d permit servers differ: %d loads, at most %.0f", loadRate, moved, serverCount, len(s.times), maxLoads)
	assert.Assert(t, float64(len(s.times)) <= maxLoads+serverCount)

	naive := newStore()
	r := rand.New(rand.NewSource(1))
	for _, a := range naive.agents {
		view := append(publishedTargets(0), publishedTargets(3)...)
		r.Shuffle(len(view), func(i, j int) { view[i], view[j] = view[j], view[i] })
		a.Configure(naive.now, append(view[:6], a.Target), loadRate, serverCount)
	}
	naive.advance(110 * time.Second)
	t.Logf("by each agent's own list of live targets: %d loads", len(naive.times))
	assert.Assert(t, len(naive.times) > 300)
}

// TestIdleSavesOnePermit guards against a burst of loads when many targets start cold after an idle
// hour, from permits saved in that hour, and against a rate so close to zero that its overflow
// lifts the limit.
func TestIdleSavesOnePermit(t *testing.T) {
	w := &PermitServer{Target: "t"}
	w.Configure(script.Epoch, []string{"t"}, loadRate, serverCount)
	now := script.Epoch.Add(time.Hour)
	assert.Equal(t, grantBurst(w, now), 1)
	ok, wait := w.Grant(now)
	assert.Assert(t, !ok && wait == time.Second/2)
	w.Configure(now, []string{"t", "u"}, 2*loadRate, serverCount)
	assert.Equal(t, grantBurst(w, now.Add(time.Second/2)), 1, "an unchanged share keeps its permits in a new publication")
	w.Configure(now, []string{"t"}, 1e-30, serverCount)
	assert.Equal(t, grantBurst(w, now.Add(2*maxPermitInterval)), 1)
	w.Configure(now, []string{"t"}, 0, serverCount)
	assert.Equal(t, grantBurst(w, now.Add(9*maxPermitInterval)), 0, "a rate of 0 grants no permit")
}

func grantBurst(w *PermitServer, now time.Time) int {
	n := 0
	for range 100 {
		if ok, _ := w.Grant(now); ok {
			n++
		}
	}
	return n
}
