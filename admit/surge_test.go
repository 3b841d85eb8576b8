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

// begun is a moment by the boot clock, above zero, which means never.
const begun = clock.Stamp(time.Hour)

// TestLimit plays the scripts of testdata/limit.
func TestLimit(t *testing.T) {
	var l Limit
	now := begun
	datadriven.RunTest(t, "testdata/limit", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "reset":
			l, now = Limit{}, begun
			return ""
		case "pass":
			now = now.Add(duration(t, d, "for"))
			return ""
		case "late":
			l.Late(now, number(t, d, "running"), 64, number(t, d, "least"))
			return ""
		case "time":
			for range int(number(t, d, "count")) {
				l.InTime(number(t, d, "running"))
			}
			return ""
		case "at":
			hold, patience := duration(t, d, "hold"), duration(t, d, "patience")
			return fmt.Sprintf("%.1f", l.At(now, int(number(t, d, "slots")), hold, patience))
		}
		d.Fatalf(t, "unknown command %q", d.Cmd)
		return ""
	})
}

// TestFair plays the scripts of testdata/fair.
func TestFair(t *testing.T) {
	var f Fair
	now := begun
	datadriven.RunTest(t, "testdata/fair", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		if d.Cmd == "pass" {
			now = now.Add(duration(t, d, "for"))
			return ""
		}
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var urgency, count int
			var who string
			_, err := fmt.Sscan(line, &urgency, &who, &count)
			assert.NilError(t, err, line)
			switch d.Cmd {
			case "start", "end":
				for range count {
					map[string]func(int, string){"start": f.Start, "end": f.End}[d.Cmd](urgency, who)
				}
			case "ask":
				free, _ := f.Ask(now, urgency, who, float64(count)/100)
				y := f.yield(now, urgency, who) // Ask works it out only where places are short
				fmt.Fprintf(&out, "%d %s yields %d, free %t\n", urgency, who, y, free)
			}
		}
		return out.String()
	})
}

func number(t *testing.T, d *datadriven.TestData, name string) float64 {
	t.Helper()
	var text string
	d.ScanArgs(t, name, &text)
	var n float64
	_, err := fmt.Sscan(text, &n)
	assert.NilError(t, err)
	return n
}

func duration(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	t.Helper()
	var text string
	d.ScanArgs(t, name, &text)
	v, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return v
}

// A workspace sends fifty times its usual while nine others send what they always do,
// to targets that carry half of it all. Without shares everybody is refused alike, so
// that small workspaces lose half of their requests to a load that is not theirs.
func TestHotWorkspaceIsRefusedForItsSurplus(t *testing.T) {
	const (
		places = 100
		lasts  = 100
		steps  = 5000
		small  = 0.03
	)
	for _, shares := range []bool{true, false} {
		var f Fair
		r := rand.New(rand.NewPCG(1, 2))
		ends := make(map[int][]string)
		running, asked, served := 0, 0, 0
		for step := range steps {
			for _, who := range ends[step] {
				f.End(0, who)
				running--
			}
			now := begun.Add(time.Duration(step) * 10 * time.Millisecond)
			for w := range 10 {
				rate := small
				if w == 0 {
					rate *= 50
				}
				for ; rate > 0; rate-- {
					if r.Float64() > rate {
						continue
					}
					who := fmt.Sprint("w", w)
					free, _ := f.Ask(now, 0, who, float64(running)/places)
					if !shares {
						free = running < places
					}
					if w > 0 {
						asked++
					}
					if !free {
						continue
					}
					if w > 0 {
						served++
					}
					f.Start(0, who)
					running++
					ends[step+lasts] = append(ends[step+lasts], who)
				}
			}
		}
		part := float64(served) / float64(asked)
		if shares {
			assert.Assert(t, part >= 0.9, "%.2f of the small ones' requests served", part)
			continue
		}
		assert.Assert(t, part < 0.8, "%.2f without shares: the load is too light to show anything", part)
	}
}

// Callers that are refused in one moment and told one time come back in one moment, and
// are refused together again: those that a spike turned away stay turned away.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	const objective = 600 * time.Millisecond
	slots := make(map[time.Duration]int)
	for i := range 1000 {
		d := Back(fmt.Sprint("request-", i), objective)
		assert.Assert(t, d >= objective/6 && d < objective/2, "%s: too late to be in time", d)
		slots[d/(10*time.Millisecond)]++
	}
	for at, n := range slots {
		assert.Assert(t, n < 200, "%d of 1000 come back at %s", n, at*10*time.Millisecond)
	}
}
