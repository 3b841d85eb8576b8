package trial

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runPair simulates a load without hedging and with 5%.
func runPair(seed uint64, offered float64, d time.Duration) (none, hedged HedgeResult) {
	cfg := PairingHedge(seed, offered)
	cfg.Duration = d
	none = RunHedge(cfg)
	cfg.Ratio = 0.05
	return none, RunHedge(cfg)
}

// TestHedgesShortenTheTail guards against hedges that are sent too late, or to targets that are as slow, to
// shorten the tail of a service of which targets are slow for a moment. The bounds are what the users want
// at a load of a fifth of what targets carry.
func TestHedgesShortenTheTail(t *testing.T) {
	none, got := runPair(1, 0.2, 15*time.Minute)
	t.Logf("without %+v", none)
	t.Logf("with 5%% %+v", got)
	assert.Assert(t, got.Hedged <= 0.05 && got.Extra <= 0.05, "%.3f of the requests hedged, extra work %.3f", got.Hedged, got.Extra)
	assert.Assert(t, got.P99 <= none.P99*7/10, "p99 %v, %v without", got.P99, none.P99)
}

// TestHedgesShortenTheFarTail is the same for one request in a thousand.
func TestHedgesShortenTheFarTail(t *testing.T) {
	none, got := runPair(1, 0.2, 15*time.Minute)
	assert.Assert(t, got.P999 <= none.P999/2, "p99.9 %v, %v without", got.P999, none.P999)
}

// TestNoHedgesInOverload guards against extra work while targets have too little room: each hedge would
// then delay another request.
func TestNoHedgesInOverload(t *testing.T) {
	for _, offered := range []float64{1, 1.5, 3.5} {
		_, got := runPair(1, offered, 30*time.Second)
		assert.Equal(t, got.Hedged, 0.0, "at %.1f times what targets carry", offered)
	}
}
