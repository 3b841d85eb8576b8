package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	increasingServers = 3
	increasingCallers = 6
	increasingEvents  = 20
	// increasingStep is the number of tokens of an event: ids that count tokens increase by it.
	increasingStep = 7
)

// playIncreasingEvents plays streams whose ids count the tokens that were made, so that they increase by more than one.
func playIncreasingEvents(l *lab) (bool, error) {
	const service = "huvo11a"
	var servers []*server
	for i := range increasingServers {
		s, err := l.newServer(fmt.Sprintf("i-%d", i), 8*time.Second)
		if err != nil {
			return false, err
		}
		s.answer = s.streamIncreasing
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
	replies := l.callOnKept(increasingCallers, request{http.MethodPost, "/lohu930/2f", 12 * time.Second, []byte("plan")})
	return l.judgeLost(replies, servers), nil
}

// streamIncreasing answers with events in chunks; their ids begin at 1 and increase by the tokens of an event.
func (s *server) streamIncreasing(c *channel, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	s.begin(r)
	if r.Method == http.MethodGet {
		const text = "bay four is free"
		return c.write("%sContent-Length: %d\r\n\r\n%s", s.head(r), len(text), text)
	}
	step := 1
	if s.lab.trouble {
		step = increasingStep
	}
	if !c.write("%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", s.head(r)) {
		return false
	}
	for n := range increasingEvents {
		id := 1 + n*step
		if !c.write("%s", chunk(fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id))) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.end(r)
	return c.write("0\r\n\r\n")
}
