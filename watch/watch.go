// Package watch keeps a roster up to date from a source of facts: it reads all
// once, then waits for changes, and reads all again after a gap.
package watch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// pauseLeast and pauseMost bound the pause after a failure. The least lets a
	// lost answer be asked for at once; the most keeps a fleet of 350 under
	// 1,200 calls a second while the source refuses them.
	pauseLeast = 30 * time.Millisecond
	pauseMost  = 300 * time.Millisecond
	// lostWait is how long a watch waits after the source was lost. What is missing
	// counts as gone two seconds after its return, and a watch that waits long hears
	// of the return with the next change only: a target that is removed meanwhile
	// would pass for one whose entry only lapsed, and still get requests.
	lostWait = 50 * time.Millisecond
)

// Watcher follows one topic of a source. Set the fields before Run.
type Watcher struct {
	Source chestnutstep.Source
	Topic  chestnutstep.Topic
	Roster *roster.Roster
	// Notify hears of what changed, and of each loss and return of the source.
	Notify Notify
	// Wait is how long the next watch waits for changes.
	Wait func() time.Duration
	// Rest is how long a watch rests after changes; nil for Gather of one entry.
	Rest func() time.Duration
	// Kick ends the present watch.
	Kick chan Kick

	revision uint64
	pause    time.Duration
	lost     bool
	kicked   atomic.Int32
}

// Kick says why a watch ends early.
type Kick int32

// The reasons for a kick.
const (
	// KickNone is no kick.
	KickNone Kick = iota
	// KickAgain makes the next watch begin now: its return proves that the
	// process is up to date.
	KickAgain
	// KickFull makes the process read all: a peer knows something newer.
	KickFull
)

// Notify is what a watcher reports.
type Notify interface {
	Changed(topic chestnutstep.Topic, c roster.Change, asked clock.Stamp)
	Lost(topic chestnutstep.Topic, err error)
	Regained(topic chestnutstep.Topic)
}

// Run follows the topic until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil && ctx.Err() == nil {
			w.failed(ctx, err)
		}
	}
}

// step makes one call.
func (w *Watcher) step(ctx context.Context) error {
	asked := clock.Now()
	full := w.revision == 0
	var b chestnutstep.Batch
	var err error
	if full {
		b, err = w.Source.List(ctx, w.Topic)
	} else {
		b, err = w.watch(ctx)
	}
	switch Kick(w.kicked.Swap(int32(KickNone))) {
	case KickFull:
		w.revision = 0
		return nil
	case KickAgain:
		return nil
	}
	if err != nil {
		return err
	}
	w.pause = 0
	if w.lost {
		w.lost = false
		w.Notify.Regained(w.Topic)
	}
	if b.Revision > w.revision || full {
		w.revision = b.Revision
	}
	c := w.Roster.Learn(clock.Now(), w.Topic, b, full)
	if w.Topic == chestnutstep.TopicRouting {
		w.Roster.Prove(asked)
	}
	if !c.Empty() {
		w.Notify.Changed(w.Topic, c, asked)
	}
	if len(b.Facts) > 0 && !full {
		rest(ctx, w.rest())
	}
	return nil
}

// rest is how long to rest after changes.
func (w *Watcher) rest() time.Duration {
	if w.Rest == nil {
		return Gather(1, 0)
	}
	return w.Rest()
}

// rest waits, or until ctx ends.
func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// watch waits for changes, and gives up when it is kicked.
func (w *Watcher) watch(ctx context.Context) (chestnutstep.Batch, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go w.loop(done, cancel)
	wait := w.Wait()
	if w.lost {
		wait = min(wait, lostWait)
	}
	return w.Source.Watch(ctx, w.Topic, w.revision, wait)
}

// loop ends a watch that was kicked.
func (w *Watcher) loop(done <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-done:
	case k := <-w.Kick:
		w.kicked.Store(int32(k))
		cancel()
	}
}

// failed pauses, a little longer after each failure in a row.
func (w *Watcher) failed(ctx context.Context, err error) {
	w.Roster.Doubt(w.Topic)
	var e chestnutstep.ErrSource
	if errors.As(err, &e) && e.Gap {
		w.revision = 0
	}
	if !w.lost {
		w.lost = true
		w.Notify.Lost(w.Topic, err)
	}
	w.pause = min(max(2*w.pause, pauseLeast), pauseMost)
	rest(ctx, w.pause/2+rand.N(w.pause))
}
