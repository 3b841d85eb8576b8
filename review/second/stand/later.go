package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	laterServers = 3
	laterCallers = 6
	// laterBody is the size of a long body, and laterWindow what a server's host takes of it while the server does not read.
	laterBody   = 1 << 20
	laterWindow = 64 << 10
	// laterRead is when a server reads on after it has begun to answer.
	laterRead     = 2500 * time.Millisecond
	laterEvents   = 30
	laterInterval = 200 * time.Millisecond
)

// playBodyReadLater plays streams with long bodies, at servers that answer before they have read the body, and read on
// later.
func playBodyReadLater(l *lab) (bool, error) {
	const service = "huvo11a"
	var servers []*server
	for i := range laterServers {
		s, err := l.newServerAt(anyPort, fmt.Sprintf("i-%d", i), 8*time.Second, laterWindow)
		if err != nil {
			return false, err
		}
		s.answer = s.readLater
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
	body := bytes.Repeat([]byte("booking history "), laterBody/16)
	replies := l.callOnKept(laterCallers, request{http.MethodPost, "/lohu930/2f", 12 * time.Second, body})
	return l.judgeLost(replies, servers), nil
}

// readLater begins to answer at once, and reads the rest of the body later during the disruption.
func (s *server) readLater(c *channel, r *http.Request) bool {
	s.begin(r)
	if r.Method == http.MethodGet {
		const text = "bay four is free"
		return c.write("%sContent-Length: %d\r\n\r\n%s", s.head(r), len(text), text)
	}
	pause := time.Duration(0)
	if s.lab.trouble {
		pause = laterRead
	}
	rest := make(chan int64, 1)
	go readRest(r.Body, pause, rest)
	if !c.write("%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", s.head(r)) {
		return false
	}
	for n := 1; n <= laterEvents; n++ {
		if !c.write("%s", chunk(fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n))) {
			s.lab.note("%s: the channel of %s was closed before piece %d", s.id, r.Header.Get("Attempt-Id"), n)
			return false
		}
		time.Sleep(laterInterval)
	}
	if n := <-rest; n != r.ContentLength {
		s.lab.note("%s: %d bytes of the body of %s have come", s.id, n, r.Header.Get("Attempt-Id"))
		return false
	}
	s.end(r)
	return c.write("0\r\n\r\n")
}

func readRest(body io.Reader, pause time.Duration, rest chan<- int64) {
	time.Sleep(pause)
	n, _ := io.Copy(io.Discard, body)
	rest <- n
}
