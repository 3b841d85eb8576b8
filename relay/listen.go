package relay

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"runtime"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
)

// Listener takes callers' connections, gives them the idle time in force, and bounds how
// many are held. Set the fields before use.
//
// The load it answers: many callers at once, each on a connection of its own that it
// keeps open behind its request. Held without bound, they take all descriptors of the
// process: it can neither accept callers nor reach targets, and requests that wait to be
// accepted are taken up seconds later, when their callers have left. One notices "too
// many open files", and requests sent on for callers that are gone.
type Listener struct {
	net.Listener
	Relay *Relay
	// MaxConns connections are held, and from half as many on the one that was idle for
	// longest makes place for a new one; 0 for no bound.
	MaxConns int
	// Shedder refuses requests unread while the processor is full; nil for never.
	Shedder *Shedder

	acceptQueue acceptQueue
	// acceptedInRow counts the connections accepted since other work had the processor.
	acceptedInRow int
	// head is what was read of the connection at hand.
	head [maxHeadBytes]byte

	mu        sync.Mutex
	slotFreed *sync.Cond
	openConns int
	// idleConns are connections without a request, the longest idle first.
	idleConns list.List
	closed    bool
}

// Accept returns the next connection, once there is room for it. While requests are refused
// unread, it goes on past the connections of those.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.yield()
		l.waitForSlot()
		if l.Shedder != nil && l.Shedder.isActive() {
			c, pending := l.acceptOrReject()
			if c != nil {
				return c, nil
			}
			if pending {
				continue
			}
		}
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		return l.wrapConn(c, nil), nil
	}
}

// acceptsPerYield is how many connections are accepted in a row.
const acceptsPerYield = 8

// yield lets other work run between rows of connections. While callers wait, accepting never
// blocks, and the runtime would leave it the processor: answers under way stand still, and
// callers who leave are not noticed.
func (l *Listener) yield() {
	if l.acceptedInRow++; l.acceptedInRow >= acceptsPerYield {
		l.acceptedInRow = 0
		runtime.Gosched()
	}
}

// acceptOrReject accepts a connection that waits, and refuses its request or returns it. It reports
// whether one waited. Nothing is built for a request that is refused.
func (l *Listener) acceptOrReject() (c net.Conn, pending bool) {
	fd, ok := acceptNonblock(l.Listener)
	l.acceptQueue.observe(clock.Now(), ok)
	if !ok {
		return nil, false
	}
	head := l.head[:readNonblock(fd, l.head[:])]
	if answer := l.rejection(head); answer != nil {
		rejectFD(fd, answer, len(head) == len(l.head))
		return nil, true
	}
	conn, err := connFromFD(fd)
	if err != nil {
		return nil, true
	}
	return l.wrapConn(conn, bytes.Clone(head)), true
}

// rejection is that to a request that is refused by its first bytes, nil for one that is not.
// One whose headers are not all there is not refused.
func (l *Listener) rejection(head []byte) []byte {
	if l.Shedder == nil || !l.Shedder.isActive() || !bytes.Contains(head, []byte("\r\n\r\n")) {
		return nil
	}
	return l.Shedder.rejection(head)
}

// wrapConn counts a connection, some bytes of which may have been read already.
func (l *Listener) wrapConn(c net.Conn, buffered []byte) *callerConn {
	if idle := l.addConn(); idle != nil {
		_ = idle.Close() // it is closed either way
	}
	return &callerConn{Conn: c, listener: l, buffered: buffered, atRequestStart: len(buffered) == 0}
}

// Backlog looks whether connections wait to be accepted, and returns for how long they have
// at each look.
func (l *Listener) Backlog() time.Duration {
	now := clock.Now()
	l.acceptQueue.observe(now, hasPendingConn(l.Listener))
	return l.acceptQueue.nonEmptyFor(now)
}

// maxEvictTries is how many of the longest idle connections are looked at for one that no
// request waits on: on a busy host a request may have come that nobody has read yet.
const maxEvictTries = 8

// addConn counts a new connection, and returns an idle one to be closed if there are many.
func (l *Listener) addConn() *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns++
	if !l.isCrowded() {
		return nil
	}
	return l.evict()
}

