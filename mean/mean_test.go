package mean

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

var epoch = time.Unix(0, 0)

// estimator is a method to estimate the mean: the exchange that each agent has once a second
// with a random peer, and the resulting estimate.
type estimator interface {
	round(now time.Time, loads []float64, r *rand.Rand)
	mean(now time.Time, i int) float64
	// bytes returns the number of bytes that each agent sends per second.
	bytes() float64
}

// sampleBytes is the size of a sample on the wire: name, model, load and age.
const sampleBytes = 40

// samplers uses Sampler, with n samples per exchange.
type samplers struct {
	agents []Sampler
	n      int
	sent   int
	rounds int
	// neighbors holds the neighbors that each agent exchanges with in turn, as in package
	// gossip. Without them, each peer is drawn at random.
	neighbors [][]int
}

func newSamplers(agents, n int) *samplers {
	x := &samplers{n: n}
	for i := range agents {
		x.agents = append(x.agents, Sampler{Model: "m", Target: fmt.Sprint("t", i)})
	}
	return x
}

func (x *samplers) round(now time.Time, loads []float64, r *rand.Rand) {
	x.rounds++
	for i := range x.agents {
		// Agents are not synchronized with each other.
		at := now.Add(time.Duration(i) * time.Second / time.Duration(len(x.agents)))
		a, b := &x.agents[i], &x.agents[x.peer(i, r)]
		a.SetLocal(at, chestnutstep.Sample{Load: loads[i]})
		sent, received := a.Samples(at, x.n), b.Samples(at, x.n)
		b.Merge(at, sent)
		a.Merge(at, received)
		x.sent += len(sent) + len(received)
	}
}

func (x *samplers) peer(i int, r *rand.Rand) int {
	if x.neighbors == nil {
		return r.IntN(len(x.agents))
	}
	neighbors := x.neighbors[i]
	if x.rounds%60 == i%60 {
		neighbors[r.IntN(len(neighbors))] = r.IntN(len(x.agents))
	}
	return neighbors[x.rounds%len(neighbors)]
}

// newNeighborSamplers is newSamplers with six neighbors for each agent.
func newNeighborSamplers(agents, n int) *samplers {
	x := newSamplers(agents, n)
	r := rand.New(rand.NewPCG(7, 8))
	for range agents {
		x.neighbors = append(x.neighbors, r.Perm(agents)[:min(6, agents)])
	}
	return x
}

func (x *samplers) mean(now time.Time, i int) float64 {
	return x.agents[i].Mean(now.Add(time.Second)).Load
}

func (x *samplers) bytes() float64 {
	return float64(x.sent) * sampleBytes / float64(x.rounds) / float64(len(x.agents))
}

// pollTTL is how long polls count: of 3, 4, 5 and 10 s, 4 s has about the smallest error.
const pollTTL = 4 * time.Second

// polls asks k random peers per second for their own load and averages the answers of the last
// pollTTL.
type polls struct {
	k       int
	samples [][]chestnutstep.Sample
}

func (x *polls) round(now time.Time, loads []float64, r *rand.Rand) {
	if x.samples == nil {
		x.samples = make([][]chestnutstep.Sample, len(loads))
	}
	for i := range x.samples {
		for range x.k {
			x.samples[i] = append(x.samples[i], chestnutstep.Sample{Load: loads[r.IntN(len(loads))], SeenAt: now})
		}
		for len(x.samples[i]) > 0 && now.Sub(x.samples[i][0].SeenAt) > pollTTL {
			x.samples[i] = x.samples[i][1:]
		}
	}
}

func (x *polls) mean(_ time.Time, i int) float64 {
	sum := 0.0
	for _, s := range x.samples[i] {
		sum += s.Load
	}
	return sum / float64(len(x.samples[i]))
}

// bytes counts a poll as a request and an answer of half a sample each.
func (x *polls) bytes() float64 { return float64(x.k) * sampleBytes }

// pushSum averages with the push-sum protocol: each agent sends half of its sum and weight to a
// peer. Changes of its own load are added to its sum.
type pushSum struct {
	sum, weight, last []float64
}

