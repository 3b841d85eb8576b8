package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	extraServers = 4
	extraFaulty  = 2
	extraCallers = 12
	// extraEvery is the part of a faulty server's answers that have additional bytes: less than 3 in 100.
	extraEvery = 34
	extraFrom  = 2 * time.Second
	extraFor   = 5 * time.Second
	extraTime  = 9 * time.Second
	extraWork  = 20 * time.Millisecond
)

// playExtraRejection plays unsafe requests while two of four servers send, after some of their complete answers,
// additional bytes that read as a rejection, at the point where the next response is expected.
func playExtraRejection(l *lab) (bool, error) {
	const service = "huvo11a"
	var servers []*server
	begin := time.Now().Add(calm)
	for i := range extraServers {
		s, err := l.newServer(fmt.Sprintf("i-%d", i), 8*time.Second)
		if err != nil {
			return false, err
		}
		f := &extraServer{server: s, faulty: l.trouble && i < extraFaulty, from: begin.Add(extraFrom)}
		s.answer = f.answer
		servers = append(servers, s)
		l.list(s, service, 6)
		go s.run()
	}
	l.publish(service, 110, route{Name: "confirm", Prefix: "/puxa403/", Type: "unsafe", TimeoutMs: 1500, LatencyMs: 150, Priority: 1, MaxAttempts: 1})
	if err := l.startEntries(2); err != nil {
		return false, err
	}
	replies := l.callAll("c", extraCallers, begin.Add(extraTime), request{http.MethodPost, "/puxa403/2f", 1500 * time.Millisecond, []byte("confirm bay four")}, 80*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	found := l.countTwice(replies, servers)
	if found.ok < len(replies)/2 {
		return false, fmt.Errorf("only %d of %d requests were served", found.ok, len(replies))
	}
	return found.twice+found.refused > 0, nil
}

// outcomes counts unsafe requests.
type outcomes struct {
	// ok were answered with 200, twice have run more than once, and refused were answered with a status that says that
	// they have not run, and have.
	ok, twice, refused int
}

// countTwice counts the outcomes of unsafe requests.
func (l *lab) countTwice(replies []reply, servers []*server) (o outcomes) {
	for _, a := range replies {
		runs := 0
		for _, s := range servers {
			runs += s.runsOf(a.id)
		}
		if a.status == http.StatusOK {
			o.ok++
		}
		if runs > 1 {
			o.twice++
			l.note("TWICE: %s has run %d times", a.id, runs)
		}
		if runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			o.refused++
			l.note("REFUSED: %s was answered %d and has run", a.id, a.status)
		}
	}
	l.note("%d requests, %d served, %d ran twice, %d refused and run", len(replies), o.ok, o.twice, o.refused)
	return o
}

// callAll lets callers send a request again and again, with a pause, until a time.
func (l *lab) callAll(name string, n int, until time.Time, r request, pause time.Duration) []reply {
	var mu sync.Mutex
	var all []reply
	var wg sync.WaitGroup
	for i := range n {
		c := &caller{lab: l, name: fmt.Sprintf("%s%d", name, i), to: l.entries[i%len(l.entries)]}
		wg.Go(func() {
			defer c.close()
			for time.Now().Before(until) {
				a := c.do(r)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return all
}

type extraServer struct {
	*server
	faulty bool
	from   time.Time

	mu       sync.Mutex
	answered int
}

func (s *extraServer) answer(c *channel, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	s.begin(r)
	if c.late != "" {
		s.lab.note("%s sends additional bytes after its answer before, as %s is there", s.id, r.Header.Get("Attempt-Id"))
		_ = c.write("%s", c.late)
		c.late = ""
	}
	time.Sleep(extraWork)
	const text = "confirmed"
	ok := c.write("%sContent-Length: %d\r\n\r\n%s", s.head(r), len(text), text)
	if ok {
		s.end(r)
	}
	if s.isExtra() {
		c.late = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	return ok
}

func (s *extraServer) isExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered++
	since := time.Since(s.from)
	return s.faulty && s.answered%extraEvery == 0 && since > 0 && since < extraFor
}
