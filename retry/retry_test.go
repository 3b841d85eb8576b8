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

// parseReasons reads every reason of the root package from its source, so that one
// which is added later can't be forgotten here.
func parseReasons(t *testing.T) []chestnutstep.Reason {
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
		for _, reason := range append(parseReasons(t), "later") {
			r := ReplyFor(reason)
			_, known := replyByReason[reason]
			assert.Equal(t, known, reason != "later", "%s", reason)
			assert.Equal(t, r.Retryable || r.RetryAfter == 0, true, "%s", reason)
			fmt.Fprintf(&out, "%-9s %d back %-5v %-3v idempotent: no %-6s maybe %-6s once: no %-6s maybe %s\n",
				reason, r.Status, r.Retryable, r.RetryAfter,
				actionName(Decide(reason, chestnutstep.RunNo, true)), actionName(Decide(reason, chestnutstep.RunMaybe, true)),
				actionName(Decide(reason, chestnutstep.RunNo, false)), actionName(Decide(reason, chestnutstep.RunMaybe, false)))
		}
		return out.String()
	})
}

func actionName(v Action) string { return [...]string{"end", "move", "attach", "repeat"}[v] }

// fleetSim is the load of one model, second by second: what it can serve, what is
// offered, and how much of what it takes above that is wasted on callers who
// give up midway.
type fleetSim struct {
	load        int
	maxAttempts int
	allowed     func(now time.Time) bool
	recordFirst func(now time.Time)
	waiting     [3]int // attempts of this second, by how many went before
}

// simulateSecond plays one second and returns the offers and what was served.
func (f *fleetSim) simulateSecond(now time.Time, capacity int) (offers, served int) {
	f.waiting[0] = f.load
	for range f.load {
		f.recordFirst(now)
	}
	for _, n := range f.waiting {
		offers += n
	}
	successRatio := min(1, float64(capacity)/float64(offers))
	var next [3]int
	for i, n := range f.waiting {
		good := int(float64(n) * successRatio * successRatio)
		served += good
		for range n - good {
			if i+1 < f.maxAttempts && f.allowed(now) {
				next[i+1]++
			}
		}
	}
	f.waiting = next
	return offers, served
}

// simulateOutage takes half of the capacity away for 20 seconds and gives it back. It
// returns the most offers of a second, and what is served 20 seconds later.
func simulateOutage(f *fleetSim) (maxOffers, served int) {
	for n := range 60 {
		capacity := 80
		if n >= 20 && n < 40 {
			capacity = 40
		}
		var offers int
		offers, served = f.simulateSecond(script.Epoch.Add(time.Duration(n)*time.Second), capacity)
		maxOffers = max(maxOffers, offers)
	}
	return maxOffers, served
}

// Half of the targets fail and return. With plain repeats the offers triple, and
// the repeats alone keep the fleet saturated after it is whole again: callers
// see errors until someone stops the traffic. With the budget the offers grow
// by its share, and all is served when the targets are back.
func TestOutageCausesNoRetryStorm(t *testing.T) {
	var b TokenBucket
	maxOffers, served := simulateOutage(&fleetSim{load: 70, maxAttempts: 3, allowed: b.TryWithdraw, recordFirst: b.Deposit})
	plainOffers, plainServed := simulateOutage(&fleetSim{
		load: 70, maxAttempts: 3,
		allowed: func(time.Time) bool { return true }, recordFirst: func(time.Time) {},
	})
	t.Logf("70 requests a second, 80 can be served: at most %d offers and %d served after the outage; plain repeats %d and %d",
		maxOffers, served, plainOffers, plainServed)
	assert.Assert(t, maxOffers <= 70+DefaultCapacity, "the bank is all that adds to the share")
	assert.Equal(t, served, 70)
	assert.Assert(t, plainOffers > 150 && plainServed < 40)
}

// All targets are full, and each request is offered down the ranking. With tries
// alone each one costs five offers while there is least to spare; the budget of
// steps holds it at two.
func TestSaturationBoundsSteps(t *testing.T) {
	const tries, requests = 5, 10000
	steps := NewStepBudget()
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
	assert.Assert(t, offers <= 2*requests+requests/70+DefaultCapacity)
}

// An entry that carries a request every few seconds loses its link. Its budget
// of a share would refuse the one repeat that it needs.
func TestQuietEntryMayRepeat(t *testing.T) {
	var b TokenBucket
	b.Deposit(script.Epoch)
	assert.Assert(t, b.TryWithdraw(script.Epoch))
	assert.Assert(t, !b.TryWithdraw(script.Epoch))
	assert.Assert(t, b.TryWithdraw(script.Epoch.Add(2*time.Second)))
	assert.Assert(t, !b.TryWithdraw(script.Epoch.Add(time.Second)), "a clock that goes back earns nothing")
	night := script.Epoch.Add(10 * time.Hour)
	n := 0
	for b.TryWithdraw(night) {
		n++
	}
	assert.Equal(t, n, DefaultCapacity, "a quiet night must not pay for a wave")
}
