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

// TestManyCrashesKeepTheControlRate guards against entries that pass on what they know of hundreds of targets that ended at once,
// each to eight others.
func TestManyCrashesKeepTheControlRate(t *testing.T) {
	const seconds = 10
	m := newMesh(fanout+2, 0)
	m.sweep()
	m.bytes = 0
	sender := m.knowers[0].peers
	began := m.now
	for n := range uint32(seconds * 100) {
		m.now = began.Add(time.Duration(n) * 10 * time.Millisecond)
		list := make([]Crash, 0, 40)
		for i := range uint64(40) {
			list = append(list, Crash{Target: n, Fingerprint: 1<<60 + uint64(n)<<8 + i})
		}
		for _, k := range m.knowers[1:] {
			for _, x := range list {
				k.crashes[x] = true // known there: nobody passes it on
			}
		}
		sender.SpreadCrashes(m.now, list)
	}
	assert.Assert(t, m.bytes <= crashBurst+seconds*crashRate+datagramMost, "%d bytes in %d s", m.bytes, seconds)
	assert.Assert(t, m.bytes >= crashBurst/2, "%d bytes in %d s: hardly any were sent", m.bytes, seconds)
}
