package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	oddEntryTime = 20 * time.Second
	oddEntryAt   = 5 * time.Second
	// maxDrain is the bound drainMs of the settings.
	maxDrain = 2 * time.Second
	// exitAfter is how long the server goes on serving after its entry: the bound and some seconds.
	exitAfter = 8 * time.Second
)

func init() { plays["odd-entry"] = playOddEntry }

// playOddEntry lets a server drain with an entry that has a field of another type. The rule is DRAIN.
func playOddEntry(c *caseRun) ([]string, error) {
	var servers []*server
	for i := range 7 {
		servers = append(servers, &server{id: fmt.Sprintf("i-%08x", i+1), service: "map-api", slots: 6, queue: 24, work: 30 * time.Millisecond})
	}
	d, err := newDeployment(c, 2, 284, config(800), servers)
	defer d.close()
	if err != nil {
		return nil, err
	}
	var l log
	var all sync.WaitGroup
	end := time.Now().Add(oddEntryTime)
	for i := range 24 {
		all.Go(func() { sendUntil(end, &client{address: d.entries[i%len(d.entries)].frontend, record: c.record}, &l) })
	}
	time.Sleep(oddEntryAt)
	gone := servers[0]
	acked := end
	if c.trouble {
		gone.drain()
		d.register(gone, 1000)
		acked = time.Now()
		c.record.print("the store has acknowledged the entry of %s with the state draining, and slots as text", gone.id)
		time.Sleep(exitAfter)
		gone.close()
		c.record.print("%s has exited", gone.id)
	}
	all.Wait()
	time.Sleep(time.Second)
	recordCut(c, &l, gone, acked)
	return judgeGone(c, gone, acked), nil
}

// recordCut records the unsafe requests that had reached the server late, and whose clients got no answer of it.
func recordCut(c *caseRun, l *log, s *server, acked time.Time) {
	s.mu.Lock()
	late := make(map[string]bool)
	for _, r := range s.runs {
		late[r.id] = r.at.Sub(acked) > maxDrain
	}
	s.mu.Unlock()
	for _, a := range l.list {
		if late[a.id] && a.unsafe && !a.signed {
			c.record.print("lost as %s exited: the unsafe request %s, answered %d", s.id, a.id, a.status)
		}
	}
}

// judgeGone returns the requests that reached a server later than maxDrain after its entry named no server
// to use.
func judgeGone(c *caseRun, s *server, acked time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for _, r := range s.runs {
		if late := r.at.Sub(acked); late > maxDrain {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.1f s after the ack", r.id, s.id, late.Seconds()))
		}
	}
	c.record.print("%d requests reached %s", len(s.runs), s.id)
	return broken
}
