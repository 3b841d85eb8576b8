package node

import (
	"context"
	"net/http"
	"time"

	"chestnutstep.example/chestnutstep/event"
)

// ready returns nil if the balancer can send callers to this entry, and an ErrNotReady otherwise.
func (n *Direct) ready() error {
	if n.leaving.Load() {
		return &ErrNotReady{Cause: "leaving"}
	}
	v := n.roster.View()
	if v == nil {
		return &ErrNotReady{Cause: "no configuration yet"}
	}
	// Without the list, the entry would reject its first callers for lack of targets.
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

// stop reports that the entry is not ready, accepts connections until the balancer has noticed, and
// waits for requests in progress, so that a planned stop interrupts no response. Requests that come on open
// connections after that are refused: the process could end while a target runs them.
func (n *Direct) stop(srv *http.Server) error {
	start := time.Now()
	n.leaving.Store(true)
	n.relay.Drain()
	n.peers.Leave()
	n.log.Emit(event.ProcessNotReady, event.Str("cause", "leaving"))
	n.log.Emit(event.ProcessDrain, event.Int("open", n.relay.InFlight()))
	time.Sleep(balancerDelay)
	n.relay.RefuseNew()
	_ = n.callers.Close() // Serve returns, which nobody waits for any more
	grace := n.bounds().GracePeriod
	n.awaitConnsClosed(srv, start.Add(time.Duration(graceRatio*float64(grace))))
	n.endRequests()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(time.Duration(exitRatio*float64(grace))))
	defer cancel()
	err := srv.Shutdown(ctx)
	n.log.Emit(event.ProcessStop, event.Int("open", n.relay.InFlight()), event.Err(err))
	n.async.Close(ctx.Done())
	return nil
}

// connPoll is how often a stopping entry closes idle connections and checks whether any is left.
const connPoll = 20 * time.Millisecond

// awaitConnsClosed closes idle connections until none is left or the time has come. http.Server.Shutdown would close
// connections on which a request arrives meanwhile, without an answer.
func (n *Direct) awaitConnsClosed(srv *http.Server, end time.Time) {
	for time.Now().Before(end) {
		srv.SetKeepAlivesEnabled(false)
		if open, _ := n.callers.Open(); open == 0 {
			return
		}
		time.Sleep(connPoll)
	}
}
