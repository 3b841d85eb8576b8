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
	loads   = 2.0
	wardens = 4
	moment  = 100 * time.Millisecond
)

// published are the targets of two publications that differ by two at each end.
func published(version uint64) []string {
	var all []string
	for n := 2 * version; n < 2*version+8; n++ {
		all = append(all, fmt.Sprint("t", n))
	}
	return all
}

// store counts what the wardens of a fleet let through to the weight store while
// cold targets ask all of them all the time.
type store struct {
	now    time.Time
	agents [14]*PermitServer
	times  []time.Time
}

func newStore() *store {
	s := &store{now: script.Epoch}
	for n := range s.agents {
		s.start(n, 1)
	}
	return s
}

// start makes an agent new and lets it learn a publication.
func (s *store) start(n int, version uint64) {
	s.agents[n] = &PermitServer{Target: fmt.Sprint("t", n)}
	s.learn(n, version)
}

func (s *store) learn(n int, version uint64) {
	s.agents[n].Limit(s.now, published(version), loads, wardens)
}

func (s *store) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(moment) {
		for _, a := range s.agents {
			if ok, _ := a.Permit(s.now); ok {
				s.times = append(s.times, s.now)
			}
		}
	}
}

// excess is the most permits, over any stretch of time, above the fleet's rate.
func (s *store) excess() float64 {
	most, least := 0.0, 0.0
	for i, at := range s.times {
		above := float64(i) - loads*at.Sub(s.times[0]).Seconds()
		least = min(least, above)
		most = max(most, above+1-least)
	}
	return most
}

// A publication spreads, and agents learn it at different moments and restart. If
// each new permit server began with its full share, the store would refuse loads just
// while a domain starts cold.
func TestLoadsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		s.pass(20 * time.Second)
		left := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}).Draw(t, "order")
		for _, n := range left {
			s.pass(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			s.learn(n, 2)
			if rapid.Bool().Draw(t, "restart") {
				s.start(left[0], 2)
			}
		}
		s.pass(20 * time.Second)
		assert.Assert(t, s.excess() <= wardens, "%.1f permits above the rate", s.excess())
		assert.Assert(t, len(s.times) > 30, "only %d loads", len(s.times))
	})
}

// Two halves of a fleet hold different publications for long. The excess is the
// share of the wardens that differ. Wardens picked from who is thought alive, as
// each agent sees it, have no such bound.
func TestPartitionBoundsTheExcess(t *testing.T) {
	s := newStore()
	for n := range s.agents {
		s.start(n, 1+uint64(n%2))
	}
	s.pass(110 * time.Second)
	moved := 0
	for _, name := range Wardens(published(2), wardens) {
		if !slices.Contains(Wardens(published(1), wardens), name) {
			moved++
		}
	}
	most := loads * 100 * (1 + float64(moved)/wardens)
	t.Logf("100 s at %.0f loads a second, %d of %d wardens differ: %d loads, at most %.0f", loads, moved, wardens, len(s.times), most)
	assert.Assert(t, float64(len(s.times)) <= most+wardens)

	naive := newStore()
	r := rand.New(rand.NewSource(1))
	for _, a := range naive.agents {
		view := append(published(0), published(3)...)
		r.Shuffle(len(view), func(i, j int) { view[i], view[j] = view[j], view[i] })
		a.Limit(naive.now, append(view[:6], a.Target), loads, wardens)
	}
	naive.pass(110 * time.Second)
	t.Logf("by each agent's own view of who is alive: %d loads", len(naive.times))
	assert.Assert(t, len(naive.times) > 300)
}

// A quiet hour passes and then many targets start cold at once. What the wardens
// saved up in that hour would flood the store; and so would a rate so close to
// nothing that its overflow meant no limit.
func TestQuietSavesOnePermit(t *testing.T) {
	w := &PermitServer{Target: "t"}
	w.Limit(script.Epoch, []string{"t"}, loads, wardens)
	now := script.Epoch.Add(time.Hour)
	assert.Equal(t, burst(w, now), 1)
	ok, wait := w.Permit(now)
	assert.Assert(t, !ok && wait == time.Second/2)
	w.Limit(now, []string{"t", "u"}, 2*loads, wardens)
	assert.Equal(t, burst(w, now.Add(time.Second/2)), 1, "the same share in a new publication goes on")
	w.Limit(now, []string{"t"}, 1e-30, wardens)
	assert.Equal(t, burst(w, now.Add(2*maxEach)), 1)
	w.Limit(now, []string{"t"}, 0, wardens)
	assert.Equal(t, burst(w, now.Add(9*maxEach)), 0, "a rate of 0 lets nothing go")
}

func burst(w *PermitServer, now time.Time) int {
	n := 0
	for range 100 {
		if ok, _ := w.Permit(now); ok {
			n++
		}
	}
	return n
}
