package watch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/platform"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/stand"
	"chestnutstep.example/chestnutstep/watch"
)

// follower is a watcher over one door of the stand-in store.
type follower struct {
	store  *stand.Store
	door   *stand.Door
	roster *roster.Roster
	wake   chan struct{}
	wait   time.Duration

	mu             sync.Mutex
	lost, regained [chestnutstep.TopicCount]int
}

func follow(t *testing.T, store *stand.Store, wait time.Duration) *follower {
	t.Helper()
	f := &follower{store: store, door: store.Open(), roster: &roster.Roster{}, wake: make(chan struct{}, 1), wait: wait}
	t.Cleanup(f.door.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	source := platform.NewStore(f.door.Address(), link.Dial)
	pauses := &watch.Pauses{}
	for topic := range chestnutstep.TopicCount {
		w := &watch.Watcher{
			Topic: topic, Source: source.TopicSource(topic), Roster: f.roster, Notify: f,
			Wait: func() time.Duration { return f.wait }, Rest: rest, Pauses: pauses,
		}
		if topic == chestnutstep.TopicRouting {
			w.Wake = f.wake
		}
		go w.Run(ctx)
	}
	return f
}

// once is that each topic is lost or regained one time.
var once = [chestnutstep.TopicCount]int{1, 1}

func rest() time.Duration { return 300 * time.Millisecond }

func (f *follower) Changed(roster.Change, clock.Stamp) {}

func (f *follower) Lost(t chestnutstep.Topic, _ error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[t]++
}

func (f *follower) Regained(t chestnutstep.Topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regained[t]++
}

// until waits for a condition with a generous limit.
func until(t *testing.T, ok func() bool, what string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (f *follower) version(n uint64) func() bool {
	return func() bool { return f.roster.Version() == n }
}

func (f *follower) has(ids ...string) func() bool {
	return func() bool {
		v := f.roster.View()
		if v == nil || len(v.ByID) != len(ids) {
			return false
		}
		for _, id := range ids {
			if v.ByID[id] == nil {
				return false
			}
		}
		return true
	}
}

func config(version int) map[string]any { return map[string]any{"version": version} }

func server(state string) map[string]any {
	return map[string]any{"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 4, "state": state}
}

func start(t *testing.T) *follower {
	t.Helper()
	return startWaiting(t, time.Second)
}

func startWaiting(t *testing.T, wait time.Duration) *follower {
	t.Helper()
	store := stand.NewStore()
	store.Put("op/config", config(3))
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		store.Put("servers/"+id, server("ready"))
	}
	f := follow(t, store, wait)
	until(t, f.has("a", "b", "c", "d", "e"), "all pages are read")
	until(t, f.version(3), "the configuration is read")
	return f
}

// The list is longer than a page, entries of other writers lie in it, and changes
// come one by one. A target that an entry does not hear of gets no work; one whose
// leaving it misses cuts off what it is given.
func TestFollows(t *testing.T) {
	f := start(t)
	f.store.Put("servers/odd", []byte("{not json"))
	f.store.Put("servers/strange", map[string]any{"service": 7, "address": "x"})
	f.store.Put("servers/unknown", server("resting"))
	f.store.Remove("servers/b")
	f.store.Put("servers/f", server("ready"))
	until(t, f.has("a", "c", "d", "e", "f"), "changes are seen, odd entries are not")
	f.store.Put("servers/a", server("draining"))
	until(t, func() bool { v := f.roster.View(); return !v.Usable(v.ByID["a"]) }, "leaving is seen")
	f.store.Put("op/evacuate/z", map[string]any{})
	until(t, func() bool { return f.roster.View().Out["z"] }, "the domain is out")
	f.store.Remove("op/evacuate/z")
	until(t, func() bool { return !f.roster.View().Out["z"] }, "the domain is back")
	f.store.Put("op/config", config(8))
	until(t, f.version(8), "the version is in force")
}

// The store forgets its history while a watch is cut, and things change meanwhile.
// An entry that went on from where it was would never hear of them.
func TestHistoryIsGone(t *testing.T) {
	f := start(t)
	f.door.Set(stand.Busy)
	until(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.lost == once }, "the watches are lost")
	f.store.Put("op/config", config(9))
	f.store.Remove("servers/c")
	f.store.Put("servers/a", server("draining"))
	f.store.Forget()
	f.door.Set(stand.None)
	until(t, f.version(9), "the version is read in full")
	until(t, f.has("a", "b", "d", "e"), "what is still missing after the return is gone")
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.regained, once)
}

// The store turns one host away in each of its ways and serves another. The host
// goes on with what it knows, asks again soon, and does not flood the store.
func TestTurnedAway(t *testing.T) {
	for _, trouble := range []stand.Trouble{stand.Busy, stand.Many, stand.Reset, stand.Silent, stand.Lost} {
		t.Run(string(trouble), func(t *testing.T) {
			f := start(t)
			other := follow(t, f.store, time.Second)
			until(t, other.version(3), "the other is served")
			f.door.Set(trouble)
			before := f.door.Calls()
			f.store.Put("op/config", config(4))
			until(t, other.version(4), "the other is served")
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, f.roster.Version(), uint64(3))
			assert.Assert(t, f.has("a", "b", "c", "d", "e")(), "nothing is dropped")
			assert.Assert(t, f.door.Calls()-before < 30, "%d calls", f.door.Calls()-before)
			f.door.Set(stand.None)
			until(t, f.version(4), "it hears again")
		})
	}
}

// TestWake guards against a long watch that keeps the proof of the facts old: woken, the
// entry begins the next watch at once, whose return proves them current.
func TestWake(t *testing.T) {
	f := startWaiting(t, time.Hour)
	before := f.door.Calls()
	f.wake <- struct{}{}
	until(t, func() bool { return f.door.Calls() > before }, "it watches again")
	at := clock.Now()
	f.store.Put("op/config", config(4))
	until(t, f.version(4), "the newer version is in force")
	f.store.Put("op/config", config(5))
	until(t, f.version(5), "the newer version is in force")
	assert.Assert(t, f.roster.Proof(chestnutstep.TopicRouting) >= at)
}

// moody is a source whose first watch fails, and that notes how long each is to wait.
type moody struct {
	waits chan time.Duration
	calls int
}

func (s *moody) List(context.Context) (chestnutstep.Batch, error) {
	return chestnutstep.Batch{Revision: 1}, nil
}

func (s *moody) Watch(_ context.Context, _ uint64, wait time.Duration) (chestnutstep.Batch, error) {
	s.waits <- wait
	s.calls++
	if s.calls == 1 {
		return chestnutstep.Batch{}, chestnutstep.ErrSource{Status: 503}
	}
	return chestnutstep.Batch{Revision: 1}, nil
}

// The store turns an entry away for a while, and nothing changes as it lets it in
// again. A watch that waits long would learn of the return seconds later, with the
// first change: a target that is removed then is taken for one that lapsed meanwhile,
// and callers are sent there for two seconds more.
func TestReturnOfTheSourceIsNoticedAtOnce(t *testing.T) {
	const long = 10 * time.Second
	s := &moody{waits: make(chan time.Duration)}
	f := &follower{roster: &roster.Roster{}}
	w := &watch.Watcher{
		Source: s, Roster: f.roster, Notify: f, Wait: func() time.Duration { return long }, Rest: rest, Pauses: &watch.Pauses{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
	assert.Equal(t, <-s.waits, long)
	assert.Assert(t, <-s.waits <= 100*time.Millisecond)
	assert.Equal(t, <-s.waits, long)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.regained[chestnutstep.TopicTargets], 1)
}
