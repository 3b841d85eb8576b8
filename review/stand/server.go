package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// healthPath is the path of liveness checks.
const healthPath = "/healthz"

// server emulates a server of the platform.
type server struct {
	id, service string
	// slots is the number of requests that run at once; queue is the number that may wait for a slot.
	slots, queue int
	work         time.Duration
	// unframed is the share of complete answers that have no length and end with their channel.
	unframed float64
	// copies returns the share of answers of which a second copy is sent, once the server works on the
	// next request of the channel; nil for none.
	copies func() float64

	address  string
	born     time.Time
	record   *record
	listener net.Listener
	slot     chan struct{}

	mu      sync.Mutex
	waiting int
	conns   map[net.Conn]bool
	runs    []serverRun
	counts  map[string]int
}

// serverRun is one run of a request.
type serverRun struct {
	id   string
	at   time.Time
	path string
}

func (s *server) start(r *record) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.address, s.born, s.record = l, l.Addr().String(), time.Now(), r
	s.slot, s.conns, s.counts = make(chan struct{}, s.slots), make(map[net.Conn]bool), make(map[string]int)
	go s.loop()
	return nil
}

func (s *server) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) close() {
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// serve serves the requests of one channel, one at a time.
func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	var late lateCopy
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text, last := s.handle(r, c, &late)
		if _, err := io.WriteString(c, text); err != nil || last {
			return
		}
		if s.copies != nil && rand.Float64() < s.copies() {
			late = lateCopy{text, nameOf(r)}
		}
	}
}

// lateCopy is the second copy of an answer that is still to be sent. The zero lateCopy is none.
type lateCopy struct {
	// text is the answer, and to names the request that it answers.
	text, to string
}

// nameOf names a request in the record.
func nameOf(r *http.Request) string {
	if r.URL.Path == healthPath {
		return "a health check"
	}
	return r.Header.Get("Attempt-Id")
}

// sendLate sends the second copy of an earlier answer if there is one.
func (s *server) sendLate(c net.Conn, late *lateCopy, request string) {
	if late.text == "" {
		return
	}
	status, _, _ := strings.Cut(late.text, "\r\n")
	s.count("late copies")
	s.record.add("server %s works on %s and sends on its channel a second copy of the answer to %s (%s)", s.id, request, late.to, status)
	_, _ = io.WriteString(c, late.text) // the answer fails as well if the channel has ended
	*late = lateCopy{}
}

// handle answers a request; last reports whether the channel ends with the answer. late is an answer of
// which a second copy is to be sent.
func (s *server) handle(r *http.Request, c net.Conn, late *lateCopy) (text string, last bool) {
	id := r.Header.Get("Attempt-Id")
	isHealth := r.URL.Path == healthPath
	if want := r.Header.Get("Expect-Instance"); !isHealth && want != "" && want != s.id {
		return s.answer(http.StatusMisdirectedRequest, id, "Instance-Id: "+s.id+"\r\n", ""), false
	}
	if !s.takeSlot() {
		s.count("rejected")
		if isHealth {
			s.count("health checks rejected")
			s.record.add("server %s is full and rejects a health check", s.id)
		} else {
			s.record.add("server %s is full and rejects %s", s.id, id)
		}
		return s.answer(http.StatusServiceUnavailable, id, "Not-Executed: 1\r\n", ""), false
	}
	defer s.freeSlot()
	if isHealth {
		s.sendLate(c, late, nameOf(r))
		s.count("health checks answered")
		return s.answer(http.StatusOK, "", "Instance-Id: "+s.id+"\r\n", ""), false
	}
	s.mu.Lock()
	s.runs = append(s.runs, serverRun{id, time.Now(), r.URL.Path})
	s.mu.Unlock()
	s.record.add("server %s runs %s", s.id, id)
	s.sendLate(c, late, id)
	time.Sleep(s.work)
	body := strings.Repeat("answer to "+id+" ", 20)
	signature := "Server-Signature: sig-" + s.id + "-" + id + "\r\n"
	if rand.Float64() < s.unframed {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n%s%s\r\n%s", id, signature, s.load(), body), true
	}
	return s.answer(http.StatusOK, id, signature, body), false
}

// answer returns an answer with a length.
func (s *server) answer(status int, id, headers, body string) string {
	if id != "" {
		headers += "Attempt-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, s.load(), len(body), body)
}

// load returns the header that tells the server's load.
func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("Server-Load: %d,%d,%d\r\n", len(s.slot), s.waiting, s.slots)
}

// takeSlot waits for a slot. It returns false if the queue is full.
func (s *server) takeSlot() bool {
	select {
	case s.slot <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.slot <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return true
}

func (s *server) freeSlot() { <-s.slot }

// runsOf returns how often the servers ran each request.
func runsOf(servers []*server) map[string]int {
	runs := make(map[string]int)
	for _, s := range servers {
		s.mu.Lock()
		for _, r := range s.runs {
			runs[r.id]++
		}
		s.mu.Unlock()
	}
	return runs
}

// countsOf sums up the counts of the servers.
func countsOf(servers []*server) map[string]int {
	sum := make(map[string]int)
	for _, s := range servers {
		s.mu.Lock()
		for what, n := range s.counts {
			sum[what] += n
		}
		s.mu.Unlock()
	}
	return sum
}
