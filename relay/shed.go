package relay

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
)

const (
	// headMost is how many bytes of a request are looked at.
	headMost = 4 << 10
	// shedBackLeast and shedBackMost bound the time after which a caller may come back.
	shedBackLeast = 100 * time.Millisecond
	shedBackMost  = 4 * time.Second
	// shedAnswers is how many answers with different times are kept ready, and shedSpread
	// the ratio of the longest time to the shortest among which one is drawn.
	shedAnswers = 64
	shedSpread  = 3.0
	// siftPart is the part from which on requests are refused. Below it refusals cost more
	// than they save: callers come back on new connections.
	siftPart = 0.5
	// shedLogged bounds the requests that are logged between two observations.
	shedLogged = 2
)

// Shedder refuses requests unread while the entry's processor is full. A refusal costs a
// fraction of a request that is parsed, and its connection is closed. Set the fields before
// use.
type Shedder struct {
	Relay *Relay

	// full reports whether requests are refused.
	full    atomic.Bool
	mu      sync.Mutex
	shedder admit.LoadShedder
	// answers are refusals that are ready to be sent.
	answers [][]byte
	// refused counts since the last observation.
	refused int
	logged  int
}

// Observe takes the usual delay of work that was ready to run, and reports how many requests
// were refused since the last time.
func (s *Shedder) Observe(now clock.Stamp, delay time.Duration) (refused int, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused = s.refused
	s.refused, s.logged = 0, 0
	s.shedder.Observe(now, delay)
	s.full.Store(s.shedder.RejectRatio() >= siftPart)
	return refused, s.shedder.RejectRatio()
}

// active reports whether requests are refused.
func (s *Shedder) active() bool { return s.full.Load() }

// refuse decides on a request by its first bytes. Where it is refused, it returns the answer.
func (s *Shedder) refuse(head []byte) []byte {
	id, key := s.Relay.Wire.Peek(head)
	workspace := s.workspace(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shedder.Refuse(clock.Now(), workspace) {
		return nil
	}
	s.refused++
	if s.logged < shedLogged {
		s.logged++
		s.Relay.Log.Emit(event.RelayShed, event.Str("request", id), event.Str("workspace", workspace),
			event.Float("part", s.shedder.RejectRatio()))
	}
	s.Relay.Meters.Refused.Add(1, workspace, string(chestnutstep.ReasonBusy))
	return s.answer()
}

// workspace names who holds a key; unknown keys count as one.
func (s *Shedder) workspace(key string) string {
	v := s.Relay.Roster.View()
	if v == nil {
		return ""
	}
	if c := v.Routing.WorkspaceByKey(key); c != nil {
		return c.Name
	}
	return ""
}

// answer returns a refusal. The less is taken, the later callers may come back; the times are
// spread, so that they don't return together. The caller holds the lock.
func (s *Shedder) answer() []byte {
	const step = (shedBackMost - shedBackLeast) / (shedAnswers - 1)
	if s.answers == nil {
		for i := range time.Duration(shedAnswers) {
			s.answers = append(s.answers, s.format(shedBackLeast+i*step))
		}
	}
	least := shedBackLeast.Seconds() / (1 - s.shedder.RejectRatio())
	after := time.Duration(least * (1 + (shedSpread-1)*rand.Float64()) * float64(time.Second))
	i := (min(max(after, shedBackLeast), shedBackMost) - shedBackLeast) / step
	return s.answers[i]
}

func (s *Shedder) format(after time.Duration) []byte {
	h := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	s.Relay.Wire.SetRetryAfter(h, after)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	_ = h.Write(&b) // a bytes.Buffer takes all
	b.WriteString("\r\n")
	return b.Bytes()
}
