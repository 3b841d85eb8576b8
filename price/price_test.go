package price

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 3000) }

// TestChoose runs the cases in testdata/choose, one request per line; each block begins with
// the load it represents.
func TestChoose(t *testing.T) {
	datadriven.RunTest(t, "testdata/choose", func(_ *testing.T, d *datadriven.TestData) string {
		return script.RunLines(d.Input, nil, func(f []string) string {
			p := Choose(parseInputs(f))
			choice := [...]string{"rebuild", "wait", "import", "late"}[p.Choice]
			return fmt.Sprintf("%s after %v, stop at %v", choice, p.Delay.Round(time.Millisecond), p.ImportTimeout.Round(time.Millisecond))
		})
	})
}

// parseInputs parses fields such as "prompt=2000". Defaults: 5,000 tokens per second, 128 kB of
// KV cache per token, a link of 5 GB per second, half loaded.
func parseInputs(fields []string) Inputs {
	in := Inputs{PrefillRate: 5000, BytesPerToken: 128e3, LinkRate: 5e9, OtherLoad: 0.5, Patience: time.Second}
	numbers := map[string]*float64{
		"prompt": &in.PromptTokens, "cached": &in.HolderCached, "there": &in.OtherCached, "prefill": &in.PrefillRate,
		"load": &in.OtherLoad, "link": &in.LinkRate, "ahead": &in.QueuedBytes,
	}
	times := map[string]*time.Duration{
		"queue": &in.HolderWait, "other": &in.OtherWait, "patience": &in.Patience, "left": &in.TimeLeft,
	}
	for _, f := range fields {
		name, value, _ := strings.Cut(f, "=")
		if d := times[name]; d != nil {
			*d, _ = time.ParseDuration(value + "s")
			continue
		}
		*numbers[name], _ = strconv.ParseFloat(value, 64)
	}
	return in
}

func drawChats(t *rapid.T) []Chat {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Chat {
		return Chat{
			Name:              rapid.StringMatching("[a-z]{4}").Draw(t, "name"),
			Tokens:            rapid.Float64Range(0, 5000).Draw(t, "tokens"),
			Bytes:             rapid.Float64Range(1, 1000).Draw(t, "bytes"),
			ReturnProbability: rapid.Float64Range(0, 1).Draw(t, "return"),
		}
	}), 0, 10).Draw(t, "chats")
}

// bestSavings tries every subset.
func bestSavings(chats []Chat, budget float64) float64 {
	if len(chats) == 0 {
		return 0
	}
	c, rest := chats[0], chats[1:]
	saved := bestSavings(rest, budget)
	if c.Bytes <= budget && c.Tokens >= MinTokens {
		saved = max(saved, c.ReturnProbability*c.Tokens+bestSavings(rest, budget-c.Bytes))
	}
	return saved
}

// TestPlanAgainstEverySubset guards against exporting the wrong chats of a domain that leaves,
// when there is time for only a part of them: chats that return would have to rebuild their
// prefixes.
func TestPlanAgainstEverySubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawChats(t)
		budget := rapid.Float64Range(0, 3000).Draw(t, "room")
		plan := Plan(all, budget/(1-SpareRatio), time.Second)
		var bytes, saved, single float64
		for _, c := range plan {
			bytes += c.Bytes
			saved += c.ReturnProbability * c.Tokens
		}
		for _, c := range all {
			single = max(single, c.ReturnProbability*c.Tokens)
		}
		assert.Assert(t, bytes <= budget*1.000001)
		assert.Assert(t, saved >= bestSavings(all, budget)-single-1e-6)
	})
}

// TestPlanSavesMoreThanTheLatestFirst guards against a plan no better than the order of the
// caches, the latest chats first: 2,000 chats of two kinds are on a domain that leaves in ten
// seconds, and less than a quarter of their bytes can be moved.
func TestPlanSavesMoreThanTheLatestFirst(t *testing.T) {
	var all []Chat
	for n := range 2000 {
		c := Chat{Tokens: 800, Bytes: 800 * 160e3, ReturnProbability: ReturnProbability(time.Duration(n)*time.Second/2, 2*time.Minute, 0.7)}
		if n%4 == 0 { // long plans whose engine shares KV heads: fewer bytes per token
			c.Tokens, c.Bytes = 6000, 6000*40e3
		}
		all = append(all, c)
	}
	const link = 7.8e9
	planned, latest, total := 0.0, 0.0, 0.0
	for _, c := range Plan(all, link, 10*time.Second) {
		planned += c.ReturnProbability * c.Tokens
	}
	budget := link * 10 * (1 - SpareRatio)
	for _, c := range all {
		total += c.ReturnProbability * c.Tokens
		if c.Bytes <= budget {
			budget -= c.Bytes
			latest += c.ReturnProbability * c.Tokens
		}
	}
	t.Logf("work saved of returning chats: %.0f%% by the plan, %.0f%% by the latest first", 100*planned/total, 100*latest/total)
	assert.Assert(t, planned > latest)
}

func ExampleReturnProbability() {
	for _, idle := range []time.Duration{0, 2 * time.Minute, 10 * time.Minute} {
		fmt.Printf("%.2f\n", ReturnProbability(idle, 2*time.Minute, 0.7))
	}
	// Output:
	// 0.70
	// 0.46
	// 0.02
}
