package audit

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/event"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// steppingClock advances by one second with each reading.
type steppingClock struct{ now time.Time }

func (c *steppingClock) read() time.Time {
	c.now = c.now.Add(time.Second)
	return c.now
}

func publication(version uint64, out bool) *chestnutstep.Publication {
	return &chestnutstep.Publication{
		Version: version,
		Domains: []chestnutstep.Domain{{Name: "a", Region: "r", Out: out}, {Name: "b", Region: "r"}},
		Hosts:   []chestnutstep.Host{{Name: "a1", Domain: "a"}, {Name: "b1", Domain: "b"}},
		Models:  []chestnutstep.Model{{Name: "plan", Multiple: 1.25, Slots: 8}},
		Targets: []chestnutstep.Target{{Name: "a1e", Host: "a1", Model: "plan"}, {Name: "b1e", Host: "b1", Model: "plan"}},
	}
}

// TestExplainMovedChat guards against a trail that can't explain a moved chat days after its
// failure domain was taken out of service, when only the log stream remains.
func TestExplainMovedChat(t *testing.T) {
	var b bytes.Buffer
	c := &steppingClock{now: time.Unix(1000, 0)}
	trail := &Trail{Log: &event.Log{Out: &b, Process: "agent-a1"}, Process: "agent-a1", Now: c.read}
	var old *chestnutstep.Publication
	for _, p := range []*chestnutstep.Publication{publication(1, false), publication(2, true)} {
		trail.Add(Record{Kind: KindAccepted, Subject: "publication", Cause: "service", Version: p.Version})
		for _, r := range Changes(old, p) {
			trail.Add(r)
		}
		old = p
	}
	queryTime := c.now.Add(time.Millisecond)
	trail.Add(Record{Kind: KindDomain, Subject: "a", Cause: "publication 3", Before: "out", After: "in", Version: 3})

	b.WriteString("not JSON\n{\"event\":3002}\n")
	records, err := Read(&b, "agent-a1")
	assert.NilError(t, err)
	assert.NilError(t, Verify(records))
	var lines []string
	for _, r := range Explain(records, Query{Target: "a1e", Host: "a1", Domain: "a", Model: "plan", At: queryTime}) {
		lines = append(lines, string(r.Kind)+" "+r.Subject+": "+r.Before+" -> "+r.After+" by "+r.Cause)
	}
	assert.Equal(t, strings.Join(lines, "\n"), strings.TrimSpace(`
host a1: absent -> in in domain a by publication 1
target a1e: absent -> in on host a1, model plan, weight 0 by publication 1
limits model plan:  -> multiple 1.25, floor 0, slots 8, queue 0, cold 0 by publication 1
accepted publication:  ->  by service
domain a: in -> out by publication 2`))
}

// TestExplainRefusedContent guards against a refused content whose cause can't be traced. A
// content that crashes targets is refused permanently, and support must find the cause.
func TestExplainRefusedContent(t *testing.T) {
	trail := &Trail{Process: "agent-a1"}
	trail.Add(Record{Kind: KindCondemned, Subject: "00ff", Cause: "crashed a1e and b1e", Before: "suspect", After: "condemned"})
	trail.Add(Record{Kind: KindCondemned, Subject: "1234", Cause: "other", Before: "suspect", After: "condemned"})
	why := Explain(trail.Last(0), Query{Target: "a1e", Content: "00ff", At: time.Now().Add(time.Second)})
	assert.Equal(t, len(why), 1)
	assert.Equal(t, why[0].Cause, "crashed a1e and b1e")
}

func TestTrailCapacity(t *testing.T) {
	trail := &Trail{Capacity: 3}
	for range 5 {
		trail.Add(Record{Kind: KindOrder})
	}
	last := trail.Last(0)
	assert.NilError(t, Verify(last))
	assert.Equal(t, len(last), 3)
	assert.Equal(t, last[0].Seq, uint64(3))
	assert.Equal(t, trail.Last(1)[0].Seq, uint64(5))
}

// TestVerifyDetectsDamage guards against an incomplete or altered trail that passes the check:
// a line of the log is edited, lost or moved.
func TestVerifyDetectsDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trail := &Trail{Process: "p"}
		for range rapid.IntRange(3, 20).Draw(t, "records") {
			trail.Add(Record{
				Kind:    KindTarget,
				Subject: rapid.String().Draw(t, "subject"),
				Before:  rapid.String().Draw(t, "before"),
				After:   rapid.String().Draw(t, "after"),
			})
		}
		r := trail.Last(0)
		assert.NilError(t, Verify(r))
		i := rapid.IntRange(1, len(r)-2).Draw(t, "at")
		switch rapid.SampledFrom([]string{"lose", "swap", "edit", "move"}).Draw(t, "damage") {
		case "lose":
			assert.Assert(t, IsErrGap(Verify(append(r[:i:i], r[i+1:]...))))
		case "swap":
			r[i], r[i+1] = r[i+1], r[i]
			assert.Assert(t, Verify(r) != nil)
		case "edit":
			r[i].Cause += "x"
			assert.Assert(t, IsErrAltered(Verify(r)))
		case "move":
			r[i].Before, r[i].After = r[i].Before+r[i].After+"x", ""
			r[i].Hash = r[i].Sum()
			assert.Assert(t, IsErrAltered(Verify(r)), "a recomputed hash breaks the next link")
		}
	})
}

// TestVerifyRestart guards against an alarm for a planned restart, which would hide a real one:
// a restarted process continues in the same log stream.
func TestVerifyRestart(t *testing.T) {
	var log []Record
	for range 2 {
		trail := &Trail{Process: "p"}
		for range 3 {
			trail.Add(Record{Kind: KindTarget})
		}
		log = append(log, trail.Last(0)...)
	}
	assert.NilError(t, Verify(log))
	assert.Assert(t, IsErrAltered(Verify(append(log[:3:3], log[4:]...))), "the first record after the restart is lost")
}

// FuzzRead passes arbitrary text to Read as a log.
func FuzzRead(f *testing.F) {
	f.Add(`{"event":1010,"process":"p","seq":1,"at":"2026-01-02T03:04:05Z","hash":"00"}`)
	f.Fuzz(func(t *testing.T, lines string) {
		records, _ := Read(strings.NewReader(lines), "")
		for _, r := range records {
			assert.Assert(t, r.Hash == r.Sum() || IsErrAltered(Verify([]Record{r})))
		}
	})
}