func (x *pushSum) round(_ time.Time, loads []float64, r *rand.Rand) {
	if x.sum == nil {
		n := len(loads)
		x.sum, x.weight, x.last = make([]float64, n), make([]float64, n), make([]float64, n)
		for i := range x.weight {
			x.weight[i] = 1
		}
	}
	for i := range x.sum {
		x.sum[i] += loads[i] - x.last[i]
		x.last[i] = loads[i]
	}
	for i := range x.sum {
		x.sum[i] /= 2
		x.weight[i] /= 2
		j := r.IntN(len(x.sum))
		x.sum[j] += x.sum[i]
		x.weight[j] += x.weight[i]
	}
}

func (x *pushSum) mean(_ time.Time, i int) float64 { return x.sum[i] / x.weight[i] }

func (x *pushSum) bytes() float64 { return 16 }

// loadPattern generates loads that differ by target (standard deviation: a third of the mean)
// and rise and fall together by the ratio swing within a minute.
type loadPattern struct {
	rand  *rand.Rand
	bias  []float64
	swing float64
}

func newLoadPattern(n int, swing float64) *loadPattern {
	p := &loadPattern{rand: rand.New(rand.NewPCG(1, 2)), bias: make([]float64, n), swing: swing}
	for i := range p.bias {
		p.bias[i] = p.rand.NormFloat64() / 3
	}
	return p
}

func (p *loadPattern) loads(second int) []float64 {
	level := 8 * (1 + p.swing*math.Sin(2*math.Pi*float64(second)/60))
	loads := make([]float64, len(p.bias))
	for i := range loads {
		p.bias[i] = 0.9*p.bias[i] + 0.1*p.rand.NormFloat64()*1.5
		loads[i] = max(0, level*(1+p.bias[i]))
	}
	return loads
}

// measureError returns the root mean square of the relative error over agents and seconds, and
// the largest bias in one second.
func measureError(x estimator, targets, seconds int, swing float64) (rms, bias float64) {
	pattern := newLoadPattern(targets, swing)
	r := rand.New(rand.NewPCG(3, 4))
	n := 0
	for s := range seconds {
		now := epoch.Add(time.Duration(s) * time.Second)
		loads := pattern.loads(s)
		x.round(now, loads, r)
		if s < 20 {
			continue
		}
		truth, sum := average(loads), 0.0
		for i := 0; i < targets; i += 9 {
			e := x.mean(now, i)/truth - 1
			rms += e * e
			sum += e
			n++
		}
		bias = max(bias, math.Abs(sum/float64((targets+8)/9)))
	}
	return math.Sqrt(rms / float64(n)), bias
}

func average(loads []float64) float64 {
	sum := 0.0
	for _, x := range loads {
		sum += x
	}
	return sum / float64(len(loads))
}

// TestErrorOfTheMean guards against an error of the estimated mean of more than a tenth: the
// caps would be off by the same ratio, and the requests of one caller would wait longer than
// those of another for no reason.
func TestErrorOfTheMean(t *testing.T) {
	const targets, seconds, surge = 400, 50, 1.0 / 3
	rms, _ := measureError(newSamplers(targets, 16), targets, seconds, surge)
	assert.Assert(t, rms < 0.09, "relayed samples: error %.3f", rms)
	neighborRMS, _ := measureError(newNeighborSamplers(targets, 8), targets, seconds, surge)
	assert.Assert(t, neighborRMS < 0.1, "exchanges with neighbors: error %.3f", neighborRMS)
	pollRMS, _ := measureError(&polls{k: 2}, targets, seconds, surge)
	assert.Assert(t, pollRMS > 1.3*rms, "polls without relay: error %.3f", pollRMS)
}

// TestMeanIsExactForFewTargets guards against an estimate that misses targets of a small fleet:
// with constant loads the mean must be exact.
func TestMeanIsExactForFewTargets(t *testing.T) {
	for _, n := range []int{3, 12, 18} {
		x := newNeighborSamplers(n, 16)
		r := rand.New(rand.NewPCG(5, 6))
		loads := make([]float64, n)
		for i := range loads {
			loads[i] = float64(i)
		}
		for s := range 30 {
			x.round(epoch.Add(time.Duration(s)*time.Second), loads, r)
		}
		for i := range x.agents {
			m := x.agents[i].Mean(epoch.Add(30 * time.Second))
			assert.Equal(t, m.Targets, n-1)
			assert.Assert(t, math.Abs(m.Load-average(loads)) < 1e-9)
		}
	}
}

