package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	revokeAllTime = 20 * time.Second
	// revokeAt is when the operator takes the key away, and maxRevoke the bound revokeMs of the settings.
	revokeAt  = 6 * time.Second
	maxRevoke = 5 * time.Second
)

func init() { plays["revoke-all"] = playRevokeAll }

// playRevokeAll takes the only key away, together with its tenant. The rule is CONFIG.
func playRevokeAll(c *caseRun) ([]string, error) {
	var servers []*server
	for i := range 3 {
		servers = append(servers, &server{id: fmt.Sprintf("i-%08x", i+1), service: "map-api", slots: 6, queue: 24, work: 30 * time.Millisecond})
	}
	d, err := newDeployment(c, 2, 284, config(800), servers)
	defer d.close()
	if err != nil {
		return nil, err
	}
	var l log
	var all sync.WaitGroup
	start := time.Now()
	end := start.Add(revokeAllTime)
	for i := range 8 {
		all.Go(func() { sendUntil(end, &client{address: d.entries[i%len(d.entries)].frontend, record: c.record}, &l) })
	}
	var strangers log
	all.Go(func() {
		sendUntil(end, &client{address: d.entries[0].frontend, key: "neverheldbyanyone000", record: c.record}, &strangers)
	})
	time.Sleep(revokeAt)
	acked := end
	if c.trouble {
		next := config(800)
		next["version"], next["tenants"] = 8, []any{}
		d.store.Put("op/config", next)
		acked = time.Now()
		c.record.print("the store has acknowledged version 8, which has no key any more")
	}
	all.Wait()
	time.Sleep(time.Second)
	recordStrangers(c, &strangers, servers)
	return judgeRevoked(c, &l, servers, acked), nil
}

// sendUntil sends requests of both kinds on a kept channel.
func sendUntil(end time.Time, c *client, l *log) {
	defer c.close()
	for n := 0; time.Now().Before(end); n++ {
		method, path := http.MethodPost, "/puxa403/2f"
		if n%2 == 0 {
			method, path = http.MethodGet, "/cufi504/fi50/2f"
		}
		a, _ := c.send(method, path, []byte("edit"), 1500*time.Millisecond)
		l.add(a)
		time.Sleep(time.Duration(30+rand.IntN(40)) * time.Millisecond)
	}
}

// recordStrangers records how many requests ran whose key no configuration ever held.
func recordStrangers(c *caseRun, l *log, servers []*server) {
	runs := runsOf(servers)
	n := 0
	for _, a := range l.list {
		n += min(runs[a.id], 1)
	}
	c.record.print("requests with a key that no configuration ever held: %d, of which ran: %d", len(l.list), n)
}

// judgeRevoked returns the requests that were sent later than maxRevoke after the key was taken away, and
// ran.
func judgeRevoked(c *caseRun, l *log, servers []*server, acked time.Time) []string {
	runs := runsOf(servers)
	before, after := make(map[int]int), make(map[int]int)
	var broken []string
	for _, a := range l.list {
		if a.sentAt.Sub(acked) <= maxRevoke {
			before[a.status]++
			continue
		}
		after[a.status]++
		if runs[a.id] > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: %s was sent %.1f s after the ack, and ran", a.id, a.sentAt.Sub(acked).Seconds()))
		}
	}
	c.record.print("by status, up to 5 s after the ack: %v; later: %v", before, after)
	return broken
}
