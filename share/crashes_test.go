package share

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCrashReachesALargeFleetAtOnce guards against the retry of a request that crashes targets
// reaching an entry without a report of the crash: the regular rounds of a large fleet take seconds
// to reach all entries.
func TestCrashReachesALargeFleetAtOnce(t *testing.T) {
	const (
		entries = 300
		// hops is the number of times a crash is forwarded within 250 ms, at 5 ms per hop within a
		// region and 60 ms between regions.
		hops = 4
	)
	m := newMesh(entries, 0.02)
	m.rounds(5)
	m.paused, m.bytes = true, 0
	first := m.collectors[0]
	crash := Crash{Target: 1, Fingerprint: 2}
	first.crashes[crash] = true
	first.peers.SendCrashes(m.now, []Crash{crash})
	for range hops {
		m.deliver()
	}
	informed := 0
	for _, k := range m.collectors {
		if k.crashes[crash] {
			informed++
		}
	}
	assert.Assert(t, informed >= entries*99/100, "%d of %d entries have recorded the crash", informed, entries)
	assert.Assert(t, m.bytes <= entries*maxFanout*150, "%d bytes per entry", m.bytes/entries)
}

// TestEntryRequestsMissedCrashes guards against an entry that has just started, or was partitioned,
// and sends a request to targets although all other entries reject it.
func TestEntryRequestsMissedCrashes(t *testing.T) {
	m := newMesh(4, 0)
	m.reachAllPeers()
	crash := Crash{Target: 1, Fingerprint: 2}
	for _, k := range m.collectors[1:] {
		k.losses = []Crash{crash}
	}
	m.now = m.now.Add(time.Second)
	m.reachAllPeers()
	assert.Assert(t, !m.collectors[0].crashes[crash], "an entry that missed nothing received a catch-up")
	m.now = m.now.Add(2 * livenessTimeout)
	m.reachAllPeers()
	m.reachAllPeers()
	assert.Assert(t, m.collectors[0].crashes[crash])
}

// TestManyCrashesKeepTheControlRate guards against entries exceeding the control traffic budget
// when hundreds of targets end at once and each entry reports them to eight others.
func TestManyCrashesKeepTheControlRate(t *testing.T) {
	const seconds = 10
	m := newMesh(maxFanout+2, 0)
	m.reachAllPeers()
	m.bytes = 0
	sender := m.collectors[0].peers
	began := m.now
	for n := range uint32(seconds * 100) {
		m.now = began.Add(time.Duration(n) * 10 * time.Millisecond)
		list := make([]Crash, 0, 40)
		for i := range uint64(40) {
			list = append(list, Crash{Target: n, Fingerprint: 1<<60 + uint64(n)<<8 + i})
		}
		for _, k := range m.collectors[1:] {
			for _, x := range list {
				k.crashes[x] = true // already recorded, so no peer forwards it
			}
		}
		sender.SendCrashes(m.now, list)
	}
	assert.Assert(t, m.bytes <= crashBurst+seconds*crashRate+maxDatagramSize, "%d bytes in %d s", m.bytes, seconds)
	assert.Assert(t, m.bytes >= crashBurst/2, "%d bytes in %d s: too few were sent", m.bytes, seconds)
}
