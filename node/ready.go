package node

import (
	"context"
	"net/http"
	"time"

	"chestnutstep.example/chestnutstep/event"
)

// ready says whether the balancer should send callers here.
func (n *Direct) ready() error {
	if n.leaving.Load() {
		return &ErrNotReady{Cause: "leaving"}
	}
	v := n.roster.View()
	if v == nil {
		return &ErrNotReady{Cause: "no configuration yet"}
	}
	// Ready without the list, an entry would refuse its first callers for want of
	// targets.
	if !v.Listed {
		return &ErrNotReady{Cause: "no list of targets yet"}
	}
	age := n.proofAge()
	if limit := n.bounds().MaxRevokeTime; limit > 0 && age > time.Duration(readyProofRatio*float64(limit)) {
		return &ErrNotReady{Cause: "configuration not proved current"}
	}
	return nil
}

func (n *Direct) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := n.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// stop says "not ready" first, takes connections until the balancer has noticed,
// and waits for requests in progress: a planned stop cuts nothing.
func (n *Direct) stop(srv *http.Server) error {
	start := time.Now()
	n.leaving.Store(true)
	n.relay.Drain()
	n.peers.Leave()
	n.log.Emit(event.ProcessNotReady, event.Str("cause", "leaving"))
	n.log.Emit(event.ProcessDrain, event.Int("open", n.relay.InFlight()))
	time.Sleep(balancerDelay)
	limit := time.Duration(graceRatio * float64(n.bounds().GracePeriod))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(limit))
	defer cancel()
	err := srv.Shutdown(ctx)
	n.log.Emit(event.ProcessStop, event.Int("open", n.relay.InFlight()), event.Err(err))
	n.async.Close(ctx.Done())
	return nil
}
