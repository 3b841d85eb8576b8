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
	// maxHeadBytes is the number of bytes of a request that are examined.
	maxHeadBytes = 4 << 10
	// minShedRetryAfter and maxShedRetryAfter bound the Retry-After of a rejection.
	minShedRetryAfter = 100 * time.Millisecond
	maxShedRetryAfter = 4 * time.Second
	// shedAnswerCount is the number of prepared answers, each with a different Retry-After.
	// shedRetrySpread is the ratio of the longest to the shortest time in the range from which one
	// is drawn.
	shedAnswerCount = 64
	shedRetrySpread = 3.0
	// rejectThreshold is the reject ratio from which requests are rejected. Below it, rejections
	// cost more than they save, because callers return on new connections.
	rejectThreshold = 0.5
	// maxShedLogged limits the rejections that are logged between two observations.
	maxShedLogged = 2
)

// Shedder rejects requests unread while the entry's processor is overloaded. A rejection closes the
// connection and costs a fraction of parsing a request. Set the fields before use.
type Shedder struct {
	Relay *Relay

	// isShedding reports whether requests are being rejected.
	isShedding atomic.Bool
	mu         sync.Mutex
	shedder    admit.LoadShedder
	// answers are the prepared rejections, sorted by Retry-After.
	answers [][]byte
	// rejected counts the rejections since the last observation.
	rejected int
	logged   int
}

// Observe records the typical scheduling delay of work that is ready to run. It returns the number
// of requests rejected since the last call, and the current reject ratio.
func (s *Shedder) Observe(now clock.Stamp, delay time.Duration) (rejected int, ratio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rejected = s.rejected
	s.rejected, s.logged = 0, 0
	s.shedder.Observe(now, delay)
	s.isShedding.Store(s.shedder.RejectRatio() >= rejectThreshold)
	return rejected, s.shedder.RejectRatio()
}

// isActive reports whether requests are being rejected.
func (s *Shedder) isActive() bool { return s.isShedding.Load() }

// rejection decides on a request by its first bytes, and returns the answer if the request is
// rejected, else nil.
func (s *Shedder) rejection(head []byte) []byte {
	id, key := s.Relay.Codec.Peek(head)
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

// workspaceOf returns the name of the workspace that has the key. All unknown keys count as one
// workspace with an empty name.
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

// pickAnswer returns a prepared rejection. The higher the reject ratio, the longer its Retry-After.
// The times are spread at random so that callers don't return at the same time. The caller must
// hold the lock.
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
	s.Relay.Codec.SetRetryAfter(h, after)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	_ = h.Write(&b) // a bytes.Buffer never returns an error
	b.WriteString("\r\n")
	return b.Bytes()
}
