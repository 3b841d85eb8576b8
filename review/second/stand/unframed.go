package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	unframedServers  = 3
	unframedCallers  = 6
	unframedEvents   = 40
	unframedInterval = 200 * time.Millisecond
	// shortIdle is how soon servers close idle channels during the disruption: under a second, so that they can't tell it in
	// Keep-Alive. usualIdle is the time otherwise.
	shortIdle = 700 * time.Millisecond
	usualIdle = 8 * time.Second
)

// playUnframedStream plays streams whose answers have no length and end with their channel, at servers that close idle
// channels sooner than usual.
func playUnframedStream(l *lab) (bool, error) {
	const service = "huvo11a"
	idle := usualIdle
	if l.trouble {
		idle = shortIdle
	}
	var servers []*server
	for i := range unframedServers {
		s, err := l.newServer(fmt.Sprintf("i-%d", i), idle)
		if err != nil {
			return false, err
		}
		s.answer = s.streamUnframed
		servers = append(servers, s)
		l.list(s, service, 64)
		go s.run()
	}
	l.publish(service, 370,
		route{Name: "plan", Prefix: "/lohu930/", Type: "stream", TimeoutMs: 12000, LatencyMs: 800, MaxAttempts: 1, GapMs: 300},
		route{Name: "look", Prefix: "/cufi504/", Type: "safe", TimeoutMs: 1500, LatencyMs: 150, MaxAttempts: 2})
	if err := l.startEntries(2); err != nil {
		return false, err
	}
	if err := l.hangUp(); err != nil {
		return false, err
	}
	replies := l.callOnKept(unframedCallers, request{http.MethodPost, "/lohu930/2f", 12 * time.Second, []byte("plan")})
	return l.judgeLost(replies, servers), nil
}

// callOnKept lets callers open a channel with a short request, and then send a request on it. It returns the replies to
// the latter.
func (l *lab) callOnKept(n int, r request) []reply {
	var mu sync.Mutex
	var all []reply
	var wg sync.WaitGroup
	for i := range n {
		c := &caller{lab: l, name: fmt.Sprintf("c%d", i), to: l.entries[i%len(l.entries)]}
		wg.Go(func() {
			defer c.close()
			c.do(request{http.MethodGet, "/cufi504/fi50/2f", 1500 * time.Millisecond, nil})
			a := c.do(r)
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
		})
	}
	wg.Wait()
	return all
}

// maxLost is the number of requests from kept channels that the rule LOST allows to be lost at any time. Around planned
// work it allows none.
const maxLost = 3

// judgeLost judges requests that were sent on kept channels within configApplyMs after a SIGHUP, and passed on to servers
// that are sound: it reports whether any has ended with its channel and without a complete answer.
func (l *lab) judgeLost(replies []reply, servers []*server) bool {
	lost := 0
	for _, a := range replies {
		runs := 0
		for _, s := range servers {
			runs += s.runsOf(a.id)
		}
		if a.kept && !a.complete && runs > 0 {
			lost++
			l.note("LOST: %s was passed on to a sound server, and its channel was closed without a complete answer", a.id)
		}
	}
	l.note("%d requests on kept channels, %d lost; allowed are %d at any time, and none around planned work", len(replies), lost, maxLost)
	return lost > 0
}

// streamUnframed answers with events and ends the answer with the channel. The answers of other routes have a length.
func (s *server) streamUnframed(c *channel, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	s.begin(r)
	if r.Method == http.MethodGet {
		const text = "bay four is free"
		return c.write("%sContent-Length: %d\r\n\r\n%s", s.head(r), len(text), text)
	}
	if !c.write("%sContent-Type: text/event-stream\r\n\r\n", s.head(r)) {
		return false
	}
	for n := 1; n <= unframedEvents; n++ {
		if !c.write("id: %d\ndata: piece %d\n\n", n, n) {
			s.lab.note("%s: the channel of %s was closed before piece %d", s.id, r.Header.Get("Attempt-Id"), n)
			return false
		}
		time.Sleep(unframedInterval)
	}
	s.end(r)
	return false
}
