package pause

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
)

// Tracker holds the pauses of targets. Every request to a target has to pass Acquire right before it
// is sent: between the choice of a target and the sending, an answer to another request can have
// asked for a pause. Set the fields before use. A nil Tracker allows everything. It is safe for
// concurrent use.
type Tracker struct {
	// Seed differs by process and spreads the ends of pauses; 0 if no other process sends to the
	// targets.
	Seed uint64

	// count is the number of targets, so that the usual case of none needs no lock.
	count   atomic.Int64
	mu      sync.Mutex
	targets map[Instance]*target
}

// target is the state of one instance.
type target struct {
	until clock.Stamp
	// leaving is set once the target announced that it leaves; it stays set for this instance.
	leaving bool
	// usedAt is the last time at which the state was read or changed.
	usedAt clock.Stamp
	// isPaused is set until Expire has reported the end of the pause.
	isPaused bool
	// window limits the unanswered requests after the end of a pause, and pending counts them. The
	// last of them was sent at sentAt.
	window, pending int
	sentAt          clock.Stamp
}

// Start records that a target asked for a pause. Of several pauses the one that ends last counts. It
// returns whether the target was not paused before.
func (t *Tracker) Start(now clock.Stamp, i Instance, d time.Duration) (first bool) {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.get(i)
	first = now >= x.until
	x.until = max(x.until, now.Add(d+t.spread(i, d)))
	x.window, x.pending, x.isPaused, x.usedAt = firstWindow, 0, true, now
	return first
}

// Leave records that a target announced its leaving: this instance never gets a request again. It
// returns whether that is new.
func (t *Tracker) Leave(now clock.Stamp, i Instance) (first bool) {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.get(i)
	first = !x.leaving
	x.leaving, x.usedAt = true, now
	return first
}

// IsLeaving reports whether a target announced its leaving.
func (t *Tracker) IsLeaving(now clock.Stamp, i Instance) bool {
	return t.State(now, i).Reason == chestnutstep.ReasonLeaving
}

// get returns the state of an instance and creates it if necessary.
func (t *Tracker) get(i Instance) *target {
	x := t.targets[i]
	if x == nil {
		if t.targets == nil {
			t.targets = make(map[Instance]*target)
		}
		x = &target{}
		t.targets[i] = x
		t.count.Add(1)
	}
	return x
}

// spread returns by how much this process delays the end of a pause.
func (t *Tracker) spread(i Instance, d time.Duration) time.Duration {
	if t.Seed == 0 {
		return 0
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(i.ID))
	binary.LittleEndian.PutUint64(b[8:], t.Seed)
	fraction := float64(xxhash.Sum64(b[:])>>11) / (1 << 53)
	return time.Duration(fraction * min(spreadRatio*float64(d), float64(maxSpread)))
}

// Tracks reports whether the target has a state, also if it may receive requests.
func (t *Tracker) Tracks(i Instance) bool {
	if t == nil || t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[i] != nil
}

// State returns whether a target may receive a request now.
func (t *Tracker) State(now clock.Stamp, i Instance) State {
	if t == nil || t.count.Load() == 0 {
		return State{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[i].state(now)
}

func (x *target) state(now clock.Stamp) State {
	switch {
	case x == nil:
		return State{}
	case x.leaving:
		x.usedAt = now
		return State{Reason: chestnutstep.ReasonLeaving}
	case now < x.until:
		return State{chestnutstep.ReasonPaused, x.until}
	case x.pending >= x.window && now.Sub(x.sentAt) < answerTimeout:
		return State{chestnutstep.ReasonPaused, now.Add(windowTime)}
	}
	return State{}
}

// Acquire decides on a request that is about to be sent. The error is an ErrPaused. If there is none,
// the caller must call Release with the result of the request.
func (t *Tracker) Acquire(now clock.Stamp, i Instance) error {
	if t == nil || t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.targets[i]
	if s := x.state(now); s.Blocked() {
		return ErrPaused{i.ID, s}
	}
	if x != nil {
		x.pending++
		x.sentAt = now
	}
	return nil
}

// Release records the end of a request that Acquire allowed: the head of its answer arrived, or it
// failed without one.
func (t *Tracker) Release(now clock.Stamp, i Instance, answered bool) {
	if t == nil || t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.targets[i]
	if x == nil {
		return
	}
	x.pending = max(x.pending-1, 0)
	if !answered || now < x.until {
		return
	}
	if x.window *= 2; x.window >= fullWindow && !x.leaving {
		t.remove(i)
	}
}

func (t *Tracker) remove(i Instance) {
	delete(t.targets, i)
	t.count.Add(-1)
}

// RetryAfter returns after which time a caller can return if all targets are paused for at least the
// remaining time. Callers that were refused throughout a pause return over as much time after it.
func RetryAfter(id string, remaining time.Duration) time.Duration {
	return admit.Jitter(id, max(remaining, windowTime))
}

// Paused returns the number of targets whose pause has not ended.
func (t *Tracker) Paused(now clock.Stamp) int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, x := range t.targets {
		if now < x.until {
			n++
		}
	}
	return n
}

// Expire returns the targets whose pause ended since the last call, and removes state that is no longer
// needed. Call it periodically. A target that announced its leaving is forgotten only when nobody has
// asked for its state for a while: as long as it is listed, it must not be used again.
func (t *Tracker) Expire(now clock.Stamp) []Instance {
	if t == nil || t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []Instance
	for i, x := range t.targets {
		if x.isPaused && now >= x.until {
			x.isPaused = false
			if !x.leaving {
				ended = append(ended, i)
			}
		}
		if x.leaving && now.Sub(x.usedAt) > keepLeavingTime || !x.leaving && now.Sub(x.until) > keepTime {
			t.remove(i)
		}
	}
	return ended
}
