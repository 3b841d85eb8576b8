package crash

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
)

var epoch = time.Unix(1000, 0)

// TestMain fixes the seeds, so that CI gives the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261202", "rapid.checks": "5000", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// The scripts in testdata/jury play crashes at a few targets; each opens with
// what callers notice.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/jury", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			s := &script{juries: map[string]*Jury{}, now: epoch}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				f := strings.Fields(line)
				fmt.Fprintf(&out, "%s: %s\n", strings.Join(f, " "), s.step(f))
			}
			return out.String()
		})
	})
}

type script struct {
	juries map[string]*Jury
	now    time.Time
}

func (s *script) jury(target string) *Jury {
	if s.juries[target] == nil {
		s.juries[target] = &Jury{Target: target, Most: 4, Served: 3}
	}
	return s.juries[target]
}

func (s *script) step(f []string) string {
	if f[0] == "pass" {
		d, _ := time.ParseDuration(f[1])
		s.now = s.now.Add(d)
		return "ok"
	}
	j := s.jury(f[1])
	switch f[0] {
	case "crash":
		return say(j.Crash(s.now))
	case "tell":
		told := j.Tell(s.now, 2)
		for _, to := range f[2:] {
			s.jury(to).Learn(s.now, told)
		}
		return say(told)
	}
	fingerprint, _ := strconv.ParseUint(f[2], 10, 64)
	switch f[0] {
	case "start":
		j.Start(s.now, fingerprint)
	case "served":
		j.End(s.now, fingerprint, true)
	case "failed":
		j.End(s.now, fingerprint, false)
	}
	return [...]string{"clear", "suspect", "condemned"}[j.Judge(s.now, fingerprint)]
}

func say(s []chestnutstep.Suspicion) string {
	var all []string
	for _, one := range s {
		all = append(all, fmt.Sprint(one.Fingerprint, one.Crashed, one.Cleared))
	}
	return strings.Join(all, " ")
}

func suspicion(t *rapid.T) chestnutstep.Suspicion {
	return chestnutstep.Suspicion{
		Fingerprint: 7,
		Crashed:     mergeCrashed(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 2).Draw(t, "crashed"), nil),
		Cleared:     rapid.Bool().Draw(t, "cleared"),
		Seen:        epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "seen"))),
	}
}

// Suspicions cross on their way, come twice and come late. If the order mattered,
// one agent would serve what another has condemned.
func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := suspicion(t), suspicion(t), suspicion(t)
		if rapid.Bool().Draw(t, "alone") {
			a.Crashed = []string{"c", "c"}
		}
		if rapid.Bool().Draw(t, "alone") {
			b.Crashed = []string{"b", "b"}
		}
		assert.DeepEqual(t, Merge(a, a), a)
		assert.DeepEqual(t, Merge(a, b), Merge(b, a))
		assert.DeepEqual(t, Merge(Merge(a, b), c), Merge(a, Merge(b, c)))
	})
}

// outage sends one request that crashes every target again and again, among
// popular ones that run beside it.
type outage struct {
	r       *rand.Rand
	now     time.Time
	juries  []*Jury
	popular []uint64
	// late is news that reach the other targets only after the next offer.
	late    []chestnutstep.Suspicion
	crashed map[string]bool
}

const poison = 1

func newOutage(seed int64) *outage {
	o := &outage{
		r: rand.New(rand.NewSource(seed)), now: epoch, popular: []uint64{2, 3, 4}, crashed: map[string]bool{},
	}
	for n := range 8 {
		j := &Jury{Target: fmt.Sprint("t", n)}
		for _, fingerprint := range o.popular {
			j.Start(o.now, fingerprint)
			j.End(o.now, fingerprint, true)
		}
		o.juries = append(o.juries, j)
	}
	return o
}

// offer sends the bad request to any target; blind ignores what its jury says,
// slow delays the news of the crash by one offer.
func (o *outage) offer(blind, slow bool) {
	j := o.juries[o.r.Intn(len(o.juries))]
	o.now = o.now.Add(time.Second)
	late := o.late
	o.late = nil
	defer o.tell(late)
	judged := j.Judge(o.now, poison)
	if !blind && judged == chestnutstep.Condemned {
		return
	}
	for _, fingerprint := range o.popular {
		if judged == chestnutstep.Clear && j.Judge(o.now, fingerprint) == chestnutstep.Clear {
			j.Start(o.now, fingerprint)
		}
	}
	j.Start(o.now, poison)
	o.crashed[j.Target] = true
	if slow {
		o.late = j.Crash(o.now)
		return
	}
	o.tell(j.Crash(o.now))
}

