package soak

import (
	"fmt"
	"syscall"
	"time"

	"chestnutstep.example/chestnutstep/pipe"
	"chestnutstep.example/chestnutstep/stand"
)

// fault is something that happens from outside, and what undoes it.
type fault struct {
	name   string
	inject func(s *Soak) (undo func())
}

// faults overlap and come in series.
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

// injectFaults lets faults happen until the time is over.
func (s *Soak) injectFaults() {
	start := time.Now()
	var undo []func()
	for time.Since(start) < s.Duration {
		time.Sleep(time.Duration(50+s.rand.IntN(500)) * time.Millisecond)
		f := faults[s.rand.IntN(len(faults))]
		s.faults = append(s.faults, fmt.Sprintf("%.2f s %s", time.Since(start).Seconds(), f.name))
		if u := f.inject(s); u != nil {
			undo = append(undo, u)
		}
		// About as many faults end as begin, in any order.
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

// clearFaults ends what may still be wrong.
func (s *Soak) clearFaults() {
	for _, e := range s.entries {
		e.storeServer.SetFailure(stand.NoFailure)
		e.relay.Heal()
		e.signal(syscall.SIGCONT)
		if e.hasExited(0) {
			_ = e.start() // shows as an entry that is not ready
		}
	}
	for _, x := range s.targets {
		x.relay.Heal()
		x.SetBehaviour(stand.Normal)
	}
}

func (s *Soak) pickEntry() *entry { return s.entries[s.rand.IntN(len(s.entries))] }

func (s *Soak) pickTarget() *target { return s.targets[s.rand.IntN(len(s.targets))] }

func (s *Soak) killEntry() func() {
	e := s.pickEntry()
	e.kill()
	if err := e.start(); err != nil {
		s.faults = append(s.faults, err.Error())
	}
	return nil
}

// pauseEntry lets a process stand still; its clock goes on.
func (s *Soak) pauseEntry() func() {
	e := s.pickEntry()
	e.pausedAt = time.Now()
	e.signal(syscall.SIGSTOP)
	return func() { e.signal(syscall.SIGCONT) }
}

// stopEntry is a planned stop and a start behind it.
func (s *Soak) stopEntry() func() {
	e := s.pickEntry()
	stopped, at := e.currentExit(), time.Now()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGTERM)
	return func() {
		e.signal(syscall.SIGCONT)
		if !waitExit(stopped, gracePeriod) {
			// One that stood still meanwhile had less than its grace.
			if e.pausedAt.Before(at) {
				s.recordViolation("entry %d did not end within its grace", e.number)
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
	troubles := []stand.Failure{stand.Unresponsive, stand.Unavailable, stand.TooManyRequests, stand.Reset, stand.AnswerLost}
	e.storeServer.SetFailure(troubles[s.rand.IntN(len(troubles))])
	return func() { e.storeServer.SetFailure(stand.NoFailure) }
}

// holdSource silences the connections between an entry and the store one way.
func (s *Soak) holdSource() func() {
	e := s.pickEntry()
	e.relay.Hold(s.pickDirection())
	return e.relay.Heal
}

func (s *Soak) holdTarget() func() {
	x := s.pickTarget()
	x.relay.Hold(s.pickDirection())
	return x.relay.Heal
}

func (s *Soak) pickDirection() pipe.Direction {
	if s.rand.IntN(2) == 0 {
		return pipe.Up
	}
	return pipe.Down
}

func (s *Soak) misbehaveTarget() func() {
	x := s.pickTarget()
	manners := []stand.Behaviour{stand.Shed, stand.Fails, stand.Resets, stand.Cuts, stand.ExtraAnswer, stand.Misdelivered, stand.Garbage, stand.Unframed, stand.Hangs, stand.Slow, stand.Skips}
	m := manners[s.rand.IntN(len(manners))]
	x.SetBehaviour(stand.Normal, m, m, m)
	return nil
}

// leaveTarget lets a target leave as planned, and another one join. Two always stay.
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

// revokeKey takes a key away for good and gives out another.
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

// recordViolation notes a promise that a fault itself found broken.
func (s *Soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
