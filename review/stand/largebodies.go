package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	largeBodiesTime = 24 * time.Second
	// largeBodyBytes is the largest body that the configuration allows.
	largeBodyBytes = 4194304
	// usualClients is how many requests of a tenant there are at once, and hotClients how many while the
	// tenant sends 7.5 times its usual: for hotSpan from hotAt on.
	usualClients = 4
	hotClients   = 30
	hotAt        = 5 * time.Second
	hotSpan      = 11 * time.Second
	// edgeMemoryMb is the memory of the smallest edge machines.
	edgeMemoryMb = 184
	// minLost is how often a channel has to end for the rule to be broken.
	minLost = 4
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = time.Second
)

func init() { plays["large-bodies"] = playLargeBodies }

// playLargeBodies lets a tenant whose bodies are of the allowed size send many times its usual. The rule is
// LOST.
func playLargeBodies(c *caseRun) ([]string, error) {
	var servers []*server
	for i := range 4 {
		servers = append(servers, &server{id: fmt.Sprintf("i-%08x", i+1), service: "map-api", slots: 6, queue: 24, work: 30 * time.Millisecond})
	}
	d, err := newDeployment(c, 1, edgeMemoryMb, config(10000), servers)
	defer d.close()
	if err != nil {
		return nil, err
	}
	m := &memoryLimit{entry: d.entries[0], run: c, stop: make(chan struct{}), done: make(chan struct{})}
	go m.loop()
	var l log
	var all sync.WaitGroup
	body := bytes.Repeat([]byte("edit"), largeBodyBytes/4)
	start := time.Now()
	upload := func(end time.Time) {
		uploadUntil(end, body, &client{address: d.entries[0].frontend, record: c.record}, &l)
	}
	for range usualClients {
		all.Go(func() { upload(start.Add(largeBodiesTime)) })
	}
	time.Sleep(hotAt)
	for n := usualClients; c.trouble && n < hotClients; n++ {
		all.Go(func() { upload(start.Add(hotAt + hotSpan)) })
	}
	all.Wait()
	close(m.stop)
	<-m.done
	return m.judge(&l, runsOf(servers)), nil
}

// uploadUntil sends requests over a channel that it keeps, one after the other.
func uploadUntil(end time.Time, body []byte, c *client, l *log) {
	defer c.close()
	for time.Now().Before(end) {
		a, _ := c.send("POST", "/puxa403/2f", body, 10*time.Second)
		l.add(a)
		time.Sleep(20 * time.Millisecond)
		if a.status == 0 {
			time.Sleep(restartDelay)
		}
	}
}

// memoryLimit ends the process of an entry that exceeds its memory, and starts it again, as the platform
// does.
type memoryLimit struct {
	entry *entry
	run   *caseRun
	kills atomic.Int64
	peak  atomic.Int64
	stop  chan struct{}
	done  chan struct{}
}

func (m *memoryLimit) loop() {
	defer close(m.done)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-tick.C:
		}
		p, _ := m.entry.process()
		n := residentBytes(p.Pid)
		m.peak.Store(max(m.peak.Load(), n))
		if n <= int64(m.entry.memoryMb)<<20 {
			continue
		}
		m.run.record.print("the platform kills %s, which takes %d MB", m.entry.name, n>>20)
		m.kills.Add(1)
		m.entry.kill()
		time.Sleep(restartDelay)
		if err := m.entry.start(); err != nil {
			m.run.record.print("%v", err)
			return
		}
	}
}

// residentBytes returns the memory of a process; 0 if it has ended.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(raw)
	if len(fields) < 2 {
		return 0
	}
	n, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	return n * int64(os.Getpagesize())
}

func (m *memoryLimit) judge(l *log, runs map[string]int) []string {
	statuses := make(map[int]int)
	var broken []string
	for _, a := range l.list {
		statuses[a.status]++
		if a.status == 0 && runs[a.id] > 0 {
			broken = append(broken, fmt.Sprintf("LOST: %s was passed on to a server, and its channel ended without an answer: %v", a.id, a.err))
		}
	}
	if len(broken) < minLost {
		broken = nil
	}
	m.run.record.print("%d requests, by status: %v; %d kills, at most %d MB", len(l.list), statuses, m.kills.Load(), m.peak.Load()>>20)
	return broken
}
