package relay

import (
	"bytes"
	"container/list"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
)

// Listener accepts callers' connections, applies the configured idle timeout, and limits the number
// of open connections. Set the fields before use.
//
// It protects the entry from many callers that each keep a connection open after their request.
// Without a limit they would use up all file descriptors of the process ("too many open files"): it
// could neither accept callers nor connect to targets. Connections would also wait in the accept
// queue for seconds, and their requests would be sent on after the callers have left.
type Listener struct {
	net.Listener
	Relay *Relay
	// MaxConns limits the number of open connections; 0 means no limit. Above half of it, each new
	// connection closes the one that has been idle for the longest time.
	MaxConns int
	// Shedder rejects requests unread while the processor is overloaded; nil disables it.
	Shedder *Shedder

	acceptQueue acceptQueue
	// lingering counts the connections whose request was rejected and whose body still comes.
	lingering atomic.Int32
	// acceptedInRow counts the connections accepted since the last yield.
	acceptedInRow int
	// head holds the first bytes read from the connection being accepted.
	head [maxHeadBytes]byte

	mu        sync.Mutex
	slotFreed *sync.Cond
	openConns int
	// idleConns lists the connections without a request, the longest idle first.
	idleConns list.List
	closed    bool
}

// Accept returns the next connection when there is room for it. While the Shedder is active, it
// rejects requests unread, closes their connections and continues with the next one.
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

// acceptsPerYield is how many connections are accepted before Accept yields the processor.
const acceptsPerYield = 8

// yield calls the scheduler after acceptsPerYield connections. While connections are waiting,
// accepting never blocks, and other goroutines would not get the processor: answers in progress
// would stall, and callers who leave would not be detected.
func (l *Listener) yield() {
	if l.acceptedInRow++; l.acceptedInRow >= acceptsPerYield {
		l.acceptedInRow = 0
		runtime.Gosched()
	}
}

// acceptOrReject accepts a waiting connection, and either rejects its request or returns it. It
// reports whether a connection was waiting. To keep rejections cheap, it creates no net.Conn for a
// rejected connection.
func (l *Listener) acceptOrReject() (c net.Conn, pending bool) {
	fd, ok := acceptNonblock(l.Listener)
	l.acceptQueue.observe(clock.Now(), ok)
	if !ok {
		return nil, false
	}
	head := l.head[:readNonblock(fd, l.head[:])]
	if answer := l.rejection(head); answer != nil {
		l.rejectFD(fd, answer, head)
		return nil, true
	}
	conn, err := connFromFD(fd)
	if err != nil {
		return nil, true
	}
	return l.wrapConn(conn, bytes.Clone(head)), true
}

// rejection returns the answer that rejects a request, given its first bytes, or nil if the request
// is not rejected. A request is only rejected if head contains all its headers.
func (l *Listener) rejection(head []byte) []byte {
	if l.Shedder == nil || !l.Shedder.isActive() || !bytes.Contains(head, []byte("\r\n\r\n")) {
		return nil
	}
	return l.Shedder.rejection(head)
}

// wrapConn counts a new connection and wraps it. buffered holds the bytes that have already been
// read from it.
func (l *Listener) wrapConn(c net.Conn, buffered []byte) *callerConn {
	if idle := l.addConn(); idle != nil {
		_ = idle.Close() // it is closed in any case
	}
	return &callerConn{Conn: c, listener: l, buffered: buffered, atRequestStart: len(buffered) == 0}
}

// Backlog checks whether connections wait to be accepted, and returns for how long every check has
// found one.
func (l *Listener) Backlog() time.Duration {
	now := clock.Now()
	l.acceptQueue.observe(now, hasPendingConn(l.Listener))
	return l.acceptQueue.nonEmptyFor(now)
}

// maxEvictTries limits how many of the longest idle connections are checked for one without pending
// bytes. On a busy host, a request can have arrived on a connection without having been read.
const maxEvictTries = 8

// addConn counts a new connection. If there are many, it returns an idle one for the caller to
// close.
func (l *Listener) addConn() *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns++
	if !l.isCrowded() {
		return nil
	}
	return l.evict()
}

// evict selects the longest idle connection that can be closed, or returns nil. A request that has
// arrived on it would be lost; therefore a connection with unread bytes is skipped, and a selected
// one returns no more data to the server.
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

// Close closes the listener and unblocks an Accept that waits for room.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	if l.slotFreed != nil {
		l.slotFreed.Broadcast()
	}
	l.mu.Unlock()
	return l.Listener.Close()
}

// isFull reports whether the limit of open connections is reached.
func (l *Listener) isFull() bool { return l.MaxConns > 0 && l.openConns >= l.MaxConns }

// waitForSlot waits until there is room for one more connection: one was closed, or one became idle
// and is closed here.
func (l *Listener) waitForSlot() {
	for idle := l.nextToEvict(); idle != nil; idle = l.nextToEvict() {
		_ = idle.Close() // it is closed in any case
	}
}

// nextToEvict waits for room. It returns an idle connection that must be closed first, or nil once
// there is room.
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

// hasManyConns is isCrowded with the lock.
func (l *Listener) hasManyConns() bool {
	_, crowded := l.Open()
	return crowded
}

// isCrowded reports whether new connections replace idle ones.
func (l *Listener) isCrowded() bool { return l.MaxConns > 0 && 2*l.openConns > l.MaxConns }

// Open returns the number of open connections, and whether new connections replace idle ones.
func (l *Listener) Open() (n int, crowded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns, l.isCrowded()
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once
	// idleElem is the element of the listener's idleConns while the connection is idle, else nil.
	idleElem *list.Element
	// evicted reports whether the connection was selected to be closed for another one.
	evicted bool
	// buffered holds bytes that have already been read, and atRequestStart reports whether the next
	// bytes begin a request that can be rejected unread.
	buffered       []byte
	atRequestStart bool
	// isSending reports whether the caller still sends the body of a request that was rejected.
	isSending atomic.Bool
}

// NetConn returns the connection that the listener accepted.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// reject answers a request without reading all of it, given its first bytes.
func (c *callerConn) reject(answer, first []byte) {
	c.isSending.Store(isSendingBody(first))
	drain(c.Conn)
	_, _ = c.Conn.Write(answer) // the caller may have left
}

// SetReadDeadline replaces the deadlines that net/http sets for an idle connection and for reading
// headers by the configured ones.
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

// Read reads from the caller and marks the connection as busy. After an eviction it returns io.EOF
// instead of data, so that the caller sees the connection closed before its request was accepted.
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
		c.reject(answer, b[:n])
		return 0, io.EOF
	}
	return n, err
}

// Close closes the connection and frees its slot, both after the rest of a rejected request has come.
func (c *callerConn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		c.markBusy()
		if c.isSending.Load() {
			go c.listener.linger(c.Conn)
			return
		}
		err = c.Conn.Close()
		c.listener.freeSlot()
	})
	return err
}

// freeSlot makes room for another connection.
func (l *Listener) freeSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns--
	if l.slotFreed != nil {
		l.slotFreed.Signal()
	}
}

// markIdle records that the connection has no request.
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

// markBusy records that the connection has a request, and reports whether the request may be read;
// false means that the connection was evicted.
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
