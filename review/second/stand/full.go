package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	fullServers = 4
	// fullSlots is the number of requests that a server runs at once. Further ones, and health checks, wait for a slot.
	fullSlots = 64
	// fullCallers are a load that the servers just carry. At fullBurst, and again fullGap after that, there are fullMore besides
	// for fullBurstFor: 1.7 times as many.
	fullCallers  = 240
	fullMore     = 168
	fullTime     = 15 * time.Second
	fullBurst    = 3 * time.Second
	fullBurstFor = 3 * time.Second
	// In each burst a server crashes, fullCrash after its begin, and is back after fullDown.
	fullCrash    = 2 * time.Second
	fullGap      = 6 * time.Second
	fullCrashes  = 2
	fullDown     = 2 * time.Second
	fullEvents   = 40
	fullInterval = 50 * time.Millisecond
	fullRetry    = 200 * time.Millisecond
)

// playFullServers plays streams whose answers have no length, at servers whose slots are taken, two of which crash.
func playFullServers(l *lab) (bool, error) {
	const service = "huvo11a"
	var servers []*serverProcess
	for i := range fullServers {
		s, err := l.startServer(fmt.Sprintf("i-%d", i), anyPort, fullSlots)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		l.listAt(s.id, s.address, service, fullSlots)
	}
	l.publish(service, 370, route{Name: "question", Prefix: "/lohu930/", Type: "stream", TimeoutMs: 10000, LatencyMs: 800, MaxAttempts: 1, GapMs: 300})
	if err := l.startEntries(2); err != nil {
		return false, err
	}
	begin := time.Now()
	var wg sync.WaitGroup
	if l.trouble {
		wg.Go(func() { l.crashInTurn(service, servers[:fullCrashes]) })
	}
	question := request{http.MethodPost, "/lohu930/2f", 10 * time.Second, []byte("question")}
	var more []reply
	wg.Go(func() {
		for i := range fullCrashes {
			at := begin.Add(fullBurst + time.Duration(i)*fullGap)
			time.Sleep(time.Until(at))
			l.note("%d more clients for %v", fullMore, fullBurstFor)
			more = append(more, l.callAll(fmt.Sprintf("b%d-", i), fullMore, at.Add(fullBurstFor), question, fullRetry)...)
		}
	})
	replies := l.callAll("c", fullCallers, begin.Add(fullTime), question, fullRetry)
	wg.Wait()
	replies = append(replies, more...)
	return l.judgeStreams(replies, fullEvents)
}

// crashInTurn lets servers crash one after the other. Each is back after a while under its id and at its address.
func (l *lab) crashInTurn(service string, servers []*serverProcess) {
	time.Sleep(fullBurst + fullCrash)
	for _, s := range servers {
		l.note("%s crashes", s.id)
		s.crash()
		time.Sleep(fullDown)
		if _, err := l.startServer(s.id, s.address, fullSlots); err != nil {
			l.note("%s does not come back: %v", s.id, err)
			return
		}
		l.listBorn(s.id, s.address, service, fullSlots, time.Now())
		time.Sleep(fullGap - fullDown)
	}
}

// judgeStreams reports whether a stream has ended as complete before its last piece.
func (l *lab) judgeStreams(replies []reply, events int) (bool, error) {
	whole, short := 0, 0
	for _, a := range replies {
		pieces := strings.Count(a.body, "data: piece")
		switch {
		case a.status != http.StatusOK || !a.complete:
		case pieces < events:
			short++
			l.note("ORDER: the stream of %s has ended as complete after %d of %d pieces", a.id, pieces, events)
		default:
			whole++
		}
	}
	l.note("%d streams, %d whole, %d have ended as complete before their last piece", len(replies), whole, short)
	if whole == 0 {
		return false, fmt.Errorf("none of %d streams was whole", len(replies))
	}
	return short > 0, nil
}

// slots are the places of a server, or nil for as many as are asked for.
type slots chan struct{}

// take waits for a slot. It reports whether there was one before the caller left.
func (s slots) take(ctx context.Context) bool {
	if s == nil {
		return true
	}
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s slots) release() {
	if s != nil {
		<-s
	}
}

// streamInSlot answers with events in a slot, and ends the answer with the channel.
func (s *server) streamInSlot(c *channel, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	ctx, cancel := c.whileOpen()
	defer cancel()
	if !s.slots.take(ctx) {
		return false
	}
	defer s.slots.release()
	s.begin(r)
	if !c.write("%sContent-Type: text/event-stream\r\n\r\n", s.head(r)) {
		return false
	}
	for n := 1; n <= fullEvents; n++ {
		if !c.write("id: %d\ndata: piece %d\n\n", n, n) {
			return false
		}
		time.Sleep(fullInterval)
	}
	s.end(r)
	return false
}
