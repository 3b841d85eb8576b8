// Package watch keeps a roster up to date from a source of facts: it reads all
// once, then waits for changes, and reads all again after a gap.
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

// maxLostWait is how long a watch waits after the source was lost. What is missing
// counts as gone two seconds after its return, and a watch that waits long notices
// the return with the next change only: a target that is removed meanwhile
// would pass for one whose entry only lapsed, and still get requests.
const maxLostWait = 50 * time.Millisecond

// Watcher follows the source of a topic. Set the fields before Run.
type Watcher struct {
	Topic  chestnutstep.Topic
	Source chestnutstep.Source
	Roster *roster.Roster
	// Observer is called for each change, and for each loss and return of the source.
	Observer Observer
	// Wait is how long the next watch waits for changes.
	Wait func() time.Duration
	// BatchDelay is how long to rest after changes, so that what changes together is read by one
	// call.
	BatchDelay func() time.Duration
	// Wake ends the present watch, so that the next one begins; nil for never.
	Wake chan struct{}
	// Backoff between calls that fail; shared by the watchers of one source, so that two
	// topics cost a source that is down no more calls than one.
	Backoff *Backoff

	revision uint64
	lost     bool
	woken    atomic.Bool
}

// Observer is what a watcher reports.
type Observer interface {
	OnChange(c roster.Change, asked clock.Stamp)
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

// step makes one call.
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

// watch waits for changes, and gives up when it is woken.
func (w *Watcher) watch(ctx context.Context) (chestnutstep.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select {
	case <-w.Wake: // this watch begins later than that
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

// cancelOnWake ends a watch that is woken.
func (w *Watcher) cancelOnWake(done <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-done:
	case <-w.Wake:
		w.woken.Store(true)
		cancel()
	}
}

// handleFailure records a failure, and pauses.
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
