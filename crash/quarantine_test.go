package crash

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/script"
)

// TestQuarantine runs the scripts in testdata/quarantine: losses of targets, and the refusals that
// follow.
func TestQuarantine(t *testing.T) {
	datadriven.Walk(t, "testdata/quarantine", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p := &quarantineScript{now: clock.Stamp(time.Hour), q: &Quarantine{MaxContents: 4}}
			var out []string
			for _, line := range strings.Split(d.Input, "\n") {
				out = append(out, p.step(t, strings.Fields(line)))
			}
			return strings.Join(out, "\n") + "\n"
		})
	})
}

type quarantineScript struct {
	now clock.Stamp
	q   *Quarantine
}

// step executes one line: "lost CONTENT TARGET [EVENTS]", "cleared CONTENT TARGET", "served
// CONTENT", "ask CONTENT", "end CONTENT" or "wait TIME".
func (p *quarantineScript) step(t *testing.T, w []string) string {
	if w[0] == "wait" {
		d, err := time.ParseDuration(w[1])
		assert.NilError(t, err)
		p.now = p.now.Add(d)
		return w[1] + " later"
	}
	content := parseNumber(w[1])
	switch w[0] {
	case "lost", "cleared":
		l := Loss{Fingerprint: content, Target: uint32(parseNumber(w[2])), At: p.now, Cleared: w[0] == "cleared"}
		if len(w) > 3 {
			l.Events = uint16(parseNumber(w[3]))
		}
		return fmt.Sprint("news ", p.q.Add(p.now, l))
	case "served":
		return fmt.Sprint("cleared of ", len(p.q.RecordServed(content)))
	case "end":
		p.q.EndTrial(content)
		return "ended"
	}
	wait, trial := p.q.Admit(p.now, content)
	switch {
	case wait > 0:
		return fmt.Sprint("refused for ", wait)
	case trial:
		return "runs alone"
	}
	return "runs"
}

// parseNumber returns the number in a name such as t7 or c12.
func parseNumber(name string) uint64 {
	n, _ := strconv.ParseUint(strings.TrimLeft(name, "abcdefghijklmnopqrstuvwxyz"), 10, 64)
	return n
}

// TestLossesMergeInAnyOrder guards against entries that disagree about a content because their
// reports arrive in different orders.
func TestLossesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "losses")
		var list []Loss
		for range n {
			target := uint32(rapid.IntRange(1, 4).Draw(t, "target"))
			list = append(list, Loss{
				Fingerprint: uint64(rapid.IntRange(1, 2).Draw(t, "content")), Target: target,
				Events: uint16(target / 3), At: clock.Stamp(target) * clock.Stamp(time.Second),
				Cleared: rapid.Bool().Draw(t, "cleared"),
			})
		}
		now := clock.Stamp(10 * time.Second)
		one, other := &Quarantine{}, &Quarantine{}
		for _, l := range list {
			one.Add(now, l)
		}
		for _, l := range rapid.Permutation(append(list, list...)).Draw(t, "order") {
			other.Add(now, l)
		}
		for content := uint64(1); content <= 2; content++ {
			a, losses := one.Check(now, content)
			b, others := other.Check(now, content)
			assert.Equal(t, losses, others)
			assert.Equal(t, a, b)
		}
	})
}

// TestContentsAreBounded guards against memory that grows without limit when all contents differ.
func TestContentsAreBounded(t *testing.T) {
	q := &Quarantine{MaxContents: 100}
	q.Add(0, Loss{Fingerprint: 1, Target: 1})
	q.Add(0, Loss{Fingerprint: 1, Target: 2})
	for n := range uint64(1000) {
		at := clock.Stamp(n) * clock.Stamp(time.Millisecond)
		q.Add(at, Loss{Fingerprint: 2 + n, Target: uint32(3 + n), At: at})
		assert.Assert(t, len(q.contents) <= 100)
	}
	_, losses := q.Check(0, 1)
	assert.Equal(t, losses, 2)
	late := clock.Stamp(quarantineTTL + time.Hour)
	q.Add(late, Loss{Fingerprint: 5000, Target: 1, At: late})
	assert.Equal(t, len(q.contents), 1)
}

// BenchmarkQuarantine reports the cost of a check and the memory per content.
func BenchmarkQuarantine(b *testing.B) {
	q := &Quarantine{}
	before := script.HeapBytes()
	for n := range uint64(DefaultMaxContents) {
		q.Add(0, Loss{Fingerprint: n + 1, Target: uint32(n / 40)})
	}
	after := script.HeapBytes()
	q.Add(0, Loss{Fingerprint: 1, Target: 5000})
	var n uint64
	for b.Loop() {
		n++
		q.Check(0, n%DefaultMaxContents)
	}
	b.ReportMetric((after-before)/DefaultMaxContents, "B/content")
	runtime.KeepAlive(q)
}
