package load

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/fake"
)

var small = Plan{
	Seed:       7,
	Chats:      40,
	Turns:      4,
	Pause:      5 * time.Millisecond,
	Start:      20 * time.Millisecond,
	Workspaces: []string{"desk", "plan", "tags"},
	Skew:       1,
	History:    200,
	Output:     20,
	Cancel:     0.5,
}

func TestRecordIsFixedBySeed(t *testing.T) {
	assert.DeepEqual(t, small.Record(), small.Record())
	other := small
	other.Seed++
	assert.Assert(t, fmt.Sprint(other.Record()) != fmt.Sprint(small.Record()))
}

func TestPlayerCountsWhatCallersGot(t *testing.T) {
	engine := &fake.Engine{Base: 50 * time.Microsecond}
	r := play(t, engine, 1)
	assert.Assert(t, r.Kind(fake.Whole) > 0)
	assert.Assert(t, r.Kind(fake.Canceled) > 0)
	assert.Equal(t, r.Kind(fake.Short)+r.Kind(fake.Broken)+r.Kind(fake.Foreign), 0, "%v", r.Errors(3))
	assert.Assert(t, r.Reuse() > 0)
	assert.Assert(t, r.First.Count() > 0 && r.First.Quantile(1) >= r.First.Quantile(0.5))
}

// An engine ends some answers early and some belong to another request. The
// naive pass-through hands both on as if they were complete, and a caller
// would act on half a plan or on another member's.
func TestPlayerSeesShortAndForeignAnswers(t *testing.T) {
	engine := &fake.Engine{Base: 50 * time.Microsecond}
	engine.Misbehave(fake.Fault{Short: 2})
	assert.Assert(t, play(t, engine, 1).Kind(fake.Short) > 0)
	engine.Misbehave(fake.Fault{Crossed: true})
	assert.Assert(t, play(t, engine, 1).Kind(fake.Foreign) > 0)
}

func play(t *testing.T, engine *fake.Engine, tries int) *Report {
	target := httptest.NewServer(engine)
	defer target.Close()
	front := httptest.NewServer(&Pass{Targets: []string{target.URL}})
	defer front.Close()
	var r Report
	keys := map[string]string{"desk": "desk", "plan": "plan", "tags": "tags"}
	p := Player{Entries: []string{front.URL}, Keys: keys, Tries: tries, Report: &r}
	p.Play(t.Context(), small.Record())
	return &r
}

func ExampleReport() {
	var r Report
	r.Add("desk", 100, fake.Result{Kind: fake.Whole, Cached: 80})
	r.Add("desk", 100, fake.Result{Kind: fake.Refused, Status: 503, Code: "target"})
	fmt.Printf("%.2f %v\n", r.Reuse(), r.Codes())
	// Output: 0.80 [{503 target 1}]
}
