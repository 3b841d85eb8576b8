package relay

import (
	"io"
	"net/http"
	"time"

	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/memory"
)

const (
	// maxAnswerBytes limits the size of a buffered answer.
	maxAnswerBytes = 8 << 20
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
	// freeBufferBytes is the part of a request's buffers that counts against no limit, so that usual
	// answers are served while others fill the shared part.
	freeBufferBytes = 64 << 10
	// maxSharedBytes limits what the buffers of all requests take beyond that.
	maxSharedBytes = maxAnswerBytes
	// memoryWait is how long an answer waits for memory of the shared part, at least, in all its parts
	// together; memoryPoll is how often it looks.
	memoryWait = 500 * time.Millisecond
	memoryPoll = 5 * time.Millisecond
	// minSegment is the least memory that is taken before its bytes have come; memory.SegmentBytes is the most.
	minSegment = 512
)

// reserve accounts for n more bytes of buffers. If all requests together would take more than allowed,
// it waits, as others end soon; the error after that is a link.ErrTooLarge. Requests wait for different
// times: two that wait for each other must not both give up. An answer without end, which gets a little
// memory at a time, must not go on until the deadline.
func (x *attempt) reserve(n int64, part string) error {
	if x.tryReserve(n) {
		return nil
	}
	start := time.Now()
	defer func() { x.memoryWaited += time.Since(start) }()
	for end := start.Add(admit.Jitter(x.callerHeaders.ID, memoryWait) - x.memoryWaited); !x.tryReserve(n); {
		if time.Now().After(end) || !clock.Sleep(x.ctx, memoryPoll) {
			return link.ErrTooLarge{Part: part, Limit: maxSharedBytes}
		}
	}
	return nil
}

// tryReserve is like reserve, but does not wait.
func (q *request) tryReserve(n int64) bool {
	q.bufferMu.Lock()
	defer q.bufferMu.Unlock()
	shared := max(q.buffered+n-freeBufferBytes, 0) - max(q.buffered-freeBufferBytes, 0)
	if q.sharedBytes.Add(shared) > maxSharedBytes && shared > 0 {
		q.sharedBytes.Add(-shared)
		return false
	}
	q.buffered += n
	return true
}

// release ends the accounting for n bytes of buffers.
func (q *request) release(n int64) {
	q.bufferMu.Lock()
	defer q.bufferMu.Unlock()
	shared := max(q.buffered-freeBufferBytes, 0) - max(q.buffered-n-freeBufferBytes, 0)
	q.buffered -= n
	if q.sharedBytes.Add(-shared) == 0 && shared > 0 {
		time.AfterFunc(memory.SegmentTTL, q.freeSegments)
	}
}

// readAnswer reads an answer in segments, so that memory is taken only for bytes that have come. The
// error is a link.ErrTooLarge if a limit is exceeded.
func (x *attempt) readAnswer(a *link.Response) (*bufferedAnswer, error) {
	answer := &bufferedAnswer{status: a.Status, header: a.Header}
	err := x.readSegments(a, answer)
	if err != nil {
		x.dropAnswer(answer)
		x.release(answer.reserved)
		return nil, err
	}
	return answer, nil
}

func (x *attempt) readSegments(a *link.Response, answer *bufferedAnswer) error {
	size := min(max(a.Length, minSegment), memory.SegmentBytes)
	for total := int64(0); ; size = memory.SegmentBytes {
		if err := x.reserve(size, "body"); err != nil {
			return err
		}
		answer.reserved += size
		segment := x.segments.Get(size)
		n, err := io.ReadFull(a, segment)
		answer.segments = append(answer.segments, segment[:n])
		total += int64(n)
		switch {
		case total > maxAnswerBytes:
			return link.ErrTooLarge{Part: "body", Limit: maxAnswerBytes}
		case a.IsComplete():
			return nil
		case err != nil:
			return err
		}
	}
}

// dropAnswer keeps the segments of an answer for the next ones. The answer must not be used after that.
func (e *Relay) dropAnswer(a *bufferedAnswer) {
	e.segments.Put(a.segments)
	e.segments.Trim(maxSharedBytes)
	a.segments = nil
}

// freeSegments frees the unused segments if no request takes more than its free part.
func (e *Relay) freeSegments() {
	if e.sharedBytes.Load() == 0 {
		e.segments.Trim(0)
	}
}

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status   int
	header   http.Header
	segments [][]byte
	// reserved is the memory that is accounted for the answer.
	reserved int64
}

func (a *bufferedAnswer) length() int {
	n := 0
	for _, s := range a.segments {
		n += len(s)
	}
	return n
}
