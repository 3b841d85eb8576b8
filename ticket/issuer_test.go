package ticket

import (
	"fmt"
	"math/rand"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 5000) }

// TestScripts runs the scripts in testdata/issuer against one agent's issuer. Each begins with the
// failure that occurs without the rule that it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/issuer", func(t *testing.T, path string) {
		p := &scriptRunner{tokens: map[string]string{}, now: script.Epoch}
		p.restart()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			return script.RunLines(d.Input, &p.now, p.runCommand)
		})
	})
}

type scriptRunner struct {
	issuer       *Issuer
	incarnations int
	now          time.Time
	tokens       map[string]string
}

func (p *scriptRunner) restart() {
	p.incarnations++
	p.issuer = &Issuer{
		Target: "bay-1", Incarnation: fmt.Sprint("life-", p.incarnations), OpenSlots: 2, MaxSpent: 6,
		Rand: rand.New(rand.NewSource(int64(p.incarnations))),
	}
}

func (p *scriptRunner) runCommand(f []string) string {
	f = append(f, "", "", "")
	token := p.tokens[f[1]]
	switch f[0] {
	case "mint":
		p.tokens[f[1]] = p.issuer.Mint(p.now, f[2], 1)[0]
		target, ok := Target(p.tokens[f[1]])
		return fmt.Sprintf("for %s %v", target, ok)
	case "tear":
		p.tokens[f[1]] = token[:len(token)-2] + "AA"
	case "hold":
		return describe(p.issuer.Hold(p.now, token, f[2], f[3]))
	case "drop":
		return describe(p.issuer.Drop(p.now, token, f[2]))
	case "unsent":
		return describe(p.issuer.MarkUnsent(p.now, token))
	case "run":
		return strconv.FormatBool(p.issuer.Start(p.now, token))
	case "release":
		p.issuer.Release(p.now, token)
	case "done":
		p.issuer.Finish(p.now, token, f[2] == "known")
	case "restart":
		p.restart()
	default:
		return "unknown command"
	}
	return fmt.Sprintf("%d remembered", p.issuer.spentCount)
}

func describe(s chestnutstep.TicketStatus) string {
	return strings.TrimSpace(fmt.Sprintf("%s, run %s %s", s.State, s.Run, s.Reason))
}

// TestFloodStaysBounded guards against unbounded memory when a caller requests tickets without end
// or holds all that it gets: the agent would grow until it is killed and lose the outcome of every
// recorded booking.
func TestFloodStaysBounded(t *testing.T) {
	b := &Issuer{Target: "bay-1", MaxSpent: 1000, Rand: rand.New(rand.NewSource(1))}
	b.Mint(script.Epoch, "brand", 5000)
	assert.Equal(t, b.spentCount, 0, "minting stored something")
	for i, token := range b.Mint(script.Epoch, "brand", 5000) {
		b.Hold(script.Epoch, token, "brand", strconv.Itoa(i))
		if b.Start(script.Epoch, token) {
			b.Finish(script.Epoch, token, true)
		}
	}
	assert.Equal(t, b.spentCount, 500, "one workspace takes half at most")
	for _, token := range b.Mint(script.Epoch, "small", 100) {
		status := b.Hold(script.Epoch, token, "small", "r")
		assert.Equal(t, status.State, chestnutstep.TicketHeld, "a small workspace was crowded out")
	}
	b.Mint(script.Epoch.Add(DefaultSlotLength*DefaultOpenSlots), "brand", 1)
	assert.Equal(t, b.spentCount, 100, "held tickets stay, all others are evicted")
}

// BenchmarkHoldRunDone measures the time of one action and the memory of its record, with common
// and with the longest request ids.
func BenchmarkHoldRunDone(b *testing.B) {
	for _, size := range []int{36, MaxRequestID} {
		b.Run(fmt.Sprint("id=", size), func(b *testing.B) {
			id := strings.Repeat("r", size)
			issuer := &Issuer{Target: "bay-service-1", MaxSpent: 1 << 30}
			tokens := issuer.Mint(script.Epoch, "darkroom", b.N)
			before := script.HeapBytes()
			b.ResetTimer()
			for _, token := range tokens {
				issuer.Hold(script.Epoch, token, "darkroom", id)
				issuer.Start(script.Epoch, token)
				issuer.Finish(script.Epoch, token, true)
			}
			b.StopTimer()
			b.ReportMetric((script.HeapBytes()-before)/float64(b.N), "B/ticket")
			runtime.KeepAlive(issuer)
			runtime.KeepAlive(tokens)
		})
	}
}
