package load

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/fake"
)

var smallPlan = Plan{
	Seed:          7,
	Chats:         40,
	Turns:         4,
	Pause:         5 * time.Millisecond,
	StartSpread:   20 * time.Millisecond,
	Workspaces:    []string{"desk", "plan", "tags"},
	Skew:          1,
	HistoryTokens: 200,
	OutputTokens:  20,
	CancelRatio:   0.5,
}

// TestChatsAreFixedBySeed guards against a load that differs between runs with
// the same seed.
func TestChatsAreFixedBySeed(t *testing.T) {
	assert.DeepEqual(t, smallPlan.GenerateChats(), smallPlan.GenerateChats())
	other := smallPlan
	other.Seed++
	assert.Assert(t, fmt.Sprint(other.GenerateChats()) != fmt.Sprint(smallPlan.GenerateChats()))
}

// TestPlayerCountsResults guards against results that are counted wrongly: with
// a healthy engine, answers are complete or canceled, and none is truncated,
// broken or misdelivered.
func TestPlayerCountsResults(t *testing.T) {
	engine := &fake.Engine{BaseStep: 50 * time.Microsecond}
	r := play(t, engine, 1)
	assert.Assert(t, r.CountKind(fake.Complete) > 0)
	assert.Assert(t, r.CountKind(fake.Canceled) > 0)
	assert.Equal(t, r.CountKind(fake.Truncated)+r.CountKind(fake.Broken)+r.CountKind(fake.Misdelivered), 0, "%v", r.Errors(3))
	assert.Assert(t, r.ReuseRatio() > 0)
	assert.Assert(t, r.FirstByte.Count() > 0 && r.FirstByte.Quantile(1) >= r.FirstByte.Quantile(0.5))
}

// TestPlayerCountsTruncatedAndMisdelivered guards against undetected bad
// answers. The engine ends some answers early or sends those of another
// request. The plain proxy passes them on as if they were complete, so the
// caller has to detect them.
func TestPlayerCountsTruncatedAndMisdelivered(t *testing.T) {
	engine := &fake.Engine{BaseStep: 50 * time.Microsecond}
	engine.SetFault(fake.Fault{Short: 2})
	assert.Assert(t, play(t, engine, 1).CountKind(fake.Truncated) > 0)
	engine.SetFault(fake.Fault{Crossed: true})
	assert.Assert(t, play(t, engine, 1).CountKind(fake.Misdelivered) > 0)
}

func play(t *testing.T, engine *fake.Engine, tries int) *Report {
	target := httptest.NewServer(engine)
	defer target.Close()
	front := httptest.NewServer(&Proxy{Targets: []string{target.URL}})
	defer front.Close()
	var r Report
	keys := map[string]string{"desk": "desk", "plan": "plan", "tags": "tags"}
	p := Player{Entries: []string{front.URL}, Keys: keys, MaxTries: tries, Report: &r}
	p.Play(t.Context(), smallPlan.GenerateChats())
	return &r
}

func ExampleReport() {
	var r Report
	r.Add("desk", 100, fake.Result{Kind: fake.Complete, Cached: 80})
	r.Add("desk", 100, fake.Result{Kind: fake.Refused, Status: 503, Code: "target"})
	fmt.Printf("%.2f %v\n", r.ReuseRatio(), r.Codes())
	// Output: 0.80 [{503 target 1}]
}
