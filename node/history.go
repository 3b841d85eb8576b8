package node

import (
	"context"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
)

// loadHistory reads the history of the targets once, when a stream is taken up that nothing else shows the
// build of. It returns when that is done or ctx has ended; a read that failed is repeated by the next call.
func (n *Direct) loadHistory(ctx context.Context) {
	select {
	case n.historyTurn <- struct{}{}:
		defer func() { <-n.historyTurn }()
	case <-ctx.Done():
		return
	}
	if n.hasHistory {
		return
	}
	source, ok := n.Source(chestnutstep.TopicTargets).(chestnutstep.Historian)
	if !ok {
		return
	}
	requestedAt := clock.Now()
	h, err := source.History(ctx, n.roster.Revision(chestnutstep.TopicTargets))
	n.log.Emit(event.HistoryRead, event.Int("facts", int64(len(h.Facts))), event.Bool("complete", h.IsComplete),
		event.Dur("took", clock.Now().Sub(requestedAt)), event.Err(err))
	if err != nil {
		return
	}
	n.hasHistory = true
	n.roster.ApplyHistory(clock.Now(), requestedAt, h, n.Settings.HistorySpan)
}
