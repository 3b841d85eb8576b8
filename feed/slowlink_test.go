package feed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/stand"
)

const (
	// slowRate is the rate of an entry's link in bytes per second.
	slowRate = 200 << 10
	// largeRoutes is the number of routes of a configuration of about 1 MB.
	largeRoutes = 4500
)

// slowConn limits reads to slowRate.
type slowConn struct{ net.Conn }

func (c slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), slowRate/50)])
	time.Sleep(time.Duration(n) * time.Second / slowRate)
	return n, err
}

func dialSlow(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := link.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return slowConn{c}, nil
}

// newSlowFleet starts a fleet whose entries have slow links.
func newSlowFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{store: stand.NewStore(), dial: dialSlow}
	f.publish(1)
	f.startAll(t, n)
	return f
}

// publishLarge publishes a configuration whose transfer occupies each entry's link for seconds.
func (f *fleet) publishLarge(version int) {
	routes := make([]map[string]any, largeRoutes)
	for i := range routes {
		routes[i] = map[string]any{
			"name": fmt.Sprintf("r-%016x", rand.Uint64()), "host": "a.example",
			"prefix": fmt.Sprintf("/%016x%016x/", rand.Uint64(), rand.Uint64()), "service": "s", "type": "safe",
			"timeoutMs": 800, "latencyTargetMs": 150, "maxAttempts": 2, "priority": 2,
		}
	}
	f.store.Put("op/config", map[string]any{"version": version, "services": []any{map[string]any{"name": "s"}}, "routes": routes})
}

// TestLargeConfigurationDoesNotDelayTargets guards against the leaving of a target being read only
// after a large configuration that was published before it.
func TestLargeConfigurationDoesNotDelayTargets(t *testing.T) {
	f := newSlowFleet(t, 12)
	f.addReadyTarget(t, "i-a")
	f.publishLarge(2)
	f.putTarget("i-a", "draining")
	for _, e := range f.entries {
		waitUntil(t, func() bool { return e.roster.View().ByID["i-a"].Leaving }, "the target is leaving")
		assert.Equal(t, e.roster.Version(), uint64(1), "the configuration came first")
	}
}

// TestLargeConfigurationTransferCompletes guards against a transfer that is aborted while bytes
// still arrive, and restarted endlessly.
func TestLargeConfigurationTransferCompletes(t *testing.T) {
	f := newSlowFleet(t, 6)
	f.publishLarge(2)
	for _, e := range f.entries {
		waitUntil(t, func() bool { return e.roster.Version() == 2 }, "the configuration is in force")
	}
}

// TestRemovedTargetIsDroppedWhileReadersAreRejected guards against entries that treat the loss of
// their readers, or their own rejection, as an outage during which the records of healthy targets
// expire: a removed target would still get requests.
func TestRemovedTargetIsDroppedWhileReadersAreRejected(t *testing.T) {
	f := newFleet(t, 12)
	f.addReadyTarget(t, "i-a")
	for _, e := range f.readers() {
		e.storeServer.SetFailure(stand.Unavailable)
	}
	for _, e := range f.entries[:4] {
		e.storeServer.SetFailure(stand.Unavailable)
	}
	f.store.Remove("servers/i-a")
	f.putTarget("i-later", "ready")
	for _, e := range f.entries {
		waitUntil(t, func() bool { return e.roster.View().ByID["i-later"] != nil }, "the later change is read")
		assert.Assert(t, e.roster.View().ByID["i-a"] == nil, "%s still uses the removed target", e.id)
	}
}

// TestVersionReportsDoNotConfirmTargets guards against a reader that is cut off from the source and
// counts its list of targets as current because other entries report the same configuration
// version.
func TestVersionReportsDoNotConfirmTargets(t *testing.T) {
	f := newFleet(t, 12)
	f.addReadyTarget(t, "i-a")
	readers := f.readers()
	for _, e := range readers {
		e.storeServer.SetFailure(stand.Unresponsive)
	}
	f.putTarget("i-a", "draining")
	for _, e := range f.entries {
		if isOneOf(e, readers) {
			continue
		}
		waitUntil(t, func() bool {
			for _, x := range f.entries {
				x.roster.ConfirmVersion(clock.Now())
			}
			return e.roster.View().ByID["i-a"].Leaving
		}, "the target is leaving")
	}
}
