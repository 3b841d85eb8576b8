package relay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/place"
)

// All entries lost power, and callers come back before an entry knows what targets
// hold. Sent at once, long prefixes are read anew, and all who come behind wait for
// it. So they wait a little, and are served also when the word never comes, by a
// service without caches, and by an entry that knows.
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
	settled := make(chan struct{})
	close(settled)
	g.relay.CachesKnown = settled
	took(long)
}
