package node

import (
	"context"

	"chestnutstep.example/chestnutstep/admin"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
)

// serveMetrics serves metrics at their own address until ctx ends.
func (n *Direct) serveMetrics(ctx context.Context) {
	srv := &admin.Server{Addr: n.Settings.MetricsAddr, Log: n.log, Ready: n.ready, Metrics: n.meters.Handler()}
	// The server logs a failure itself. Requests do not depend on this address.
	_ = srv.Run(ctx)
}

// reportedCounts holds the totals already added to the metrics.
type reportedCounts struct {
	dropped, opened, out, in int64
	peers                    int
	manyCallers              bool
	readings                 reportedReadings
}

// updateMetrics transfers counts kept by other parts into the metrics and logs their changes.
func (n *Direct) updateMetrics() {
	n.updateClaims()
	n.setMemoryGauges()
	m, c := &n.meters.Relay, &n.reported
	dropped, opened := n.async.Dropped(), n.pool.Opened()
	out, in := n.peers.TrafficBytes()
	m.LogLinesDropped.Add(dropped - c.dropped)
	m.ConnectionsOpened.Add(opened - c.opened)
	m.DatagramBytes.Add(out-c.out, "out")
	m.DatagramBytes.Add(in-c.in, "in")
	if dropped > c.dropped {
		n.log.Emit(event.LinesDropped, event.Int("lines", dropped-c.dropped))
	}
	live := n.board.PeerCount()
	if live != c.peers {
		n.log.Emit(event.PeersCounted, event.Int("peers", int64(live)), event.Int("before", int64(c.peers)))
	}
	open, manyCallers := n.callers.Open()
	if manyCallers != c.manyCallers {
		n.setGCPercent(open, manyCallers)
	}
	n.updateReadings(clock.Now())
	n.reported = reportedCounts{dropped, opened, out, in, live, manyCallers, c.readings}
	m.CallerConnections.Set(float64(open))
	m.PausedTargets.Set(float64(n.pauses.Paused(clock.Now())))
	for _, p := range n.board.Places(clock.Now()) {
		m.PlacesTaken.Set(p.Taken, p.Service)
		m.PlacesKept.Set(p.Kept, p.Service)
	}
	m.Peers.Set(float64(live))
	bodies := n.relay.Bodies.Use()
	m.BodyBytes.Set(float64(bodies.Large), "large")
	m.BodyBytes.Set(float64(bodies.Used-bodies.Large), "small")
	m.OpenRequests.Set(float64(n.relay.InFlight()))
	m.ProofAge.Set(n.proofAge().Seconds())
	if v := n.roster.View(); v != nil {
		m.Version.Set(float64(v.Routing.Version))
		m.Targets.Set(float64(len(v.ByID)))
	}
}
