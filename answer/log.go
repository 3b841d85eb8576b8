// Package answer keeps the answers of running and finished requests at an agent, so that a link
// that breaks, or a caller's retry through another entry, continues to read the answer of the same
// run. A reader gets the complete answer or an error, never a truncated answer without an error.
package answer

import (
	"hash"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// DefaultWindow is the default number of bytes that a slow reader can lag behind, and that are
	// kept behind the slowest reader in case a link breaks with frames in transit. 64 KiB are about
	// 20 seconds of a fast stream, and the default amount of data in flight in HTTP/2.
	DefaultWindow = 64 << 10
	// DefaultMaxBytes is the default number of bytes kept of one answer. A long answer takes some
	// tens of KiB; one above 1 MiB can be read once but not joined later from its start.
	DefaultMaxBytes = 1 << 20
	// maxPiece is the maximum size in bytes of one read. It keeps a frame well below gRPC's limit
	// of 4 MiB and prevents long answers from delaying short ones.
	maxPiece = 32 << 10
)

// Piece is the next part of an answer; exactly one of Head, Data, Last and Broken is set. Data is
// shared with the log and must not be modified.
type Piece struct {
	Head   *wire.Head
	Data   []byte
	Offset int64
	Last   *wire.Last
	Broken *wire.Broken
}

// Log is the answer of one run. One writer appends to it and any number of readers read it. Set
// Window and MaxBytes before the first call. It is safe for concurrent use.
type Log struct {
	// Window is the number of bytes that a reader can lag behind before Append waits for it;
	// DefaultWindow if 0.
	Window int
	// MaxBytes is the number of bytes kept; DefaultMaxBytes if 0. It is at least twice Window.
	MaxBytes int

	store *Store

	mu        sync.Mutex
	head      *wire.Head
	buf       []byte
	base      int64 // offset of buf[0]
	sum       hash.Hash64
	last      *wire.Last
	broken    *wire.Broken
	evicted   bool
	preferred bool
	readers   []*Reader
	changed   chan struct{} // closed at the next change; nil if no goroutine waits

	// The fields below are guarded by the store's lock.
	key     key
	seq     uint64
	endedAt time.Time
}

func (l *Log) window() int {
	if l.Window <= 0 {
		return DefaultWindow
	}
	return l.Window
}

func (l *Log) maxBytes() int {
	if l.MaxBytes <= 0 {
		return max(DefaultMaxBytes, 2*l.window())
	}
	return max(l.MaxBytes, 2*l.window())
}

// SetPreferred keeps the answer longer than others, and evicts it last when the store is full. It
// is used for requests with a ticket, as the answer is their callers' only source for the result of
// the action.
func (l *Log) SetPreferred() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preferred = true
}

// SetHead sets the head of the answer. Only the first call has an effect.
func (l *Log) SetHead(h *wire.Head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.head == nil && !l.isEnded() {
		l.head = h
		l.notifyChange()
	}
}

// Append adds bytes of the body. It blocks while the slowest reader lags behind by a window; this
// slows down the target's connection and bounds the memory that a slow caller can use. Break and
// closing the slow reader unblock it. It returns ErrEnded once the answer has ended.
func (l *Log) Append(p []byte) error {
	l.mu.Lock()
	for !l.isClosed() && l.lag() >= int64(l.window()) {
		l.wait()
	}
	if l.isClosed() {
		defer l.mu.Unlock()
		return ErrEnded{Offset: l.end()}
	}
	l.add(p)
	l.mu.Unlock()
	if l.store != nil {
		l.store.reclaim()
	}
	return nil
}

func (l *Log) add(p []byte) {
	if l.sum == nil {
		l.sum = xxhash.New()
	}
	l.sum.Write(p)
	l.buf = append(l.buf, p...)
	l.addStoreBytes(len(p))
	keep := l.maxBytes()
	if l.store != nil && l.store.isOverLimit() {
		keep = 2 * l.window()
	}
	l.trim(keep)
	l.notifyChange()
}

// trim drops bytes at the front until at most keep are left, except those that a reader can still
// read or request again.
func (l *Log) trim(keep int) {
	drop := len(l.buf) - keep
	if len(l.readers) > 0 {
		read := l.end() - l.lag() - l.base
		drop = min(drop, int(read)-l.window())
	}
	if drop <= 0 {
		return
	}
	// The bytes are not moved, because readers may hold a piece; the next growth of the buffer
	// releases them.
	l.buf = l.buf[drop:]
	l.base += int64(drop)
	l.addStoreBytes(-drop)
}

func (l *Log) addStoreBytes(n int) {
	if l.store != nil {
		l.store.bytes.Add(int64(n))
	}
}

// Finish ends a complete answer with its total length and checksum.
func (l *Log) Finish(trailers ...*wire.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isEnded() {
		return
	}
	l.last = &wire.Last{Total: l.end(), Sum: l.checksum(), Trailers: trailers}
	l.markEnded()
}

// checksum returns the checksum of all bytes of the body, including those no longer kept.
func (l *Log) checksum() uint64 {
	if l.sum == nil {
		return xxhash.Sum64(nil)
	}
	return l.sum.Sum64()
}

// Break ends an incomplete answer. Readers get the bytes up to this point and then the reason. Only
// the first call of Finish or Break has an effect.
func (l *Log) Break(reason chestnutstep.Reason, run chestnutstep.RunStatus, retry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isEnded() {
		return
	}
	l.broken = &wire.Broken{Reason: string(reason), Run: string(run), Retry: int64(retry)}
	l.markEnded()
}

func (l *Log) markEnded() {
	l.sum = nil
	if l.store != nil {
		l.store.endedCount.Add(1)
	}
	l.notifyChange()
}

// Ended reports whether the answer has ended, complete or broken.
func (l *Log) Ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isEnded()
}

func (l *Log) isEnded() bool { return l.last != nil || l.broken != nil }

// isClosed reports whether no more bytes can be appended: the answer has ended or was evicted.
func (l *Log) isClosed() bool { return l.isEnded() || l.evicted }

func (l *Log) end() int64 { return l.base + int64(len(l.buf)) }

// lag returns how many bytes the slowest reader is behind the end; 0 without readers.
func (l *Log) lag() int64 {
	var lag int64
	for _, r := range l.readers {
		lag = max(lag, l.end()-r.offset)
	}
	return lag
}

// notifyChange wakes all waiting goroutines.
func (l *Log) notifyChange() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// changeSignal returns a channel that is closed at the next change.
func (l *Log) changeSignal() chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// wait releases the lock until the next change.
func (l *Log) wait() {
	ch := l.changeSignal()
	l.mu.Unlock()
	<-ch
	l.mu.Lock()
}

// evict drops all bytes. Readers that are not done get ErrGone.
func (l *Log) evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addStoreBytes(-len(l.buf))
	l.base = l.end()
	l.buf = nil
	l.evicted = true
	l.notifyChange()
}

func (l *Log) removeReader(r *Reader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.readers, r); i >= 0 {
		l.readers = slices.Delete(l.readers, i, i+1)
		l.notifyChange()
	}
}
