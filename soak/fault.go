package soak

import (
	"fmt"
	"syscall"
	"time"

	"chestnutstep.example/chestnutstep/pipe"
	"chestnutstep.example/chestnutstep/stand"
)

// fault is a kind of fault that a run injects. inject returns the function that ends
// the fault, or nil if there is nothing to end.
type fault struct {
	name   string
	inject func(s *Soak) (undo func())
}

// faults are all kinds of faults. Several can be active concurrently.
var faults = []fault{
	{"kill", (*Soak).killEntry},
	{"pause", (*Soak).pauseEntry},
	{"stop", (*Soak).stopEntry},
	{"hup", func(s *Soak) func() { s.pickEntry().signal(syscall.SIGHUP); return nil }},
	{"door", (*Soak).failStore},
	{"source", (*Soak).holdSource},
	{"target", (*Soak).holdTarget},
	{"reset", func(s *Soak) func() { s.pickTarget().relay.CloseConnections(); return nil }},
	{"manner", (*Soak).misbehaveTarget},
	{"leave", (*Soak).leaveTarget},
	{"revoke", (*Soak).revokeKey},
	{"publish", func(s *Soak) func() { s.publish(); return nil }},
	{"forget", func(s *Soak) func() { s.store.Compact(); return nil }},
}

// processFaults are the faults of entries in a run with StreamsOnly.
var processFaults = []fault{{"kill", (*Soak).killEntry}, {"pause", (*Soak).pauseEntry}, {"stop", (*Soak).stopEntry}}

// entryFaults returns the kinds of faults that this run injects beside those of target processes.
func (s *Soak) entryFaults() []fault {
	if s.StreamsOnly {
		return processFaults
	}
	return faults
}

// injectFaults injects random faults until Duration has passed and then ends those
// still active.
func (s *Soak) injectFaults() {
	start := time.Now()
	stopKilling := s.killer.start(start)
	defer stopKilling()
	var undo []func()
	for time.Since(start) < s.Duration {
		time.Sleep(time.Duration(50+s.rand.IntN(500)) * time.Millisecond)
		list := s.entryFaults()
		f := list[s.rand.IntN(len(list))]
		s.faults = append(s.faults, fmt.Sprintf("%.2f s %s", time.Since(start).Seconds(), f.name))
		if u := f.inject(s); u != nil {
			undo = append(undo, u)
		}
		if !s.StreamsOnly {
			s.pauser.inject()
			s.strainTargets(time.Since(start))
		}
		// With more than three active faults, a random one ends for each new one.
		if len(undo) > 3 {
			i := s.rand.IntN(len(undo))
			undo[i]()
			undo = append(undo[:i], undo[i+1:]...)
		}
	}
	for _, u := range undo {
		u()
	}
}

// clearFaults restores normal operation: it ends all faults that can still be active,
// including those without an undo function, and restarts the entries that have exited.
func (s *Soak) clearFaults() {
	for _, e := range s.entries {
		e.storeServer.SetFailure(stand.NoFailure)
		e.relay.Heal()
		e.signal(syscall.SIGCONT)
		if e.waitExit(0) {
			_ = e.start() // an error shows up in check as requests that are not served
		}
	}
	for _, x := range s.targets {
		x.relay.Heal()
		x.SetBehaviour(stand.Normal)
	}
	s.strainTargets(s.Duration)
	s.killer.clear()
}

func (s *Soak) pickEntry() *entry { return s.entries[s.rand.IntN(len(s.entries))] }

func (s *Soak) pickTarget() *target { return s.targets[s.rand.IntN(len(s.targets))] }

func (s *Soak) killEntry() func() {
	e := s.pickEntry()
	defer e.disturbances.begin()()
	e.kill()
	if err := e.start(); err != nil {
		s.faults = append(s.faults, err.Error())
	}
	return nil
}

// pauseEntry stops a process with SIGSTOP until undo; the clock continues.
func (s *Soak) pauseEntry() func() {
	e := s.pickEntry()
	e.pausedAt = time.Now()
	end := e.disturbances.begin()
	e.signal(syscall.SIGSTOP)
	return func() {
		e.signal(syscall.SIGCONT)
		end()
	}
}

// stopEntry stops a process with SIGTERM. undo waits for its exit, kills it after
// gracePeriod, and starts it again.
func (s *Soak) stopEntry() func() {
	e := s.pickEntry()
	stopped, at := e.currentExit(), time.Now()
	end := e.disturbances.begin()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGTERM)
	return func() {
		defer end()
		e.signal(syscall.SIGCONT)
		if !waitExit(stopped, gracePeriod) {
			// A process that was paused in the meantime ran for less than its grace period.
			if e.pausedAt.Before(at) {
				s.recordViolation("entry %d did not exit within its grace period", e.number)
			}
			e.kill()
		}
		if err := e.start(); err != nil {
			s.faults = append(s.faults, err.Error())
		}
	}
}

func (s *Soak) failStore() func() {
	e := s.pickEntry()
	failures := []stand.Failure{stand.Unresponsive, stand.Unavailable, stand.TooManyRequests, stand.Reset, stand.AnswerLost}
	e.storeServer.SetFailure(failures[s.rand.IntN(len(failures))])
	return func() { e.storeServer.SetFailure(stand.NoFailure) }
}

// holdSource holds back all data between an entry and the store in one direction.
func (s *Soak) holdSource() func() {
	e := s.pickEntry()
	e.relay.Hold(s.pickDirection())
	return e.relay.Heal
}

func (s *Soak) holdTarget() func() {
	x := s.pickTarget()
	x.relay.Hold(s.pickDirection())
	end := x.disturbances.begin()
	return func() {
		x.relay.Heal()
		end()
	}
}

func (s *Soak) pickDirection() pipe.Direction {
	if s.rand.IntN(2) == 0 {
		return pipe.Up
	}
	return pipe.Down
}

func (s *Soak) misbehaveTarget() func() {
	x := s.pickTarget()
	behaviours := []stand.Behaviour{stand.Shed, stand.Fails, stand.Resets, stand.Cuts, stand.ExtraAnswer, stand.Misdelivered, stand.Garbage, stand.Unframed, stand.Hangs, stand.Slow, stand.Skips}
	b := behaviours[s.rand.IntN(len(behaviours))]
	x.SetBehaviour(stand.Normal, b, b, b)
	return nil
}

// leaveTarget drains a target and adds a new one. At least two targets are never
// drained.
func (s *Soak) leaveTarget() func() {
	live := 0
	for _, x := range s.targets {
		if x.leavesAt.IsZero() {
			live++
		}
	}
	if live <= 2 {
		return nil
	}
	x := s.pickTarget()
	if !x.leavesAt.IsZero() {
		return nil
	}
	s.putTarget(x, "draining")
	x.leavesAt = time.Now()
	if err := s.addTarget(); err != nil {
		s.faults = append(s.faults, err.Error())
	}
	return nil
}

// revokeKey revokes a key permanently and adds a new one.
func (s *Soak) revokeKey() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.rand.IntN(len(s.keys))
	if !s.keys[i].revokedAt.IsZero() {
		return nil
	}
	old := s.keys[i]
	s.keys = append(s.keys, &key{text: fmt.Sprintf("key-%d", len(s.keys))})
	old.revokedAt = time.Now()
	s.publish()
	old.revokedAt = time.Now()
	return nil
}

// recordViolation records a broken guarantee that was detected while a fault was
// injected or ended.
func (s *Soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
