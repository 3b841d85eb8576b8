package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// config returns a configuration with an unsafe and a safe route to one service.
func config(timeoutMs int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "type": kind, "timeoutMs": timeoutMs, "latencyTargetMs": 150,
			"priority": 2, "service": "map-api", "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": 7,
		"routes":  []any{route("zone-write", "/puxa403/", "unsafe", 1), route("map-read", "/cufi504/", "safe", 2)},
		"services": []any{map[string]any{
			"name": "map-api", "healthPath": healthPath, "maxConnections": 190, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "apiKeys": []string{clientKey}, "priority": 1}},
	}
}

const (
	lateCopyTime    = 90 * time.Second
	lateCopyClients = 80
	// copyShare is the share of the answers of a faulty server that it sends a second time. The servers
	// are faulty for faultySpan of each faultyEvery.
	copyShare   = 0.03
	faultySpan  = 5 * time.Second
	faultyEvery = 6 * time.Second
)

func init() { plays["late-copy"] = playLateCopy }

// playLateCopy lets half of the servers send a second copy of some answers. The rule is TWICE.
func playLateCopy(c *caseRun) ([]string, error) {
	start := time.Now()
	faulty := func() float64 {
		if time.Since(start)%faultyEvery < faultySpan {
			return copyShare
		}
		return 0
	}
	var servers []*server
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-%08x", i+1), service: "map-api", slots: 6, queue: 3, work: 30 * time.Millisecond, unframed: 0.05}
		if c.trouble && i%2 == 0 {
			s.copies = faulty
		}
		servers = append(servers, s)
	}
	d, err := newDeployment(c, 4, 284, config(800), servers)
	defer d.close()
	if err != nil {
		return nil, err
	}
	var l log
	var all sync.WaitGroup
	end := time.Now().Add(lateCopyTime)
	for i := range lateCopyClients {
		all.Go(func() { returnUntil(end, &client{address: d.entries[i%len(d.entries)].frontend, record: c.record}, &l) })
	}
	all.Wait()
	time.Sleep(time.Second)
	return judgeOnce(c, &l, servers), nil
}

// returnUntil sends requests, five of six unsafe ones, and repeats one that was refused once.
func returnUntil(end time.Time, c *client, l *log) {
	defer c.close()
	const deadline = 1500 * time.Millisecond
	for n := 0; time.Now().Before(end); n++ {
		method, path := http.MethodPost, "/puxa403/2f"
		if n%6 == 0 {
			method, path = http.MethodGet, "/cufi504/fi50/2f"
		}
		start := time.Now()
		for try := range 2 {
			left := deadline - time.Since(start)
			if left <= 0 {
				break
			}
			a, h := c.send(method, path, []byte("edit"), left)
			l.add(a)
			if a.status != http.StatusServiceUnavailable || try > 0 {
				break
			}
			c.close() // a retry comes on a new channel
			time.Sleep(retryAfter(h, left))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// judgeOnce returns the unsafe requests that ran more than once. It records those that were answered with
// a promise that they had not run, and had.
func judgeOnce(c *caseRun, l *log, servers []*server) []string {
	runs := runsOf(servers)
	statuses := make(map[int]int)
	refused := 0
	var broken []string
	for _, a := range l.list {
		statuses[a.status]++
		if !a.unsafe {
			continue
		}
		if n := runs[a.id]; n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: the unsafe request %s ran %d times", a.id, n))
		}
		switch a.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if runs[a.id] > 0 {
				refused++
				c.record.add("also seen: the unsafe request %s was answered %d and ran", a.id, a.status)
			}
		}
	}
	c.record.print("%d requests, by status: %v; unsafe, answered as not run, and run: %d; servers: %v", len(l.list), statuses, refused, countsOf(servers))
	return broken
}
