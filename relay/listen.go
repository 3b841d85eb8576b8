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
	// Most connections are held, and from half as many on the one that was idle for
	// longest makes place for a new one; 0 for no bound.
	Most int
	// Shed refuses requests unread while the processor is full; nil for never.
	Shed *Shedder

	queue acceptQueue
	// row counts the connections accepted since other work had the processor.
	row int
	// head is what was read of the connection at hand.
	head [headMost]byte

	mu   sync.Mutex
	room *sync.Cond
	open int
	// idle are connections without a request, the longest idle first.
	idle   list.List
	closed bool
}

// Accept returns the next connection, once there is room for it. While requests are refused
// unread, it goes on past the connections of those.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.yield()
		l.wait()
		if l.Shed != nil && l.Shed.active() {
			c, waits := l.sift()
			if c != nil {
				return c, nil
			}
			if waits {
				continue
			}
		}
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		return l.hold(c, nil), nil
	}
}

// acceptRow is how many connections are accepted in a row.
const acceptRow = 8

// yield lets other work run between rows of connections. While callers wait, accepting never
// blocks, and the runtime would leave it the processor: answers under way stand still, and
// callers who leave are not noticed.
func (l *Listener) yield() {
	if l.row++; l.row >= acceptRow {
		l.row = 0
		runtime.Gosched()
	}
}

// sift accepts a connection that waits, and refuses its request or returns it. It reports
// whether one waited. Nothing is built for a request that is refused.
func (l *Listener) sift() (c net.Conn, waits bool) {
	fd, ok := acceptNow(l.Listener)
	l.queue.observe(clock.Now(), ok)
	if !ok {
		return nil, false
	}
	head := l.head[:readNow(fd, l.head[:])]
	if answer := l.answer(head); answer != nil {
		rejectNow(fd, answer, len(head) == len(l.head))
		return nil, true
	}
	conn, err := connOf(fd)
	if err != nil {
		return nil, true
	}
	return l.hold(conn, bytes.Clone(head)), true
}

// answer is that to a request that is refused by its first bytes, nil for one that is not.
// One whose headers are not all there is not refused.
func (l *Listener) answer(head []byte) []byte {
	if l.Shed == nil || !l.Shed.active() || !bytes.Contains(head, []byte("\r\n\r\n")) {
		return nil
	}
	return l.Shed.refuse(head)
}

// hold counts a connection, some bytes of which may have been read already.
func (l *Listener) hold(c net.Conn, ahead []byte) *callerConn {
	if idle := l.add(); idle != nil {
		_ = idle.Close() // it is closed either way
	}
	return &callerConn{Conn: c, listener: l, ahead: ahead, fresh: len(ahead) == 0}
}

// Backlog looks whether connections wait to be accepted, and returns for how long they have
// at each look.
func (l *Listener) Backlog() time.Duration {
	now := clock.Now()
	l.queue.observe(now, connWaits(l.Listener))
	return l.queue.standing(now)
}

// evictTries is how many of the longest idle connections are looked at for one that no
// request waits on: on a busy host a request may have come that nobody has read yet.
const evictTries = 8

// add counts a new connection, and returns an idle one to be closed if there are many.
func (l *Listener) add() *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	if !l.crowded() {
		return nil
	}
	return l.evict()
}

// evict chooses a connection to be closed that was idle for long, nil for none. A request
// that has come on it would be lost: one that is chosen passes nothing on any more, and one
// on which bytes wait is left alone.
func (l *Listener) evict() *callerConn {
	e := l.idle.Front()
	for range evictTries {
		if e == nil {
			return nil
		}
		c := e.Value.(*callerConn)
		if !c.evicted && link.Quiet(c.Conn) {
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
	if l.room != nil {
		l.room.Broadcast()
	}
	l.mu.Unlock()
	return l.Listener.Close()
}

// full says that no more connections are held.
func (l *Listener) full() bool { return l.Most > 0 && l.open >= l.Most }

// wait returns once there is room for one more connection: one has ended, or has become
// idle and can be closed.
func (l *Listener) wait() {
	for idle := l.await(); idle != nil; idle = l.await() {
		_ = idle.Close() // it is closed either way
	}
}

// await waits for room, and returns an idle connection that has to be closed for it; nil
// once there is room.
func (l *Listener) await() *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.room == nil {
		l.room = sync.NewCond(&l.mu)
	}
	for l.full() && !l.closed {
		if idle := l.evict(); idle != nil {
			return idle
		}
		l.room.Wait()
	}
	return nil
}

// crowded says that idle connections make room for new ones.
func (l *Listener) crowded() bool { return l.Most > 0 && 2*l.open > l.Most }

// Open is how many connections are held, and whether they are so many that idle ones make
// room for new ones.
func (l *Listener) Open() (n int, crowded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.crowded()
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	listener *Listener
	once     sync.Once
	// place in the listener's list while the connection is idle.
	place *list.Element
	// evicted says that it is closed to make room for another.
	evicted bool
	// ahead are bytes that were read already, and fresh says that the next bytes begin a
	// request that may be refused unread.
	ahead []byte
	fresh bool
}

// reject answers a request that is not read.
func (c *callerConn) reject(answer []byte) {
	drain(c.Conn)
	_, _ = c.Conn.Write(answer) // the caller may have left
}

// SetReadDeadline replaces the deadline of an idle connection, and that of headers.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	relay := c.listener.Relay
	switch left := time.Until(t); {
	case left > idleMark:
		t = time.Now().Add(relay.idle())
		c.rest()
	case left > headerMark:
		t = time.Now().Add(relay.headerTime(left))
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the caller, whose connection is idle no more. What comes after it had to
// make room is not read: the caller sees it closed before its request was taken.
func (c *callerConn) Read(b []byte) (int, error) {
	if len(c.ahead) > 0 {
		n := copy(b, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.wake() {
		return 0, io.EOF
	}
	fresh := c.fresh && n > 0
	c.fresh = c.fresh && n == 0
	if !fresh {
		return n, err
	}
	if answer := c.listener.answer(b[:n]); answer != nil {
		c.reject(answer)
		return 0, io.EOF
	}
	return n, err
}

// Close closes the connection and makes room for another.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		c.wake()
		l := c.listener
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open--
		if l.room != nil {
			l.room.Signal()
		}
	})
	return c.Conn.Close()
}

// rest notes that the connection has no request.
func (c *callerConn) rest() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.fresh = true
	if c.place == nil {
		c.place = l.idle.PushBack(c)
	}
	if l.full() && l.room != nil {
		l.room.Signal()
	}
}

// wake notes that it has one again; false says that it had to make room.
func (c *callerConn) wake() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.place != nil {
		l.idle.Remove(c.place)
		c.place = nil
	}
	return !c.evicted
}
