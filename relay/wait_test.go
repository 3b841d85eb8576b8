package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/place"
)

// TestLongPrefixWaitsForCaches guards against requests sent before an entry that has just started
// has the list of prefixes cached by targets. After all entries have restarted, long prefixes would
// be computed again, and all later requests would wait for that. Requests wait for a limited time
// and are then served without the list; requests to a service without caches don't wait.
func TestLongPrefixWaitsForCaches(t *testing.T) {
	const long = "Prefix-Hash: aa:6000,bb:10\r\n"
	g := newTestRelay(t)
	took := func(headers ...string) time.Duration {
		began := time.Now()
		assert.Equal(t, g.doRequest(t, "safe", headers...), "200 signed whole")
		return time.Since(began)
	}
	g.relay.CachesKnown = make(chan struct{})
	took(long)
	g.roster.View().Routing.Services["shop"].IsEngine = true
	assert.Assert(t, took(long) >= place.Patience(6000))
	cachesKnown := make(chan struct{})
	close(cachesKnown)
	g.relay.CachesKnown = cachesKnown
	took(long)
}
