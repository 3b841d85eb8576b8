package relay

import (
	"io"
	"net/http"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/link"
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
	// minSegment and maxSegment bound the memory that is taken before its bytes have come.
	minSegment = 512
	maxSegment = 32 << 10
	// segmentTTL is how long unused segments are kept.
	segmentTTL = time.Second
)

// reserve accounts for n more bytes of buffers. The error is a link.ErrTooLarge if all requests
// together would take more than allowed.
func (q *request) reserve(n int64, part string) error {
	shared := max(q.buffered+n-freeBufferBytes, 0) - max(q.buffered-freeBufferBytes, 0)
	if q.sharedBytes.Add(shared) > maxSharedBytes && shared > 0 {
		q.sharedBytes.Add(-shared)
		return link.ErrTooLarge{Part: part, Limit: maxSharedBytes}
	}
	q.buffered += n
	return nil
}

// release ends the accounting for n bytes of buffers.
func (q *request) release(n int64) {
	shared := max(q.buffered-freeBufferBytes, 0) - max(q.buffered-n-freeBufferBytes, 0)
	q.buffered -= n
	if q.sharedBytes.Add(-shared) == 0 && shared > 0 {
		time.AfterFunc(segmentTTL, q.freeSegments)
	}
}

// readAnswer reads an answer in segments, so that memory is taken only for bytes that have come. The
// error is a link.ErrTooLarge if a limit is exceeded.
func (q *request) readAnswer(a *link.Response) (*bufferedAnswer, error) {
	answer := &bufferedAnswer{status: a.Status, header: a.Header}
	before := q.buffered
	err := q.readSegments(a, answer)
	if err != nil {
		q.segments.put(answer)
		q.release(q.buffered - before)
		return nil, err
	}
	return answer, nil
}

func (q *request) readSegments(a *link.Response, answer *bufferedAnswer) error {
	size := min(max(a.Length, minSegment), maxSegment)
	for total := int64(0); ; size = maxSegment {
		if err := q.reserve(size, "body"); err != nil {
			return err
		}
		segment := q.segments.get(size)
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

// segmentList keeps segments of maxSegment bytes for reuse: as garbage, those of oversized answers would
// take as much memory again.
type segmentList struct {
	mu   sync.Mutex
	list [][]byte
}

// get returns a segment of a size up to maxSegment.
func (l *segmentList) get(size int64) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.list) - 1
	if size < maxSegment || last < 0 {
		return make([]byte, size)
	}
	segment := l.list[last]
	l.list = l.list[:last]
	return segment
}

// put returns the segments of an answer, which must not be used after that.
func (l *segmentList) put(a *bufferedAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range a.segments {
		if cap(s) == maxSegment && len(l.list) < maxSharedBytes/maxSegment {
			l.list = append(l.list, s[:maxSegment])
		}
	}
	a.segments = nil
}

// freeSegments frees the unused segments if no request takes more than its free part.
func (e *Relay) freeSegments() {
	if e.sharedBytes.Load() > 0 {
		return
	}
	e.segments.mu.Lock()
	defer e.segments.mu.Unlock()
	e.segments.list = nil
}

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status   int
	header   http.Header
	segments [][]byte
}

func (a *bufferedAnswer) length() int {
	n := 0
	for _, s := range a.segments {
		n += len(s)
	}
	return n
}
