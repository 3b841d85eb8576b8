// Package answer keeps the answers of running and finished requests at an
// agent, so that a link which breaks, or a caller's repeat through another
// entry, reads on in the answer of the same run.
//
// A reader gets the whole answer or an error, never a silently short one.
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
	// DefaultWindow is how many bytes a slow reader may lag behind, and how many
	// are always kept behind the slowest reader for a link that breaks with
	// frames on their way. 64 KiB are some 20 seconds of a fast stream, and
	// what HTTP/2 has in flight by default.
	DefaultWindow = 64 << 10
	// DefaultMaxBytes is how many bytes of one answer are kept. A long plan is
	// some tens of KiB; what exceeds 1 MiB is read once and not joined later.
	DefaultMaxBytes = 1 << 20
	// maxPiece bounds what one read returns, so that one frame stays well under
	// the 4 MiB that gRPC takes, and long answers do not hold up short ones.
	maxPiece = 32 << 10
)

// Piece is the next part of an answer; exactly one of Head, Data, Last and
// Broken is set. Data is shared with the log and must not be changed.
type Piece struct {
	Head   *wire.Head
	Data   []byte
	Offset int64
	Last   *wire.Last
	Broken *wire.Broken
}

// Log is the answer of one run. One writer fills it and any number of links
// read it. Set Window and Most before the first call. It is safe for concurrent
// use.
type Log struct {
	// Window is how far a reader may lag behind before Append waits for it;
	// DefaultWindow when 0.
	Window int
	// MaxBytes is how many bytes are kept; DefaultMost when 0. It is at least twice
	// Window.
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
	changed   chan struct{} // closed at the next change; nil when nobody waits

	// Guarded by the store's lock.
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

// SetPreferred keeps the answer longer than others, and longest when bytes are short.
// It is for ticketed requests, as their callers have no other way to learn what
// became of the action.
func (l *Log) SetPreferred() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preferred = true
}

// SetHead notes the start of the answer. Only the first head counts.
func (l *Log) SetHead(h *wire.Head) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.head == nil && !l.isEnded() {
		l.head = h
		l.notifyChange()
	}
}

// Append adds bytes of the body. It waits while the slowest link lags behind by
// a window, which holds the target's connection back, as nothing else would
// bound what a slow caller makes this process keep. Break and the end of the
// slow link let it go on. It returns ErrEnded once the answer is over.
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

// trim drops bytes at the front until no more than keep are left, but never
// those that a link may still read or ask for again.
func (l *Log) trim(keep int) {
	drop := len(l.buf) - keep
	if len(l.readers) > 0 {
		read := l.end() - l.lag() - l.base
		drop = min(drop, int(read)-l.window())
	}
	if drop <= 0 {
		return
	}
	// The bytes are left where they are for readers that hold a piece; the next
	// growth of the buffer leaves them behind.
	l.buf = l.buf[drop:]
	l.base += int64(drop)
	l.addStoreBytes(-drop)
}

func (l *Log) addStoreBytes(n int) {
	if l.store != nil {
		l.store.bytes.Add(int64(n))
	}
}

// Finish ends a whole answer with its total length and checksum.
func (l *Log) Finish(trailers ...*wire.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isEnded() {
		return
	}
	l.last = &wire.Last{Total: l.end(), Sum: l.checksum(), Trailers: trailers}
	l.markEnded()
}

// checksum of all bytes of the body, also of those no longer kept.
func (l *Log) checksum() uint64 {
	if l.sum == nil {
		return xxhash.Sum64(nil)
	}
	return l.sum.Sum64()
}

// Break ends an answer that is not whole. Readers get the bytes up to here and
// then the reason. Only the first end of an answer counts.
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

// Ended says whether the answer is over, whole or broken.
func (l *Log) Ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isEnded()
}

func (l *Log) isEnded() bool { return l.last != nil || l.broken != nil }

// isClosed says that nothing more is written: the answer is over or dropped.
func (l *Log) isClosed() bool { return l.isEnded() || l.evicted }

func (l *Log) end() int64 { return l.base + int64(len(l.buf)) }

// lag is how far the slowest link is behind the end; 0 without links.
func (l *Log) lag() int64 {
	var lag int64
	for _, r := range l.readers {
		lag = max(lag, l.end()-r.offset)
	}
	return lag
}

// notifyChange lets all that wait look again.
func (l *Log) notifyChange() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// changeSignal returns a channel that closes at the next change.
func (l *Log) changeSignal() chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// wait gives the lock up until the next change.
func (l *Log) wait() {
	ch := l.changeSignal()
	l.mu.Unlock()
	<-ch
	l.mu.Lock()
}

// evict drops all bytes. Links that are still reading get ErrGone.
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
