package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	missingFieldsTime = 20 * time.Second
	// otherWriterAt is when another writer begins to write an entry, and otherWriterEvery how often it
	// writes it again, as the server writes its own.
	otherWriterAt    = 5 * time.Second
	otherWriterEvery = 2 * time.Second
	// poolPrefix is that of the route to the other service.
	poolPrefix = "/lohu930/"
)

func init() { plays["missing-fields"] = playMissingFields }

// playMissingFields lets another writer write an entry without most of its fields, under the id of a server
// of another service. The rule is ROUTE.
func playMissingFields(c *caseRun) ([]string, error) {
	var servers []*server
	for i := range 6 {
		s := &server{id: fmt.Sprintf("i-%08x", i+1), service: "map-api", slots: 6, queue: 24, work: 30 * time.Millisecond}
		if i >= 3 {
			s.service, s.slots = "chestnut-pool", 64
		}
		servers = append(servers, s)
	}
	d, err := newDeployment(c, 2, 284, configOfTwo(), servers)
	defer d.close()
	if err != nil {
		return nil, err
	}
	var l log
	var all sync.WaitGroup
	end := time.Now().Add(missingFieldsTime)
	for i := range 8 {
		all.Go(func() { sendUntil(end, &client{address: d.entries[i%len(d.entries)].frontend, record: c.record}, &l) })
	}
	pool := servers[3]
	for time.Sleep(otherWriterAt); c.trouble && time.Now().Before(end.Add(-otherWriterEvery)); time.Sleep(otherWriterEvery) {
		d.store.Put("servers/"+pool.id, map[string]any{"service": "map-api", "address": pool.address, "zone": zoneName, "state": "ready"})
		c.record.print("another writer has written an entry of %s without slots, version, sequence and born", pool.id)
	}
	all.Wait()
	time.Sleep(time.Second)
	return judgeService(c, servers), nil
}

// configOfTwo returns a configuration with a service for each of two prefixes.
func configOfTwo() map[string]any {
	next := config(800)
	next["routes"] = append(next["routes"].([]any), map[string]any{
		"name": "owner-chat", "host": hostName, "prefix": poolPrefix, "type": "safe", "timeoutMs": 10000, "latencyTargetMs": 300,
		"priority": 0, "service": "chestnut-pool", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
	})
	next["services"] = append(next["services"].([]any), map[string]any{
		"name": "chestnut-pool", "healthPath": healthPath, "maxConnections": 360, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
	})
	return next
}

// judgeService returns the requests that ran at a server of a service to which their route doesn't lead.
func judgeService(c *caseRun, servers []*server) []string {
	var broken []string
	for _, s := range servers {
		s.mu.Lock()
		for _, r := range s.runs {
			if s.service != "map-api" && !strings.HasPrefix(r.path, poolPrefix) {
				broken = append(broken, fmt.Sprintf("ROUTE: %s to %s ran at %s of %s", r.id, r.path, s.id, s.service))
			}
		}
		c.record.print("%d requests ran at %s of %s", len(s.runs), s.id, s.service)
		s.mu.Unlock()
	}
	return broken
}
