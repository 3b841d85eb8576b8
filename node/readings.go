package node

import (
	"net/netip"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/gauge"
	"chestnutstep.example/chestnutstep/share"
)

// readingsUnusedAfter is the time without a fresh reading after which the log says that reported load
// is not used any more. Pauses between requests are shorter.
const readingsUnusedAfter = time.Minute

// sendReadings sends the load that targets reported to a peer.
func (n *Direct) sendReadings(to netip.AddrPort, b []byte) {
	n.peers.SendMessage(to, share.MessageReadings, b)
}

// reportedReadings holds what was already logged and added to the metrics.
type reportedReadings struct {
	gauge.Counts
	// usedAt is the last time with a fresh reading; 0 if the log says that there is none.
	usedAt clock.Stamp
}

// updateReadings transfers the counts of readings into the metrics, and logs when their use begins and
// ends.
func (n *Direct) updateReadings(now clock.Stamp) {
	sum, c, m := n.readings.Summary(now), &n.reported.readings, &n.meters.Relay
	m.Readings.Add(sum.Own-c.Own, "own")
	m.Readings.Add(sum.Peer-c.Peer, "peer")
	m.Readings.Add(sum.Old-c.Old, "old")
	m.Readings.Add(sum.Unknown-c.Unknown, "unknown")
	m.Readings.Add(sum.Invalid-c.Invalid, "invalid")
	m.FreshReadings.Set(float64(sum.Fresh))
	m.SlowTargets.Set(float64(sum.Slow))
	c.Counts = sum.Counts
	switch {
	case sum.Fresh > 0:
		if c.usedAt == 0 {
			n.log.Emit(event.TargetLoadUsed, event.Int("targets", int64(sum.Fresh)), event.Int("slow", int64(sum.Slow)))
		}
		c.usedAt = now
	case c.usedAt != 0 && now.Sub(c.usedAt) > readingsUnusedAfter:
		n.log.Emit(event.TargetLoadUnused)
		c.usedAt = 0
	}
}