// evict chooses a connection to be closed that was idle for long, nil for none. A request
// that has come on it would be lost: one that is chosen passes nothing on any more, and one
// on which bytes wait is left alone.
func (l *Listener) evict() *callerConn {
	e := l.idleConns.Front()
	for range maxEvictTries {
		if e == nil {
			return nil
		}
		c := e.Value.(*callerConn)
		if !c.evicted && link.IsIdle(c.Conn) {
			c.evicted = true
			return c
		}
		e = e.Next()
	}
	return nil
}

// Close ends Accept also while it waits for room.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	if l.slotFreed != nil {
		l.slotFreed.Broadcast()
	}
	l.mu.Unlock()
	return l.Listener.Close()
}

// isFull says that no more connections are held.
func (l *Listener) isFull() bool { return l.MaxConns > 0 && l.openConns >= l.MaxConns }

// waitForSlot returns once there is room for one more connection: one has ended, or has become
// idle and can be closed.
func (l *Listener) waitForSlot() {
	for idle := l.nextToEvict(); idle != nil; idle = l.nextToEvict() {
		_ = idle.Close() // it is closed either way
	}
}

// nextToEvict waits for room, and returns an idle connection that has to be closed for it; nil
// once there is room.
func (l *Listener) nextToEvict() *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slotFreed == nil {
		l.slotFreed = sync.NewCond(&l.mu)
	}
	for l.isFull() && !l.closed {
		if idle := l.evict(); idle != nil {
			return idle
		}
		l.slotFreed.Wait()
	}
	return nil
}

// isCrowded says that idle connections make room for new ones.
func (l *Listener) isCrowded() bool { return l.MaxConns > 0 && 2*l.openConns > l.MaxConns }

// Open is how many connections are held, and whether they are so many that idle ones make
// room for new ones.
func (l *Listener) Open() (n int, crowded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns, l.isCrowded()
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once
	// idleElem in the listener's list while the connection is idle.
	idleElem *list.Element
	// evicted says that it is closed to make room for another.
	evicted bool
	// buffered are bytes that were read already, and fresh says that the next bytes begin a
	// request that may be refused unread.
	buffered       []byte
	atRequestStart bool
}

// reject answers a request that is not read.
func (c *callerConn) reject(answer []byte) {
	drain(c.Conn)
	_, _ = c.Conn.Write(answer) // the caller may have left
}

// SetReadDeadline replaces the deadline of an idle connection, and that of headers.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	relay := c.listener.Relay
	switch remaining := time.Until(t); {
	case remaining > idleDeadlineThreshold:
		t = time.Now().Add(relay.idleTimeout())
		c.markIdle()
	case remaining > headerDeadlineThreshold:
		t = time.Now().Add(relay.headerTimeout(remaining))
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the caller, whose connection is idle no more. What comes after it had to
// make room is not read: the caller sees it closed before its request was taken.
func (c *callerConn) Read(b []byte) (int, error) {
	if len(c.buffered) > 0 {
		n := copy(b, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.markBusy() {
		return 0, io.EOF
	}
	atStart := c.atRequestStart && n > 0
	c.atRequestStart = c.atRequestStart && n == 0
	if !atStart {
		return n, err
	}
	if answer := c.listener.rejection(b[:n]); answer != nil {
		c.reject(answer)
		return 0, io.EOF
	}
	return n, err
}

// Close closes the connection and makes room for another.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() {
		c.markBusy()
		l := c.listener
		l.mu.Lock()
		defer l.mu.Unlock()
		l.openConns--
		if l.slotFreed != nil {
			l.slotFreed.Signal()
		}
	})
	return c.Conn.Close()
}

// markIdle notes that the connection has no request.
func (c *callerConn) markIdle() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.atRequestStart = true
	if c.idleElem == nil {
		c.idleElem = l.idleConns.PushBack(c)
	}
	if l.isFull() && l.slotFreed != nil {
		l.slotFreed.Signal()
	}
}

// markBusy notes that it has one again; false says that it had to make room.
func (c *callerConn) markBusy() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.idleElem != nil {
		l.idleConns.Remove(c.idleElem)
		c.idleElem = nil
	}
	return !c.evicted
}
