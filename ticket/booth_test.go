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
)

// The scripts in testdata/booth play one agent's booth step by step; each file
// opens with what goes wrong without the rule that it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/booth", func(t *testing.T, path string) {
		s := &script{tokens: map[string]string{}, now: epoch}
		s.restart()
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			return s.play(d)
		})
	})
}

type script struct {
	booth    *Booth
	restarts int
	now      time.Time
	tokens   map[string]string
}

func (s *script) restart() {
	s.restarts++
	s.booth = &Booth{
		Target: "bay-1", Incarnation: fmt.Sprint("life-", s.restarts), Slots: 2, Most: 6,
		Rand: rand.New(rand.NewSource(int64(s.restarts))),
	}
}

// play runs each line of the input as one command and prints its outcome.
func (s *script) play(d *datadriven.TestData) string {
	var out strings.Builder
	for line := range strings.Lines(d.Input) {
		f := strings.Fields(line)
		fmt.Fprintf(&out, "%s: %s\n", strings.Join(f, " "), s.step(f))
	}
	return out.String()
}

func (s *script) step(f []string) string {
	arg := func(n int) string { return append(f, "", "", "")[n] }
	token := s.tokens[arg(1)]
	switch f[0] {
	case "mint":
		s.tokens[arg(1)] = s.booth.Mint(s.now, arg(2), 1)[0]
		target, ok := Target(s.tokens[arg(1)])
		return fmt.Sprintf("for %s %v", target, ok)
	case "tear":
		s.tokens[arg(1)] = token[:len(token)-2] + "AA"
		return "ok"
	case "hold":
		return say(s.booth.Hold(s.now, token, arg(2), arg(3)))
	case "drop":
		return say(s.booth.Drop(s.now, token, arg(2)))
	case "run":
		return strconv.FormatBool(s.booth.Run(s.now, token))
	case "release":
		s.booth.Release(s.now, token)
	case "done":
		s.booth.Done(s.now, token, arg(2) == "known")
	case "unsent":
		return say(s.booth.Unsent(s.now, token))
	case "restart":
		s.restart()
	case "pass":
		d, err := time.ParseDuration(arg(1))
		if err != nil {
			return err.Error()
		}
		s.now = s.now.Add(d)
	default:
		return "unknown command"
	}
	return fmt.Sprintf("%d remembered", s.booth.spent)
}

func say(s chestnutstep.Stub) string {
	return strings.TrimSpace(fmt.Sprintf("%s, run %s %s", s.State, s.Run, s.Reason))
}

// A caller asks for tickets without end, or holds all that it gets. An operator
// would see the agent grow until it is killed, and with it lose the outcome of
// every booking that it remembers.
func TestFloodKeepsTheBound(t *testing.T) {
	b := &Booth{Target: "bay-1", Most: 1000, Rand: rand.New(rand.NewSource(1))}
	b.Mint(epoch, "brand", 5000)
	assert.Equal(t, b.spent, 0, "minting stored something")
	for i, token := range b.Mint(epoch, "brand", 5000) {
		b.Hold(epoch, token, "brand", strconv.Itoa(i))
		if b.Run(epoch, token) {
			b.Done(epoch, token, true)
		}
	}
	assert.Equal(t, b.spent, 500, "one workspace takes half at most")
	for _, token := range b.Mint(epoch, "small", 100) {
		stub := b.Hold(epoch, token, "small", "r")
		assert.Equal(t, stub.State, chestnutstep.TicketHeld, "a small workspace was crowded out")
	}
	later := epoch.Add(DefaultSlot * DefaultSlots)
	b.Mint(later, "brand", 1)
	assert.Equal(t, b.spent, 100, "held tickets stay, all others are forgotten")
}

// BenchmarkHoldRunDone prints the cost of one action, and what it costs to
// remember it, with common and with the longest request ids.
func BenchmarkHoldRunDone(b *testing.B) {
	for _, size := range []int{36, MaxRequest} {
		b.Run(fmt.Sprint("id=", size), func(b *testing.B) {
			id := strings.Repeat("r", size)
			booth := &Booth{Target: "bay-service-1", Most: 1 << 30}
			tokens := booth.Mint(epoch, "darkroom", b.N)
			before := heap()
			b.ResetTimer()
			for _, token := range tokens {
				booth.Hold(epoch, token, "darkroom", id)
				booth.Run(epoch, token)
				booth.Done(epoch, token, true)
			}
			b.StopTimer()
			b.ReportMetric((heap()-before)/float64(b.N), "B/ticket")
			runtime.KeepAlive(booth)
			runtime.KeepAlive(tokens)
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func BenchmarkMint(b *testing.B) {
	booth := &Booth{Target: "bay-service-1"}
	b.ReportAllocs()
	for b.Loop() {
		booth.Mint(epoch, "darkroom", 1)
	}
}
