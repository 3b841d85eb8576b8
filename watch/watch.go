// Package watch keeps a roster up to date from a source of facts: it lists all facts once, then
// watches for changes, and lists all facts again after a gap in the history. Failed calls are
// retried with backoff until the context ends.
package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

// maxLostWait limits the wait of a watch after the source was lost. Missing targets are removed two
// seconds after the return of the source, and a long watch notices the return only with the next
// change. A target removed in the meantime would be taken for one whose record has expired, and
// would still get requests.
const maxLostWait = 50 * time.Millisecond

// Watcher follows one topic of a source. Its exported fields must be set before Run.
type Watcher struct {
	Topic  chestnutstep.Topic
	Source chestnutstep.Source
	Roster *roster.Roster
	// Observer is notified of each change, and of each loss and return of the source.
	Observer Observer
	// Wait returns how long the next watch waits for changes.
	Wait func() time.Duration
	// BatchDelay returns the pause after changes, so that changes in quick succession are read by
	// one call.
	BatchDelay func() time.Duration
	// Wake ends the current watch, so that the next one begins; nil for never.
	Wake chan struct{}
	// Backoff spaces calls that fail. It is shared by the watchers of one source, so that two
	// topics cause no more calls of an unavailable source than one.
	Backoff *Backoff

	revision uint64
	lost     bool
	woken    atomic.Bool
}

// Observer is notified by a watcher. requestedAt is the time before the call that returned the
// change.
type Observer interface {
	OnChange(c roster.Change, requestedAt clock.Stamp)
	OnSourceLost(t chestnutstep.Topic, err error)
	OnSourceRegained(t chestnutstep.Topic)
}

// Run follows the source until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.handleFailure(ctx, err)
		}
	}
}

// step makes one call and applies its result.
func (w *Watcher) step(ctx context.Context) error {
	requestedAt := clock.Now()
	full := w.revision == 0
	var b chestnutstep.Batch
	var err error
	if full {
		b, err = w.Source.List(ctx)
	} else {
		b, err = w.watch(ctx)
	}
	woken := w.woken.Swap(false)
	if err != nil && woken {
		return nil
	}
	if err != nil {
		return err
	}
	w.Backoff.reset()
	if w.lost {
		w.lost = false
		w.Observer.OnSourceRegained(w.Topic)
	}
	if b.Revision > w.revision || full {
		w.revision = b.Revision
	}
	c := w.Roster.Apply(clock.Now(), w.Topic, b, full)
	w.Roster.RecordProof(w.Topic, requestedAt.Add(-b.Age))
	if !c.Empty() {
		w.Observer.OnChange(c, requestedAt)
	}
	if len(b.Facts) > 0 && !full {
		clock.Sleep(ctx, w.BatchDelay())
	}
	return nil
}

// watch waits for changes; a wake-up cancels it.
func (w *Watcher) watch(ctx context.Context) (chestnutstep.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-w.Wake: // obsolete: this watch begins after the wake-up
	default:
	}
	done := make(chan struct{})
	defer close(done)
	go w.cancelOnWake(done, cancel)
	wait := w.Wait()
	if w.lost {
		wait = min(wait, maxLostWait)
	}
	return w.Source.Watch(ctx, w.revision, wait)
}

// cancelOnWake cancels a watch on a wake-up.
func (w *Watcher) cancelOnWake(done <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-done:
	case <-w.Wake:
		w.woken.Store(true)
		cancel()
	}
}

// handleFailure records a failure and pauses.
func (w *Watcher) handleFailure(ctx context.Context, err error) {
	w.Roster.MarkLost(w.Topic)
	var e chestnutstep.ErrSource
	isSource := errors.As(err, &e)
	if isSource && w.Topic == chestnutstep.TopicTargets {
		w.Roster.MarkSourceUnresponsive()
	}
	if isSource && e.Compacted {
		w.revision = 0
	}
	if !w.lost {
		w.lost = true
		w.Observer.OnSourceLost(w.Topic, err)
	}
	clock.Sleep(ctx, w.Backoff.next(clock.Now()))
}
