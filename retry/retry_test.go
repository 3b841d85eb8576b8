package retry

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

// reasons reads every reason of the root package from its source, so that one
// which is added later can't be forgotten here.
func reasons(t *testing.T) []chestnutstep.Reason {
	f, err := parser.ParseFile(token.NewFileSet(), "../chestnutstep.go", nil, 0)
	assert.NilError(t, err)
	var all []chestnutstep.Reason
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if ok && strings.HasPrefix(v.Names[0].Name, "Reason") {
			text, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			all = append(all, chestnutstep.Reason(text))
		}
		return true
	})
	return all
}

// The table in testdata/reasons is the whole of what callers hear and entries
// do, one reason a line: a change of policy shows as a change of that file.
func TestEveryReason(t *testing.T) {
	datadriven.RunTest(t, "testdata/reasons", func(t *testing.T, _ *datadriven.TestData) string {
		var out strings.Builder
		for _, reason := range append(reasons(t), "later") {
			r := Answer(reason)
			_, known := replies[reason]
			assert.Equal(t, known, reason != "later", "%s", reason)
			assert.Equal(t, r.Back || r.Retry == 0, true, "%s", reason)
			fmt.Fprintf(&out, "%-9s %d back %-5v %-3v idempotent: no %-6s maybe %-6s once: no %-6s maybe %s\n",
				reason, r.Status, r.Back, r.Retry,
				say(May(reason, chestnutstep.RunNo, true)), say(May(reason, chestnutstep.RunMaybe, true)),
				say(May(reason, chestnutstep.RunNo, false)), say(May(reason, chestnutstep.RunMaybe, false)))
		}
		return out.String()
	})
}

func say(v Verdict) string { return [...]string{"end", "move", "attach", "repeat"}[v] }

// fleet is the load of one model, second by second: what it can serve, what is
// offered, and how much of what it takes above that is wasted on callers who
// give up midway.
type fleet struct {
	load    int
	most    int
	allowed func(now time.Time) bool
	first   func(now time.Time)
	waiting [3]int // attempts of this second, by how many went before
}

// second plays one second and returns the offers and what was served.
func (f *fleet) second(now time.Time, capacity int) (offers, served int) {
	f.waiting[0] = f.load
	for range f.load {
		f.first(now)
	}
	for _, n := range f.waiting {
		offers += n
	}
	share := min(1, float64(capacity)/float64(offers))
	var next [3]int
	for i, n := range f.waiting {
		good := int(float64(n) * share * share)
		served += good
		for range n - good {
			if i+1 < f.most && f.allowed(now) {
				next[i+1]++
			}
		}
	}
	f.waiting = next
	return offers, served
}

// outage takes half of the capacity away for 20 seconds and gives it back. It
// returns the most offers of a second, and what is served 20 seconds later.
func outage(f *fleet) (most, served int) {
	for n := range 60 {
		capacity := 80
		if n >= 20 && n < 40 {
			capacity = 40
		}
		var offers int
		offers, served = f.second(script.Epoch.Add(time.Duration(n)*time.Second), capacity)
		most = max(most, offers)
	}
	return most, served
}

// Half of the targets fail and return. With plain repeats the offers triple, and
// the repeats alone keep the fleet saturated after it is whole again: callers
// see errors until someone stops the traffic. With the budget the offers grow
// by its share, and all is served when the targets are back.
func TestOutageBringsNoWave(t *testing.T) {
	var a Allowance
	most, served := outage(&fleet{load: 70, most: 3, allowed: a.TryWithdraw, first: a.Deposit})
	plain, stuck := outage(&fleet{
		load: 70, most: 3,
		allowed: func(time.Time) bool { return true }, first: func(time.Time) {},
	})
	t.Logf("70 requests a second, 80 can be served: at most %d offers and %d served after the outage; plain repeats %d and %d",
		most, served, plain, stuck)
	assert.Assert(t, most <= 70+DefaultBank, "the bank is all that adds to the share")
	assert.Equal(t, served, 70)
	assert.Assert(t, plain > 150 && stuck < 40)
}

// All targets are full, and each request is offered down the ranking. With tries
// alone each one costs five offers while there is least to spare; the budget of
// steps holds it at two.
func TestSaturationBoundsSteps(t *testing.T) {
	const tries, requests = 5, 10000
	steps := Steps()
	offers := 0
	for n := range requests {
		now := script.Epoch.Add(time.Duration(n) * time.Second / 70)
		steps.Deposit(now)
		offers++
		for i := 1; i < tries && steps.TryWithdraw(now); i++ {
			offers++
		}
	}
	t.Logf("%d requests made %d offers; %d by tries alone", requests, offers, requests*tries)
	assert.Assert(t, offers <= 2*requests+requests/70+DefaultBank)
}

// An entry that carries a request every few seconds loses its link. Its budget
// of a share would refuse the one repeat that it needs.
func TestQuietEntryMayRepeat(t *testing.T) {
	var a Allowance
	a.Deposit(script.Epoch)
	assert.Assert(t, a.TryWithdraw(script.Epoch))
	assert.Assert(t, !a.TryWithdraw(script.Epoch))
	assert.Assert(t, a.TryWithdraw(script.Epoch.Add(2*time.Second)))
	assert.Assert(t, !a.TryWithdraw(script.Epoch.Add(time.Second)), "a clock that goes back earns nothing")
	night := script.Epoch.Add(10 * time.Hour)
	n := 0
	for a.TryWithdraw(night) {
		n++
	}
	assert.Equal(t, n, DefaultBank, "a quiet night must not pay for a wave")
}
