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
	// maxHeadBytes is how many bytes of a request are looked at.
	maxHeadBytes = 4 << 10
	// minShedRetryAfter and shedBackMost bound the time after which a caller may come back.
	minShedRetryAfter = 100 * time.Millisecond
	maxShedRetryAfter = 4 * time.Second
	// shedAnswerCount is how many answers with different times are kept ready, and shedSpread
	// the ratio of the longest time to the shortest among which one is drawn.
	shedAnswerCount = 64
	shedRetrySpread = 3.0
	// rejectThreshold is the part from which on requests are refused. Below it refusals cost more
	// than they save: callers come back on new connections.
	rejectThreshold = 0.5
	// maxShedLogged bounds the requests that are logged between two observations.
	maxShedLogged = 2
)

// Shedder refuses requests unread while the entry's processor is full. A refusal costs a
// fraction of a request that is parsed, and its connection is closed. Set the fields before
// use.
type Shedder struct {
	Relay *Relay

	// isShedding reports whether requests are refused.
	isShedding atomic.Bool
	mu         sync.Mutex
	shedder    admit.LoadShedder
	// answers are refusals that are ready to be sent.
	answers [][]byte
	// rejected counts since the last observation.
	rejected int
	logged   int
}

// Observe takes the usual delay of work that was ready to run, and reports how many requests
// were refused since the last time.
func (s *Shedder) Observe(now clock.Stamp, delay time.Duration) (rejected int, ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rejected = s.rejected
	s.rejected, s.logged = 0, 0
	s.shedder.Observe(now, delay)
	s.isShedding.Store(s.shedder.RejectRatio() >= rejectThreshold)
	return rejected, s.shedder.RejectRatio()
}

// isActive reports whether requests are refused.
func (s *Shedder) isActive() bool { return s.isShedding.Load() }

// rejection decides on a request by its first bytes. Where it is refused, it returns the answer.
func (s *Shedder) rejection(head []byte) []byte {
	id, key := s.Relay.Wire.Peek(head)
	workspace := s.workspaceOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.shedder.ShouldReject(clock.Now(), workspace) {
		return nil
	}
	s.rejected++
	if s.logged < maxShedLogged {
		s.logged++
		s.Relay.Log.Emit(event.RelayShed, event.Str("request", id), event.Str("workspace", workspace),
			event.Float("part", s.shedder.RejectRatio()))
	}
	s.Relay.Meters.Refused.Add(1, workspace, string(chestnutstep.ReasonBusy))
	return s.pickAnswer()
}

// workspaceOf names who holds a key; unknown keys count as one.
func (s *Shedder) workspaceOf(key string) string {
	v := s.Relay.Roster.View()
	if v == nil {
		return ""
	}
	if c := v.Routing.WorkspaceByKey(key); c != nil {
		return c.Name
	}
	return ""
}

// pickAnswer returns a refusal. The less is taken, the later callers may come back; the times are
// spread, so that they don't return together. The caller holds the lock.
func (s *Shedder) pickAnswer() []byte {
	const step = (maxShedRetryAfter - minShedRetryAfter) / (shedAnswerCount - 1)
	if s.answers == nil {
		for i := range time.Duration(shedAnswerCount) {
			s.answers = append(s.answers, s.formatAnswer(minShedRetryAfter+i*step))
		}
	}
	minAfter := minShedRetryAfter.Seconds() / (1 - s.shedder.RejectRatio())
	after := time.Duration(minAfter * (1 + (shedRetrySpread-1)*rand.Float64()) * float64(time.Second))
	i := (min(max(after, minShedRetryAfter), maxShedRetryAfter) - minShedRetryAfter) / step
	return s.answers[i]
}

func (s *Shedder) formatAnswer(after time.Duration) []byte {
	h := http.Header{"Connection": {"close"}, "Content-Length": {"0"}}
	s.Relay.Wire.SetRetryAfter(h, after)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	_ = h.Write(&b) // a bytes.Buffer takes all
	b.WriteString("\r\n")
	return b.Bytes()
}
