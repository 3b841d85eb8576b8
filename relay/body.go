package relay

import (
	"net/http"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/memory"
)

const (
	// defaultMaxBodyBytes limits the size of a body if the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// freeHeaderBytes is the size up to which headers count as a part of their connection.
	freeHeaderBytes = 4 << 10
	// minMemoryRetryAfter and maxMemoryRetryAfter bound the Retry-After of a request that found no memory.
	minMemoryRetryAfter = 100 * time.Millisecond
	maxMemoryRetryAfter = 2 * time.Second
)

// bodies returns the ledger of callers' bodies.
func (e *Relay) bodies() *memory.Ledger {
	if e.Bodies != nil {
		return e.Bodies
	}
	return &e.defaultBodies
}

// readBody reads the caller's body. If there is no memory for it, the request is refused at once.
func (q *request) readBody(maxBytes int64) *refusal {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	u := q.startUpload(false)
	body, err := q.bodies().Read(u, q.r.ContentLength, maxBytes)
	inTime := u.stop()
	q.bodyBegun = u.received.Load() > 0
	if err == nil && !inTime {
		body.Release()
	}
	switch {
	case memory.IsErrTooLong(err):
		return &refusal{http.StatusRequestEntityTooLarge, chestnutstep.ReasonLarge, 0}
	case memory.IsErrNoRoom(err):
		return q.refuseMemory()
	case !inTime:
		return &refusal{http.StatusRequestTimeout, chestnutstep.ReasonTimeout, 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, chestnutstep.ReasonShort, 0}
	}
	q.body = body
	q.content = q.fingerprint()
	return nil
}

// reserveHeaders accounts for headers of the given size, unless they are short, and reports whether there is
// room for them. They are held twice while the request is sent: as read and as sent.
func (q *request) reserveHeaders(size int) bool {
	n := 2 * int64(size)
	if size <= freeHeaderBytes {
		return true
	}
	if !q.bodies().Take(n, false) {
		return false
	}
	q.headerMemory = n
	return true
}

// releaseMemory ends the use of the headers and the body by this request.
func (q *request) releaseMemory() {
	if q.headerMemory > 0 {
		q.bodies().Return(q.headerMemory, false)
	}
	if q.body.IsLarge() {
		q.holdTime.add(time.Since(q.startedAt))
	}
	q.body.Release()
	q.headerMemory, q.body = 0, nil
}

// refuseMemory returns the refusal of a request for which there is no memory.
func (q *request) refuseMemory() *refusal {
	workspace := ""
	if q.workspace != nil {
		workspace = q.workspace.Name
	}
	q.Meters.Refused.Add(1, workspace, string(chestnutstep.ReasonMemory))
	return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonMemory, q.memoryRetryAfter()}
}

// memoryRetryAfter returns the time after which the bodies that take the memory now are gone.
func (q *request) memoryRetryAfter() time.Duration {
	hold := min(max(q.holdTime.mean(), minMemoryRetryAfter), maxMemoryRetryAfter)
	return admit.Jitter(q.callerHeaders.ID, hold)
}

// refuseUnread refuses a request whose body may not have been read. The refusal is sent before the rest of
// the body has come; the rest is then discarded, because a connection that is closed with unread bytes is
// reset, and the caller would lose the refusal.
func (q *request) refuseUnread(f refusal) {
	rc := http.NewResponseController(q.w)
	if !q.canDiscard(f.status) || rc.EnableFullDuplex() != nil {
		q.refuse(f)
		return
	}
	q.refuse(f)
	if rc.Flush() != nil {
		return // the caller has left
	}
	u := q.startUpload(true)
	defer u.stop()
	q.r.Header = nil // so that its memory can be used while the rest comes
	q.releaseMemory()
	u.discard(maxDiscardBytes) // net/http closes the connection unless the body has ended
}

// canDiscard reports whether the rest of a body that is refused with this status may still come, and is not
// too long.
func (q *request) canDiscard(status int) bool {
	isBroken := status == http.StatusRequestTimeout || status == http.StatusBadRequest && q.bodyBegun
	return q.r.ContentLength != 0 && q.r.ContentLength <= maxDiscardBytes && !isBroken
}

// averageDuration is a moving average of durations. It is safe for concurrent use; the zero value has no
// duration yet.
type averageDuration struct{ ns atomic.Int64 }

// averageWeight is the number of durations that make up most of an averageDuration.
const averageWeight = 8

func (a *averageDuration) add(d time.Duration) {
	for {
		before := a.ns.Load()
		after := before + (int64(d)-before)/averageWeight
		if before == 0 {
			after = int64(d)
		}
		if a.ns.CompareAndSwap(before, after) {
			return
		}
	}
}

func (a *averageDuration) mean() time.Duration { return time.Duration(a.ns.Load()) }
