package node

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// probeInterval and maxProbes limit the connection attempts to suspect hosts: a failure domain
	// of 190 targets must not occupy a CPU core of an entry.
	probeInterval = time.Second
	maxProbes     = 8
	// probeTimeout bounds one connection attempt.
	probeTimeout = 400 * time.Millisecond
)

// probeLoop probes suspect hosts independently of callers' requests. A request sent to a host that
// is still unresponsive would be delayed by half a second.
func (n *Entry) probeLoop(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if v := n.store.View(); v != nil {
			n.probeSuspects(ctx, v)
		}
	}
}

func (n *Entry) probeSuspects(ctx context.Context, v *chestnutstep.View) {
	remaining := maxProbes
	for i := range v.Publication.Targets {
		t := &v.Publication.Targets[i]
		now := time.Now()
		if !n.members.IsSuspect(now, t.Host) || !n.members.AllowProbe(now, t.Host) {
			continue
		}
		n.probeHost(ctx, t)
		if remaining--; remaining == 0 {
			return
		}
	}
}

func (n *Entry) probeHost(ctx context.Context, t *chestnutstep.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := n.pool.Connect(ctx, t.Agent); err != nil {
		n.members.RecordFailure(time.Now(), t.Host)
		return
	}
	n.members.RecordSuccess(time.Now(), t.Host)
}
