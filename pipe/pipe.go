// Package pipe is a test tool: a TCP relay that delays or discards bytes and breaks
// connections on command. It uses no timers, so that tests are reproducible.
package pipe

import (
	"io"
	"net"
	"sync"
)

// Direction is the direction of bytes through a relay.
type Direction int

// The directions.
const (
	// Up is from the dialing side to the listening side.
	Up Direction = iota
	// Down is from the listening side to the dialing side.
	Down
	directions
)

// bufferBytes is the size of one read. It is small, so that BreakAfter and Hold take effect
// close to the intended byte.
const bufferBytes = 512

// Relay forwards connections to a backend. Backend must be set before Start.
type Relay struct {
	// Backend is the address to which connections are forwarded.
	Backend string
	// ResetOnBreak resets each connection that the backend has not closed itself. Without it, both
	// ends look alike to a client that reads until the connection is closed.
	ResetOnBreak bool

	mu       sync.Mutex
	changed  *sync.Cond
	listener net.Listener
	links    map[*link]bool
	states   [directions]directionState
	refuse   bool
	closed   bool
	accepted int
}

// directionState holds the faults and the byte count of one direction.
type directionState struct {
	// held delays bytes until they are released.
	held bool
	// dropping discards bytes: the sender is not notified, as behind a failed router.
	dropping bool
	// remaining is the number of bytes that pass before links break; -1 is no limit.
	remaining int64
	// passed counts the forwarded bytes.
	passed int64
}

// link is one connection through the relay.
type link struct {
	conns [directions]net.Conn
	// reset makes close reset the connections.
	reset bool
}

func (k *link) close() {
	for _, c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok && k.reset {
			_ = tcp.SetLinger(0) // fails only on a closed connection
		}
		c.Close()
	}
}

// Start listens on a free port of the loopback interface.
func (r *Relay) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener = l
	r.changed = sync.NewCond(&r.mu)
	r.links = make(map[*link]bool)
	r.Heal()
	go r.acceptLoop()
	return nil
}

// Addr returns the address to dial.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetBackend forwards new connections to another backend.
func (r *Relay) SetBackend(backend string) { r.update(func() { r.Backend = backend }) }

// Stop closes all connections and ends the relay.
func (r *Relay) Stop() {
	r.update(func() { r.closed = true })
	r.listener.Close()
	r.CloseConnections()
}

// Hold delays the bytes of one direction, in order, until Heal.
func (r *Relay) Hold(w Direction) { r.update(func() { r.states[w].held = true }) }

// Blackhole discards all further bytes of one direction without an error.
func (r *Relay) Blackhole(w Direction) { r.update(func() { r.states[w].dropping = true }) }

// BreakAfter closes the connection that carries the n-th byte from now on in one
// direction, after that byte, and any other connection at its next byte in that direction.
func (r *Relay) BreakAfter(w Direction, n int64) { r.update(func() { r.states[w].remaining = n }) }

// Refuse closes new connections immediately.
func (r *Relay) Refuse() { r.update(func() { r.refuse = true }) }

// Heal releases held bytes and ends all faults. Discarded bytes stay lost, so
// connections that lost some should be closed as well.
func (r *Relay) Heal() {
	r.update(func() {
		r.refuse = false
		for w := range r.states {
			r.states[w] = directionState{remaining: -1, passed: r.states[w].passed}
		}
	})
}

// CloseConnections closes all connections on both sides.
func (r *Relay) CloseConnections() {
	r.update(func() {
		for k := range r.links {
			k.close()
		}
	})
}

// BytesPassed returns the number of bytes forwarded so far in one direction.
func (r *Relay) BytesPassed(w Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[w].passed
}

// AwaitBytes returns once n bytes have passed in one direction since the start, or the relay is
// stopped.
func (r *Relay) AwaitBytes(w Direction, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.states[w].passed < n && !r.closed {
		r.changed.Wait()
	}
}

// ConnectionCount returns the number of connections accepted so far.
func (r *Relay) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

func (r *Relay) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.changed.Broadcast()
}

func (r *Relay) acceptLoop() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.handle(c)
	}
}

func (r *Relay) handle(c net.Conn) {
	r.mu.Lock()
	r.accepted++
	refuse := r.refuse
	backend := r.Backend
	r.mu.Unlock()
	if refuse {
		c.Close()
		return
	}
	b, err := net.Dial("tcp", backend)
	if err != nil {
		c.Close()
		return
	}
	k := &link{conns: [directions]net.Conn{Up: c, Down: b}, reset: r.ResetOnBreak}
	r.mu.Lock()
	r.links[k] = true
	closed := r.closed
	r.mu.Unlock()
	if closed {
		k.close()
	}
	go r.copy(k, Up)
	go r.copy(k, Down)
}

// copy forwards the bytes of one direction. The end of one direction closes the link, as
// no test uses half-closed connections.
func (r *Relay) copy(k *link, w Direction) {
	defer r.remove(k)
	from, to := k.conns[w], k.conns[1-w]
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.forward(w, to, buf[:n]) {
			return
		}
		if err == io.EOF && w == Down {
			r.update(func() { k.reset = false })
		}
		if err != nil {
			return
		}
	}
}

// forward writes the bytes that may pass, and reports whether the link stays open.
func (r *Relay) forward(w Direction, to io.Writer, p []byte) bool {
	p, open := r.filter(w, p)
	if len(p) == 0 {
		return open
	}
	_, err := to.Write(p)
	return open && err == nil
}

func (r *Relay) filter(w Direction, p []byte) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.states[w]
	for l.held && !l.dropping && !r.closed {
		r.changed.Wait()
	}
	if l.dropping {
		return nil, true
	}
	open := true
	if l.remaining >= 0 && int64(len(p)) >= l.remaining {
		p = p[:l.remaining]
		open = false
	}
	if l.remaining > 0 {
		l.remaining -= int64(len(p))
	}
	l.passed += int64(len(p))
	r.changed.Broadcast()
	return p, open
}

func (r *Relay) remove(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k.close()
	delete(r.links, k)
}
