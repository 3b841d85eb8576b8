package relay

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// discardBytes is the size of the buffer into which unused bytes are read.
	discardBytes = 16 << 10
	// slowGrace is how long a body may come at any rate.
	slowGrace = 2 * time.Second
	// paceInterval is how often the rate of a body is checked after that.
	paceInterval = 500 * time.Millisecond
	// maxDiscardBytes limits how much is read of a body that is not used, before its connection is closed.
	maxDiscardBytes = 2 * defaultMaxBodyBytes
	// discardTimeout limits the reading of a body that is not used, if the request has no deadline yet.
	discardTimeout = 10 * time.Second
	// expectTimeout is the same if the caller waits for permission to send the body: it is expected to close
	// the connection instead.
	expectTimeout = time.Second
)

// upload reads the body of a request until its deadline. While memory is short, it also ends a body that
// comes so slowly that it would not be complete by then, because that takes the memory of others in vain.
type upload struct {
	*request
	deadline time.Time
	// unused reports whether the bytes are discarded; they take no memory then.
	unused   bool
	received atomic.Int64

	mu            sync.Mutex
	timer         *time.Timer
	ended, isLate bool
}

// startUpload starts to read the body, or to discard it; stop must be called.
func (q *request) startUpload(unused bool) *upload {
	u := &upload{request: q, deadline: q.deadline, unused: unused}
	if u.deadline.IsZero() {
		u.deadline = time.Now().Add(discardTimeout)
	}
	if unused && q.r.Header.Get("Expect") != "" && !q.bodyBegun {
		u.deadline = time.Now().Add(expectTimeout)
	}
	if q.r.ContentLength != 0 {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.timer = time.AfterFunc(u.untilCheck(slowGrace), u.check)
	}
	return u
}

// untilCheck returns the time until the next check: d, unless the deadline is before that.
func (u *upload) untilCheck(d time.Duration) time.Duration {
	return max(min(d, time.Until(u.deadline)), time.Millisecond)
}

// stop ends the reading and reports whether it was in time. No deadline is left at the connection then.
func (u *upload) stop() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	if u.timer != nil {
		u.timer.Stop()
	}
	return !u.isLate
}

// check runs on the timer, never concurrently with itself. A read in progress ends if the body is late.
func (u *upload) check() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended {
		return
	}
	if now := time.Now(); now.Before(u.deadline) && !u.isTooSlow(now) {
		u.timer.Reset(u.untilCheck(paceInterval))
		return
	}
	u.isLate = true
	_ = http.NewResponseController(u.w).SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// isTooSlow reports whether the body, at its rate so far, would not be complete by the deadline, and
// memory is short.
func (u *upload) isTooSlow(now time.Time) bool {
	length := u.r.ContentLength
	if u.unused || length <= 0 || !u.bodies().Use().IsShort() {
		return false
	}
	elapsed, allowed := now.Sub(u.startedAt), u.deadline.Sub(u.startedAt)
	return float64(u.received.Load())/float64(length) < float64(elapsed)/float64(allowed)
}

// Read reads from the body.
func (u *upload) Read(b []byte) (int, error) {
	n, err := u.r.Body.Read(b)
	u.received.Add(int64(n))
	return n, err
}

// discard reads up to limit bytes of the rest of the body, and reports whether it has ended then.
func (u *upload) discard(limit int64) bool {
	size := int64(discardBytes)
	if length := u.r.ContentLength; length > 0 {
		size = min(size, length)
	}
	b := make([]byte, size)
	for u.received.Load() < limit {
		if _, err := u.Read(b); err != nil {
			return err == io.EOF
		}
	}
	return false
}
