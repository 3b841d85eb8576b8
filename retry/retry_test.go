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

// parseReasons parses all reasons from the source of the root package, so that none can be missing
// in the test.
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

// TestEveryReason guards against unintended changes of policy: testdata/reasons lists the reply to
// callers and the actions of entries for every reason, one per line.
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

// fleetSim simulates the load of one model in steps of a second: its capacity, the offers, and the
// work that is wasted above the capacity on callers who give up.
type fleetSim struct {
	load        int
	maxAttempts int
	allowed     func(now time.Time) bool
	recordFirst func(now time.Time)
	waiting     [3]int // attempts of this second, by the number of earlier attempts
}

// simulateSecond simulates one second and returns the numbers of offers and of served requests.
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

// simulateOutage halves the capacity for 20 seconds and then restores it. It returns the maximum
// number of offers in a second, and the requests served per second 20 seconds after the outage.
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

// TestOutageCausesNoRetryStorm guards against a retry storm when half of the targets fail and
// return. With unlimited retries the offers triple and keep the fleet saturated after the targets
// have returned, so that callers get errors until the traffic is stopped. With the budget the
// offers grow only by its share, and all requests are served afterwards.
func TestOutageCausesNoRetryStorm(t *testing.T) {
	var b TokenBucket
	maxOffers, served := simulateOutage(&fleetSim{load: 70, maxAttempts: 3, allowed: b.TryWithdraw, recordFirst: b.Deposit})
	plainOffers, plainServed := simulateOutage(&fleetSim{
		load: 70, maxAttempts: 3,
		allowed: func(time.Time) bool { return true }, recordFirst: func(time.Time) {},
	})
	t.Logf("70 requests a second, 80 can be served: at most %d offers and %d served after the outage; plain repeats %d and %d",
		maxOffers, served, plainOffers, plainServed)
	assert.Assert(t, maxOffers <= 70+DefaultCapacity, "more offers than the load and the capacity of the bucket allow")
	assert.Equal(t, served, 70)
	assert.Assert(t, plainOffers > 150 && plainServed < 40)
}

// TestSaturationBoundsSteps guards against many offers per request when all targets are full. A
// limit of attempts alone would allow five offers per request; the budget of steps limits them to
// two.
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

// TestQuietEntryMayRepeat guards against a budget that refuses the only retry of an entry with
// little traffic, because its share of that traffic is less than one retry.
func TestQuietEntryMayRepeat(t *testing.T) {
	var b TokenBucket
	b.Deposit(script.Epoch)
	assert.Assert(t, b.TryWithdraw(script.Epoch))
	assert.Assert(t, !b.TryWithdraw(script.Epoch))
	assert.Assert(t, b.TryWithdraw(script.Epoch.Add(2*time.Second)))
	assert.Assert(t, !b.TryWithdraw(script.Epoch.Add(time.Second)), "a retry was earned by a clock that went back")
	later := script.Epoch.Add(10 * time.Hour)
	n := 0
	for b.TryWithdraw(later) {
		n++
	}
	assert.Equal(t, n, DefaultCapacity, "a quiet period saved more than the capacity")
}
