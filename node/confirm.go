package node

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// confirmPoll is the pause before the source is asked again for changes that the watch is about to deliver.
	confirmPoll = 10 * time.Millisecond
	// confirmInterval is the least time between two calls after which no change was pending: requests that arrive
	// meanwhile share the second one.
	confirmInterval = 100 * time.Millisecond
)

// confirmTargets returns true once the roster has all targets that had joined before the call, by the proof of its watch
// or by a call that finds no later change. It returns false if that is not known before ctx ends.
func (n *Direct) confirmTargets(ctx context.Context) bool {
	since := clock.Now()
	for !n.isProved(since) {
		select {
		case n.confirmTurn <- struct{}{}:
		case <-ctx.Done():
			return false
		}
		pause := confirmPoll
		if !n.isProved(since) && n.proveTargets(ctx) {
			pause = confirmInterval
		}
		time.AfterFunc(pause, func() { <-n.confirmTurn })
	}
	return true
}

func (n *Direct) isProved(since clock.Stamp) bool {
	return n.roster.Proof(chestnutstep.TopicTargets) >= since
}

// proveTargets asks the source for changes of the targets after those in the roster, and records the proof if there is
// none.
func (n *Direct) proveTargets(ctx context.Context) bool {
	requestedAt, revision := clock.Now(), n.roster.Revision(chestnutstep.TopicTargets)
	if revision == 0 {
		return false
	}
	b, err := n.Source(chestnutstep.TopicTargets).Watch(ctx, revision, time.Millisecond)
	if err != nil || len(b.Facts) > 0 {
		return false
	}
	n.roster.RecordProof(chestnutstep.TopicTargets, requestedAt)
	return true
}
