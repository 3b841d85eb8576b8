package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"chestnutstep.example/chestnutstep/stand"
)

const (
	// processCount is the number of targets that are processes: each framing with a listening socket that
	// stays and with one that each start opens anew.
	processCount = 6
	// processInterval is the time between two events of their streams.
	processInterval = 15 * time.Millisecond
	// killInterval is the mean time between two faults of target processes.
	killInterval = 150 * time.Millisecond
	// maxListDelay is the maximum time from the start of a process to its entry in the store.
	maxListDelay = 200 * time.Millisecond
	// astrayEvery is such that each process begins one in so many continuations at a wrong event.
	astrayEvery = 5
	// maxHalt is the maximum time for which a process is suspended.
	maxHalt = 600 * time.Millisecond
)

// process is a target that is a process.
type process struct {
	*stand.Process
	soak  *Soak
	start int
}

func (s *Soak) startProcesses() error {
	if s.Standin == "" {
		return nil
	}
	for i := range processCount {
		p := &process{soak: s, Process: &stand.Process{
			Program: s.Standin, File: filepath.Join(s.Dir, fmt.Sprintf("target-%d.log", i)), Name: fmt.Sprintf("p-%d-0", i),
			Build: builds[i%len(builds)], Framing: stand.Framings[i%len(stand.Framings)], Inherits: i >= len(stand.Framings),
			EventCount: eventCount, EventInterval: processInterval, AstrayEvery: astrayEvery,
		}}
		s.processes = append(s.processes, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, p := range s.processes {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
		p.list()
	}
	return nil
}

// list writes the target's entry in the store.
func (p *process) list() {
	p.soak.store.PutTarget(p.Name, stand.TargetEntry{
		Service: "s", Address: p.Address(), Zone: "z", Slots: 16, State: "ready", BornMs: time.Now().UnixMilli(), Version: p.Build,
	})
}

// killer kills, resets and suspends target processes. It has random numbers of its own, so that the
// other faults of a seed stay what they are.
type killer struct {
	soak      *Soak
	rand      *rand.Rand
	startedAt time.Time
	done      chan struct{}
	all       sync.WaitGroup
	faults    []string
}

// start begins to inject faults. The returned function ends that.
func (k *killer) start(at time.Time) (stop func()) {
	k.startedAt, k.done = at, make(chan struct{})
	if len(k.soak.processes) == 0 {
		return func() {}
	}
	k.all.Add(1)
	go k.run()
	return func() {
		close(k.done)
		k.all.Wait()
	}
}

func (k *killer) run() {
	defer k.all.Done()
	for {
		select {
		case <-k.done:
			return
		case <-time.After(time.Duration(k.rand.Int64N(int64(2 * killInterval)))):
			k.inject()
		}
	}
}

func (k *killer) inject() {
	p := k.soak.processes[k.rand.IntN(len(k.soak.processes))]
	switch n := k.rand.IntN(8); {
	case n == 0:
		k.record(p, "reset")
		p.Reset()
	case n == 1:
		k.record(p, "halt")
		p.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(k.rand.Int64N(int64(maxHalt))))
		p.Signal(syscall.SIGCONT)
	default:
		k.restart(p)
	}
}

// restart kills a process and starts it at once, under its name or another.
func (k *killer) restart(p *process) {
	renamed, delay := k.rand.IntN(2) == 0, time.Duration(k.rand.Int64N(int64(maxListDelay)))
	k.record(p, fmt.Sprintf("kill renamed=%t listed after %s", renamed, delay.Round(time.Millisecond)))
	p.Kill()
	old := p.Name
	if renamed {
		p.start++
		p.Name = fmt.Sprintf("p-%s-%d", p.Address(), p.start)
	}
	if err := p.Start(); err != nil {
		k.soak.recordViolation("start of %s: %v", p.Name, err)
		return
	}
	time.Sleep(delay)
	if renamed {
		k.soak.store.Remove("servers/" + old)
	}
	p.list()
}

func (k *killer) record(p *process, what string) {
	k.faults = append(k.faults, fmt.Sprintf("%.3f s %s (%s, %s) %s", time.Since(k.startedAt).Seconds(), p.Name, p.Framing, p.Address(), what))
}

// clear lets all processes run.
func (k *killer) clear() {
	for _, p := range k.soak.processes {
		p.Signal(syscall.SIGCONT)
	}
}

// ProcessFaults returns the faults of target processes with their times.
func (s *Soak) ProcessFaults() []string { return s.killer.faults }
