package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCrashReachesALargeFleetAtOnce guards against the repeat of a request that ends targets coming to an entry which has not
// heard of them: a large fleet's rounds take seconds to reach all.
func TestCrashReachesALargeFleetAtOnce(t *testing.T) {
	const (
		entries = 300
		// hops is how often a crash is passed on within 250 ms, at 5 ms each in one region and 60 ms in another.
		hops = 4
	)
	m := newMesh(entries, 0.02)
	m.rounds(5)
	m.held, m.bytes = true, 0
	first := m.knowers[0]
	crash := Crash{Target: 1, Fingerprint: 2}
	first.crashes[crash] = true
	first.peers.SpreadCrashes(m.now, []Crash{crash})
	for range hops {
		m.deliver()
	}
	know := 0
	for _, k := range m.knowers {
		if k.crashes[crash] {
			know++
		}
	}
	assert.Assert(t, know >= entries*99/100, "%d of %d entries know", know, entries)
	assert.Assert(t, m.bytes <= entries*fanout*150, "%d bytes an entry", m.bytes/entries)
}

// TestEntryAsksForWhatItMissed guards against an entry that has just started, or was cut off, and sends a request to targets which
// all others refuse.
func TestEntryAsksForWhatItMissed(t *testing.T) {
	m := newMesh(4, 0)
	m.sweep()
	crash := Crash{Target: 1, Fingerprint: 2}
	for _, k := range m.knowers[1:] {
		k.losses = []Crash{crash}
	}
	m.now = m.now.Add(time.Second)
	m.sweep()
	assert.Assert(t, !m.knowers[0].crashes[crash], "it missed nothing, and asks")
	m.now = m.now.Add(2 * liveFor)
	m.sweep()
	m.sweep()
	assert.Assert(t, m.knowers[0].crashes[crash])
}
