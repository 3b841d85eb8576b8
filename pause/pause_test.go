package pause_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/pause"
)

// TestScripts runs the scripts of testdata: pauses, their ends, and the requests allowed after them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var tracker pause.Tracker
		var now clock.Stamp
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			i := pause.Instance{ID: "a"}
			d.MaybeScanArgs(t, "target", &i.ID)
			d.MaybeScanArgs(t, "born", &i.StartedMs)
			switch d.Cmd {
			case "pause":
				text := ""
				d.ScanArgs(t, "after", &text)
				wait, ok := pause.ParseRetryAfter(text)
				if !ok {
					return "invalid\n"
				}
				return fmt.Sprintf("for %s, first %t\n", wait, tracker.Start(now, i, wait))
			case "send":
				if err := tracker.Acquire(now, i); err != nil {
					return err.Error() + "\n"
				}
				return "sent\n"
			case "leave":
				return fmt.Sprintf("first %t\n", tracker.Leave(now, i))
			case "answered", "failed":
				tracker.Release(now, i, d.Cmd == "answered")
			case "sleep":
				wait, err := time.ParseDuration(d.CmdArgs[0].Key)
				assert.NilError(t, err)
				now = now.Add(wait)
			}
			ended := tracker.Expire(now)
			sort.Slice(ended, func(a, b int) bool { return ended[a].ID < ended[b].ID })
			return fmt.Sprintf("paused %d, ended %v\n", tracker.Paused(now), ended)
		})
	})
}

// TestNoRequestWithinAPause guards against a request that is allowed before the end of a pause, after
// any order of pauses, sends, answers and failures.
func TestNoRequestWithinAPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := pause.Tracker{Seed: rapid.Uint64().Draw(t, "seed")}
		var now clock.Stamp
		i := pause.Instance{ID: "a", StartedMs: 1}
		var until clock.Stamp
		pending := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond
				tracker.Start(now, i, d)
				until = max(until, now.Add(d))
			case 1:
				if tracker.Acquire(now, i) == nil {
					assert.Assert(t, now >= until, "%s before the end", until.Sub(now))
					pending++
				}
			case 2:
				if pending > 0 {
					pending--
					tracker.Release(now, i, rapid.Bool().Draw(t, "answered"))
				}
			case 3:
				tracker.Expire(now)
			}
		}
		for range pending {
			tracker.Release(now, i, true)
		}
		assert.NilError(t, tracker.Acquire(now.Add(2*pause.MaxTime), i), "a target is never lost for good")
	})
}

// TestFleetReturnsGradually guards against hundreds of entries, and the callers that they refused, that
// return to a target in the instant in which its pause ends.
func TestFleetReturnsGradually(t *testing.T) {
	const (
		entries = 350
		rest    = 3 * time.Second
		step    = 100 * time.Millisecond
		perStep = 70 // requests of all entries
	)
	r := rand.New(rand.NewPCG(1, 1))
	fleet := make([]*pause.Tracker, entries)
	i := pause.Instance{ID: "a"}
	for n := range fleet {
		fleet[n] = &pause.Tracker{Seed: uint64(n) + 1}
		fleet[n].Start(0, i, rest)
	}
	returns := make(map[int]int)
	sent := hdrhistogram.New(1, 10000, 3)
	begun, served, lastRefused := -1, 0, 0
	for n := range int(3 * rest / step) {
		due, now := perStep+returns[n], clock.Stamp(n)*clock.Stamp(step)
		count := 0
		for range due {
			entry := fleet[r.IntN(entries)]
			if err := entry.Acquire(now, i); err != nil {
				s := err.(pause.ErrPaused).State
				wait := pause.RetryAfter(fmt.Sprint(n, r.Uint64()), s.Remaining(now))
				returns[n+int((wait+step-1)/step)]++
				lastRefused = n
				continue
			}
			entry.Release(now, i, true)
			count++
		}
		if now >= clock.Stamp(rest) {
			if begun < 0 {
				begun = n
			}
			served += count
			assert.NilError(t, sent.RecordValue(int64(count)))
		}
	}
	after := clock.Stamp(lastRefused+1)*clock.Stamp(step) - clock.Stamp(rest)
	t.Logf("requests in %s after the pause, %d before: median %d, 99%% %d, most %d; the last refused %s after it",
		step, perStep, sent.ValueAtQuantile(50), sent.ValueAtQuantile(99), sent.Max(), time.Duration(after))
	refused := int64(rest/step) * perStep
	assert.Assert(t, sent.Max() <= refused/4, "%d of the %d that were refused return at once", sent.Max(), refused)
	assert.Assert(t, time.Duration(after) <= time.Second, "refused until %s after the pause", time.Duration(after))
	assert.Assert(t, served > int(rest/step)*perStep)
}

// BenchmarkRequest measures what one request costs: State as often as a choice evaluates targets, Acquire
// and Release.
func BenchmarkRequest(b *testing.B) {
	for _, paused := range []int{0, 1, 2700} {
		b.Run(fmt.Sprintf("%d paused", paused), func(b *testing.B) {
			tracker := &pause.Tracker{Seed: 1}
			list := make([]pause.Instance, 2700)
			for n := range list {
				list[n] = pause.Instance{ID: fmt.Sprintf("i-%010x", n), StartedMs: int64(n)}
				if n < paused {
					tracker.Start(0, list[n], time.Minute)
				}
			}
			b.ReportAllocs()
			for n := range b.N {
				for k := range 32 {
					tracker.State(1, list[(n+k)%len(list)])
				}
				i := list[n%len(list)]
				if tracker.Acquire(1, i) == nil {
					tracker.Release(1, i, true)
				}
			}
		})
	}
}
