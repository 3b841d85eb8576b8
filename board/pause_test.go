package board_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

// waveTarget is a target that asks for rest if a request finds all places and the queue taken.
type waveTarget struct {
	running   int
	restUntil clock.Stamp
	rests     int
}

// wave plays entries before targets that ask for rest when they are full, in steps of stepTime.
type wave struct {
	rand    *rand.Rand
	fleet   []*board.Board
	service *chestnutstep.Service
	// most is the number of requests that a target takes before it asks for rest; fewer than
	// takenAsPublished are fewer than its slots and a short queue.
	most    int
	view    *roster.View
	targets map[string]*waveTarget
	// ends lists what ends at a time.
	ends           map[clock.Stamp][]func(now clock.Stamp)
	sent, served   int
	refused, waste int
}

const (
	stepTime         = 10 * time.Millisecond
	waveRest         = 2 * time.Second
	waveObjective    = 400 * time.Millisecond
	takenAsPublished = 6
	workTime         = 500 * time.Millisecond
)

func newWave(entries, targets, most int) *wave {
	service := *engine
	service.LatencyObjective = waveObjective
	w := &wave{
		rand: rand.New(rand.NewPCG(1, 2)), service: &service, most: most, fleet: newFleet(entries), view: newView(targets, targets),
		targets: make(map[string]*waveTarget), ends: make(map[clock.Stamp][]func(clock.Stamp)),
	}
	for n, b := range w.fleet {
		b.Pauses = &pause.Tracker{Seed: uint64(n) + 1}
	}
	for _, x := range w.view.Services["s"] {
		w.targets[x.ID] = &waveTarget{}
	}
	return w
}

func (w *wave) at(t clock.Stamp, f func(now clock.Stamp)) { w.ends[t] = append(w.ends[t], f) }

// send sends one request from a random entry, to one other target if the first rejects it.
func (w *wave) send(now clock.Stamp) {
	b := w.fleet[w.rand.IntN(len(w.fleet))]
	caller := &board.Caller{Workspace: "ws", Objective: waveObjective}
	var skip []string
	w.sent++
	for range 2 {
		c := b.Choose(now, w.view, w.service, board.Criteria{Skip: skip, Caller: caller}, place.Request{Key: w.rand.Uint64()})
		if c.Target == nil || b.Pauses.Acquire(now, pause.InstanceOf(&c.Target.Instance)) != nil {
			break
		}
		skip, caller = append(skip, c.ID), nil
		if w.offer(now, b, c.Target) {
			w.served++
			return
		}
		w.waste++
	}
	w.refused++
}

// offer sends a request to a target and reports whether that takes it.
func (w *wave) offer(now clock.Stamp, b *board.Board, t *roster.Target) bool {
	x := w.targets[t.ID]
	run := b.Start(now, t, w.service, nil, 0, board.Caller{Workspace: "ws", Objective: waveObjective})
	instance := pause.InstanceOf(&t.Instance)
	if x.running >= w.most && now >= x.restUntil {
		x.restUntil = now.Add(waveRest)
		x.rests++
	}
	if now < x.restUntil {
		b.Pauses.Release(now, instance, true)
		b.StartPause(now, t, x.restUntil.Sub(now))
		run.End(now, board.Paused)
		return false
	}
	x.running++
	b.Pauses.Release(now, instance, true)
	run.FirstByte(now)
	w.at(now.Add(workTime), func(now clock.Stamp) {
		x.running--
		run.End(now, board.Served)
	})
	return true
}

// play sends requests at a part of what the targets carry, and returns the largest number of targets
// that rested at the same time after the given one.
func (w *wave) play(load float64, d time.Duration, after clock.Stamp) (most int) {
	capacity := float64(len(w.targets)*4) / workTime.Seconds()
	due := 0.0
	for now := start; now < start.Add(d); now = now.Add(stepTime) {
		for _, f := range w.ends[now] {
			f(now)
		}
		delete(w.ends, now)
		if now.Sub(start)%(5*stepTime) == 0 {
			exchangeReports(w.fleet, now)
		}
		for due += load * capacity * stepTime.Seconds(); due >= 1; due-- {
			w.send(now)
		}
		resting := 0
		for _, x := range w.targets {
			if now < x.restUntil {
				resting++
			}
		}
		if now >= after {
			most = max(most, resting)
		}
	}
	return most
}

// TestRestOfSomeTargetsDoesNotSpread guards against targets that ask for rest one after the other,
// because each of them gets the part of those that rest.
func TestRestOfSomeTargetsDoesNotSpread(t *testing.T) {
	for _, most := range []int{3, 4, 6} {
		for _, load := range []float64{0.3, 0.6, 0.8, 1.5} {
			t.Run(fmt.Sprintf("%d/load %.1f", most, load), func(t *testing.T) {
				const count = 18
				w := newWave(6, count, most)
				for n, x := range w.view.Services["s"] {
					if n%3 == 0 { // a third rests from the beginning
						w.targets[x.ID].restUntil = start.Add(waveRest)
					}
				}
				atOnce := w.play(load, 20*time.Second, start.Add(waveRest+time.Second))
				rests := 0
				for _, x := range w.targets {
					rests += x.rests
				}
				t.Logf("%d sent, %d served, %d refused, %d rejected by targets; %d rests later, %d at once", w.sent, w.served, w.refused, w.waste, rests, atOnce)
				if most >= takenAsPublished {
					assert.Assert(t, atOnce < count, "all rest at once")
					assert.Assert(t, load > 0.7 || rests == 0, "%d rests below the capacity", rests)
				}
			})
		}
	}
}