// TestOldSamplesAreForgotten guards against an isolated agent that uses samples that are
// minutes old instead of reporting that it has none.
func TestOldSamplesAreForgotten(t *testing.T) {
	s := Sampler{Model: "m", Target: "self"}
	s.SetLocal(epoch, chestnutstep.Sample{Load: 1})
	s.Merge(epoch, []chestnutstep.Sample{
		{Target: "a", Model: "m", Load: 5, SeenAt: epoch.Add(-4 * time.Second)},
		{Target: "a", Model: "m", Load: 9, SeenAt: epoch.Add(-6 * time.Second)},
		{Target: "b", Model: "other", Load: 50, SeenAt: epoch},
		{Target: "self", Model: "m", Load: 50, SeenAt: epoch},
		{Target: "late", Model: "m", Load: 50, SeenAt: epoch.Add(-time.Minute)},
		{Target: "odd", Model: "m", Load: math.NaN(), SeenAt: epoch},
	})
	assert.Equal(t, s.Mean(epoch), chestnutstep.Mean{Load: 3, Targets: 1, Age: 4 * time.Second})
	assert.Equal(t, len(s.Samples(epoch, 16)), 2)
	assert.Equal(t, len(s.Samples(epoch.Add(2*time.Second), 16)), 1, "too old to pass on")
	assert.Equal(t, s.Mean(epoch.Add(7*time.Second)).Targets, 0)
}

// TestTableIsBounded guards against unbounded memory when a peer sends thousands of names by
// mistake or on purpose.
func TestTableIsBounded(t *testing.T) {
	s := Sampler{Model: "m", Target: "self"}
	for i := range 3 * MaxSamples {
		s.Merge(epoch, []chestnutstep.Sample{{Target: fmt.Sprint(i), Model: "m", Load: 1, SeenAt: epoch}})
	}
	assert.Equal(t, s.Mean(epoch).Targets, MaxSamples)
}

// BenchmarkMean reports for each estimator the error at a steady load and in a surge, the
// largest common bias of all agents in a second, and the bytes that an agent sends.
func BenchmarkMean(b *testing.B) {
	const targets, seconds = 2700, 65
	for _, c := range []struct {
		name string
		make func() estimator
	}{
		{"circle=16", func() estimator { return newNeighborSamplers(targets, 16) }},
		{"circle=12", func() estimator { return newNeighborSamplers(targets, 12) }},
		{"circle=8", func() estimator { return newNeighborSamplers(targets, 8) }},
		{"relay=16", func() estimator { return newSamplers(targets, 16) }},
		{"relay=8", func() estimator { return newSamplers(targets, 8) }},
		{"relay=4", func() estimator { return newSamplers(targets, 4) }},
		{"relay=1", func() estimator { return newSamplers(targets, 1) }},
		{"poll=2", func() estimator { return &polls{k: 2} }},
		{"poll=8", func() estimator { return &polls{k: 8} }},
		{"poll=16", func() estimator { return &polls{k: 16} }},
		{"pushsum", func() estimator { return &pushSum{} }},
	} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				x := c.make()
				calm, _ := measureError(c.make(), targets, seconds, 0)
				rms, bias := measureError(x, targets, seconds, 1.0/3)
				b.ReportMetric(100*calm, "%calm")
				b.ReportMetric(100*rms, "%surge")
				b.ReportMetric(100*bias, "%bias")
				b.ReportMetric(x.bytes(), "bytes/s")
			}
		})
	}
}

// TestTargetsThatTakeNoWorkDoNotCount guards against a failure domain that is out and whose
// agents still gossip with no load: if they counted, the mean would be too low, and the targets
// that took over the load would reject requests below their real cap.
func TestTargetsThatTakeNoWorkDoNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	out := &Sampler{Model: "m", Target: "out"}
	out.SetLocal(now, chestnutstep.Sample{})
	in := &Sampler{Model: "m", Target: "in"}
	later := now.Add(MaxAge + time.Second)
	in.SetLocal(later, chestnutstep.Sample{Load: 8})
	assert.Equal(t, len(out.Samples(later, 16)), 0)
	in.Merge(later, out.Samples(later, 16))
	assert.Equal(t, in.Mean(later).Load, 8.0)
	assert.Equal(t, out.Mean(later).Load, 0.0)
}