func (o *outage) tell(news []chestnutstep.Suspicion) {
	for _, j := range o.juries {
		j.Learn(o.now, news)
	}
}

func (o *outage) condemned() int {
	n := 0
	for _, j := range o.juries {
		for _, fingerprint := range o.popular {
			if j.Judge(o.now, fingerprint) == chestnutstep.Condemned {
				n++
			}
		}
	}
	return n
}

// A caller repeats a request that crashes each target which runs it. It stops
// after two targets, also when the news of the first crash come late; without
// the jury it takes down every one. What many callers ask is still served. When
// the news of every crash are late by one offer, more targets are lost: the
// agent should tell the next targets of the ranking before it tells the caller.
func TestPoisonStopsAfterTwoTargets(t *testing.T) {
	const rounds = 2000
	var worst, naive, slow, condemned int
	for seed := range int64(rounds) {
		prompt, blind, lagging := newOutage(seed), newOutage(seed), newOutage(seed)
		for n := range 40 {
			prompt.offer(false, n == 0 && seed%2 == 0)
			blind.offer(true, false)
			lagging.offer(false, true)
		}
		worst = max(worst, len(prompt.crashed))
		naive = max(naive, len(blind.crashed))
		slow = max(slow, len(lagging.crashed))
		condemned += prompt.condemned() + lagging.condemned()
	}
	t.Logf("%d rounds of 40 offers to 8 targets: lost at most %d, without the jury %d, with all news late %d; popular requests condemned %d",
		rounds, worst, naive, slow, condemned)
	assert.Equal(t, worst, 2)
	assert.Equal(t, naive, 8)
	assert.Equal(t, condemned, 0)
}

// Requests that all differ crash target after target. What an agent keeps stays
// bounded, and a condemned request is not pushed out by mere suspects.
func TestSuspicionsAreBounded(t *testing.T) {
	j := &Jury{Target: "t", Most: 100}
	j.Learn(epoch, []chestnutstep.Suspicion{{Fingerprint: 1, Crashed: []string{"a", "b"}, Seen: epoch}})
	for n := uint64(2); n < 1000; n++ {
		now := epoch.Add(time.Duration(n) * time.Millisecond)
		j.Start(now, n)
		j.Crash(now)
		assert.Assert(t, len(j.cases) <= 100)
	}
	assert.Equal(t, j.Judge(epoch, 1), chestnutstep.Condemned)
	j.Tell(epoch.Add(2*DefaultKeep), 1)
	assert.Equal(t, len(j.cases), 0)
	later := epoch.Add(2 * DefaultKeep)
	j.Learn(later, []chestnutstep.Suspicion{{Fingerprint: 1, Crashed: []string{"c"}, Seen: later}})
	j.Learn(later, []chestnutstep.Suspicion{{Fingerprint: 1, Crashed: []string{"a", "b"}, Seen: epoch}})
	assert.Equal(t, j.Judge(later, 1), chestnutstep.Suspect, "news that had expired were taken in")
}

func ExampleFingerprint() {
	a := Fingerprint("darkroom", "/v1/chat", []byte("Is bay 3 free?"))
	b := Fingerprint("prairie", "/v1/chat", []byte("Is bay 3 free?"))
	c := Fingerprint("darkroom", "/v1/chatIs", []byte(" bay 3 free?"))
	fmt.Println(a == b, a == c)
	// Output: false false
}

// BenchmarkJudge prints the cost of a judgement, and what a suspicion and a
// served fingerprint take in memory.
func BenchmarkJudge(b *testing.B) {
	j := &Jury{Target: "bay-engine-1"}
	before := heap()
	for n := range uint64(DefaultMost) {
		target := fmt.Sprint("bay-engine-", n)
		j.Learn(epoch, []chestnutstep.Suspicion{{Fingerprint: n + 1, Crashed: []string{target}, Seen: epoch}})
	}
	between := heap()
	for n := range uint64(DefaultServed) {
		j.Start(epoch, n<<20)
		j.End(epoch, n<<20, true)
	}
	after := heap()
	var n uint64
	for b.Loop() {
		n++
		j.Judge(epoch, n%(2*DefaultMost))
	}
	b.ReportMetric((between-before)/DefaultMost, "B/suspicion")
	b.ReportMetric((after-between)/DefaultServed, "B/served")
	runtime.KeepAlive(j)
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
