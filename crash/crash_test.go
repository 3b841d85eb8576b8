package crash

import (
	"fmt"
	"math/rand"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 5000) }

// TestScripts runs the scripts in testdata/detector, which simulate crashes on a few targets. Each
// script begins with the effect that callers see.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/detector", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			p := &detectorScript{detectors: map[string]*Detector{}, now: script.Epoch}
			return script.RunLines(d.Input, &p.now, p.step)
		})
	})
}

type detectorScript struct {
	detectors map[string]*Detector
	now       time.Time
}

func (p *detectorScript) detector(target string) *Detector {
	if p.detectors[target] == nil {
		p.detectors[target] = &Detector{Target: target, MaxSuspicions: 4, MaxServed: 3}
	}
	return p.detectors[target]
}

func (p *detectorScript) step(f []string) string {
	d := p.detector(f[1])
	switch f[0] {
	case "crash":
		return formatSuspicions(d.Crash(p.now))
	case "tell":
		reported := d.Suspicions(p.now, 2)
		for _, to := range f[2:] {
			p.detector(to).Merge(p.now, reported)
		}
		return formatSuspicions(reported)
	}
	fingerprint, _ := strconv.ParseUint(f[2], 10, 64)
	switch f[0] {
	case "start":
		d.Start(p.now, fingerprint)
	case "served", "failed":
		d.End(p.now, fingerprint, f[0] == "served")
	}
	return [...]string{"clear", "suspect", "condemned"}[d.Check(p.now, fingerprint)]
}

func formatSuspicions(s []chestnutstep.Suspicion) string {
	var all []string
	for _, one := range s {
		all = append(all, fmt.Sprint(one.Fingerprint, one.CrashedTargets, one.Cleared))
	}
	return strings.Join(all, " ")
}

func drawSuspicion(t *rapid.T) chestnutstep.Suspicion {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	crashed := mergeCrashed(rapid.SliceOfN(name, 1, 2).Draw(t, "crashed"), nil)
	if rapid.Bool().Draw(t, "alone") {
		crashed = []string{crashed[0], crashed[0]}
	}
	return chestnutstep.Suspicion{
		Fingerprint: 7, CrashedTargets: crashed, Cleared: rapid.Bool().Draw(t, "cleared"),
		SeenAt: script.Epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "seen"))),
	}
}

// TestMergeIsASemilattice guards against agents that disagree about a content. Suspicions arrive
// late, twice and out of order; if the order mattered, one agent would serve a content that another
// one has condemned.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawSuspicion(t), drawSuspicion(t), drawSuspicion(t)
		assert.DeepEqual(t, Merge(a, a), a)
		assert.DeepEqual(t, Merge(a, b), Merge(b, a))
		assert.DeepEqual(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
	})
}

// crashSim repeatedly sends one request that crashes every target, together with popular requests
// that all targets have already served.
type crashSim struct {
	r         *rand.Rand
	now       time.Time
	detectors []*Detector
	delayed   []chestnutstep.Suspicion // suspicions that are merged after the next offer
	crashed   map[string]bool
}

const (
	poison       = uint64(1)
	popularCount = 3 // fingerprints 2 to 4
)

func newCrashSim(seed int64) *crashSim {
	s := &crashSim{r: rand.New(rand.NewSource(seed)), now: script.Epoch, crashed: map[string]bool{}}
	for n := range 8 {
		d := &Detector{Target: fmt.Sprint("t", n)}
		for f := range uint64(popularCount) {
			d.Start(s.now, poison+1+f)
			d.End(s.now, poison+1+f, true)
		}
		s.detectors = append(s.detectors, d)
	}
	return s
}

// offer sends the crashing request to a random target. ignoreDetector sends it even if the detector
// has condemned it; delayReports delays the report of the crash by one offer.
func (s *crashSim) offer(ignoreDetector, delayReports bool) {
	d := s.detectors[s.r.Intn(len(s.detectors))]
	s.now = s.now.Add(time.Second)
	reports := s.delayed
	s.delayed = nil
	state := d.Check(s.now, poison)
	if ignoreDetector || state != chestnutstep.ContentCondemned {
		for f := range uint64(popularCount) {
			if state == chestnutstep.ContentClear && d.Check(s.now, poison+1+f) == chestnutstep.ContentClear {
				d.Start(s.now, poison+1+f)
			}
		}
		d.Start(s.now, poison)
		s.crashed[d.Target] = true
		s.delayed = d.Crash(s.now)
	}
	if !delayReports {
		reports = append(reports, s.delayed...)
		s.delayed = nil
	}
	for _, d := range s.detectors {
		d.Merge(s.now, reports)
	}
}

