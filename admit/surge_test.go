package admit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/clock"
)

// startTime is a time on the boot clock above zero, as zero means never.
const startTime = clock.Stamp(time.Hour)

// TestAdaptiveLimit runs the scripts of testdata/limit.
func TestAdaptiveLimit(t *testing.T) {
	var l AdaptiveLimit
	now := startTime
	datadriven.RunTest(t, "testdata/limit", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "reset":
			l, now = AdaptiveLimit{}, startTime
			return ""
		case "pass":
			now = now.Add(durationArg(t, d, "for"))
			return ""
		case "late":
			l.RecordLate(now, numberArg(t, d, "running"), 64, numberArg(t, d, "least"))
			return ""
		case "rejected":
			l.RecordRejected(now, now.Add(durationArg(t, d, "for")), numberArg(t, d, "running"), numberArg(t, d, "least"))
			return ""
		case "time":
			for range int(numberArg(t, d, "count")) {
				l.RecordInTime(numberArg(t, d, "running"))
			}
			return ""
		case "at":
			hold, patience := durationArg(t, d, "hold"), durationArg(t, d, "patience")
			return fmt.Sprintf("%.1f", l.At(now, int(numberArg(t, d, "slots")), hold, patience))
		}
		d.Fatalf(t, "unknown command %q", d.Cmd)
		return ""
	})
}

// TestFairLimiter runs the scripts of testdata/fair.
func TestFairLimiter(t *testing.T) {
	var f FairLimiter
	now := startTime
	datadriven.RunTest(t, "testdata/fair", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		if d.Cmd == "pass" {
			now = now.Add(durationArg(t, d, "for"))
			return ""
		}
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var urgency, count int
			var workspace string
			_, err := fmt.Sscan(line, &urgency, &workspace, &count)
			assert.NilError(t, err, line)
			switch d.Cmd {
			case "start", "end":
				for range count {
					map[string]func(int, string){"start": f.Start, "end": f.End}[d.Cmd](urgency, workspace)
				}
			case "ask":
				free, _ := f.Admit(now, urgency, workspace, float64(count)/100)
				y := f.yield(now, urgency, workspace) // Admit computes it only when places are short
				fmt.Fprintf(&out, "%d %s yields %d, free %t\n", urgency, workspace, y, free)
			}
		}
		return out.String()
	})
}

func numberArg(t *testing.T, d *datadriven.TestData, name string) float64 {
	t.Helper()
	var text string
	d.ScanArgs(t, name, &text)
	var n float64
	_, err := fmt.Sscan(text, &n)
	assert.NilError(t, err)
	return n
}

func durationArg(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	var text string
	d.ScanArgs(t, name, &text)
	v, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return v
}

// TestHotWorkspaceIsRefusedForItsSurplus guards against small workspaces that are refused for the
// load of a large one. One workspace sends fifty times its usual load; without shares all
// workspaces are refused equally often, and the small ones lose half of their requests.
func TestHotWorkspaceIsRefusedForItsSurplus(t *testing.T) {
	const (
		places    = 100
		runSteps  = 100
		steps     = 5000
		smallRate = 0.03
	)
	for _, shares := range []bool{true, false} {
		var f FairLimiter
		r := rand.New(rand.NewPCG(1, 2))
		ends := make(map[int][]string)
		running, requested, served := 0, 0, 0
		for step := range steps {
			for _, workspace := range ends[step] {
				f.End(0, workspace)
				running--
			}
			now := startTime.Add(time.Duration(step) * 10 * time.Millisecond)
			for w := range 10 {
				rate := smallRate
				if w == 0 {
					rate *= 50
				}
				for ; rate > 0; rate-- {
					if r.Float64() > rate {
						continue
					}
					workspace := fmt.Sprint("w", w)
					admitted, _ := f.Admit(now, 0, workspace, float64(running)/places)
					if !shares {
						admitted = running < places
					}
					if w > 0 {
						requested++
					}
					if !admitted {
						continue
					}
					if w > 0 {
						served++
					}
					f.Start(0, workspace)
					running++
					ends[step+runSteps] = append(ends[step+runSteps], workspace)
				}
			}
		}
		servedRatio := float64(served) / float64(requested)
		if shares {
			assert.Assert(t, servedRatio >= 0.9, "%.2f of the small ones' requests served", servedRatio)
			continue
		}
		assert.Assert(t, servedRatio < 0.8, "%.2f without shares: the load is too low for this test", servedRatio)
	}
}

// TestRetryAfterIsSpread guards against callers that are refused at the same time, return at the
// same time and are refused again.
func TestRetryAfterIsSpread(t *testing.T) {
	const objective = 600 * time.Millisecond
	counts := make(map[time.Duration]int)
	for i := range 1000 {
		d := RetryAfter(fmt.Sprint("request-", i), objective)
		assert.Assert(t, d >= objective/6 && d < objective/2, "%s: too late to be in time", d)
		counts[d/(10*time.Millisecond)]++
	}
	for at, n := range counts {
		assert.Assert(t, n < 200, "%d of 1000 come back at %s", n, at*10*time.Millisecond)
	}
}