func (s *crashSim) countCondemned() int {
	n := 0
	for _, d := range s.detectors {
		for f := range uint64(popularCount) {
			if d.Check(s.now, poison+1+f) == chestnutstep.ContentCondemned {
				n++
			}
		}
	}
	return n
}

// TestPoisonStopsAfterTwoTargets guards against a repeated request that crashes one target after
// the other. The detector stops it after two targets, even if the report of the first crash is
// late; without the detector all targets crash. Popular requests are never condemned.
//
// If the report of every crash is one offer late, three targets are lost. An agent should therefore
// report a crash to the next targets of the ranking before it answers the caller.
func TestPoisonStopsAfterTwoTargets(t *testing.T) {
	var worst, unprotected, worstDelayed, condemned int
	for seed := range int64(2000) {
		immediate, ignoring, delayed := newCrashSim(seed), newCrashSim(seed), newCrashSim(seed)
		for n := range 40 {
			immediate.offer(false, n == 0 && seed%2 == 0)
			ignoring.offer(true, false)
			delayed.offer(false, true)
		}
		worst = max(worst, len(immediate.crashed))
		unprotected = max(unprotected, len(ignoring.crashed))
		worstDelayed = max(worstDelayed, len(delayed.crashed))
		condemned += immediate.countCondemned() + delayed.countCondemned()
	}
	t.Logf("max targets lost of 8: %d, without the detector %d, with all reports late %d; popular requests condemned: %d",
		worst, unprotected, worstDelayed, condemned)
	assert.Equal(t, worst, 2)
	assert.Equal(t, worstDelayed, 3)
	assert.Equal(t, unprotected, 8)
	assert.Equal(t, condemned, 0)
}

// TestSuspicionsAreBounded guards against unbounded memory when different requests crash one target
// after the other, and against suspects that evict a condemned request.
func TestSuspicionsAreBounded(t *testing.T) {
	d := &Detector{Target: "t", MaxSuspicions: 100}
	d.Merge(script.Epoch, []chestnutstep.Suspicion{{Fingerprint: 1, CrashedTargets: []string{"a", "b"}, SeenAt: script.Epoch}})
	for n := uint64(2); n < 1000; n++ {
		now := script.Epoch.Add(time.Duration(n) * time.Millisecond)
		d.Start(now, n)
		d.Crash(now)
		d.End(now, n, false)
		assert.Assert(t, len(d.suspicions) <= 100 && len(d.pendingEnds)+len(d.running) == 0)
	}
	assert.Equal(t, d.Check(script.Epoch, 1), chestnutstep.ContentCondemned)
	later := script.Epoch.Add(2 * DefaultSuspicionTTL)
	assert.Equal(t, len(d.Suspicions(later, 1)), 0)
	d.Merge(later, []chestnutstep.Suspicion{{Fingerprint: 1, CrashedTargets: []string{"c"}, SeenAt: later}})
	d.Merge(later, []chestnutstep.Suspicion{{Fingerprint: 1, CrashedTargets: []string{"a", "b"}, SeenAt: script.Epoch}})
	assert.Equal(t, d.Check(later, 1), chestnutstep.ContentSuspect, "an expired suspicion was merged")
}

func ExampleFingerprint() {
	a := Fingerprint("darkroom", "/v1/chat", []byte("Is bay 3 free?"))
	b := Fingerprint("prairie", "/v1/chat", []byte("Is bay 3 free?"))
	c := Fingerprint("darkroom", "/v1/chatIs", []byte(" bay 3 free?"))
	fmt.Println(a == b, a == c)
	// Output: false false
}

// BenchmarkJudge reports the cost of a check and the memory per suspicion and per served
// fingerprint.
func BenchmarkJudge(b *testing.B) {
	d := &Detector{Target: "bay-engine-1"}
	before := script.HeapBytes()
	for n := range uint64(DefaultMaxSuspicions) {
		target := fmt.Sprint("bay-engine-", n)
		d.Merge(script.Epoch, []chestnutstep.Suspicion{{Fingerprint: n + 1, CrashedTargets: []string{target}, SeenAt: script.Epoch}})
	}
	between := script.HeapBytes()
	for n := range uint64(DefaultMaxServed) {
		d.Start(script.Epoch, n<<20)
		d.End(script.Epoch, n<<20, true)
	}
	after := script.HeapBytes()
	var n uint64
	for b.Loop() {
		n++
		d.Check(script.Epoch, n%(2*DefaultMaxSuspicions))
	}
	b.ReportMetric((between-before)/DefaultMaxSuspicions, "B/suspicion")
	b.ReportMetric((after-between)/DefaultMaxServed, "B/served")
	runtime.KeepAlive(d)
}
