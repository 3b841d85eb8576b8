// Package pipe is a test aid: a TCP relay that misbehaves when it is told to.
// It does nothing by timers, so that a test sees the same each time.
package pipe

import (
	"io"
	"net"
	"sync"
)

// Direction is a direction through a relay.
type Direction int

// The ways.
const (
	// Up is from who dialled to who listens.
	Up Direction = iota
	// Down is from who listens to who dialled.
	Down
	directions
)

// bufferBytes is how much is read at once. It is small, so that Limit and Hold stop
// close to the byte that was meant.
const bufferBytes = 512

// Relay passes connections on to a backend. Set Backend, then Start.
type Relay struct {
	// Backend is the address to pass connections on to.
	Backend string

	mu       sync.Mutex
	changed  *sync.Cond
	listener net.Listener
	links    map[*link]bool
	states   [directions]directionState
	refuse   bool
	closed   bool
	accepted int
}

// directionState is what is told about one way.
type directionState struct {
	// held keeps bytes back until they are released.
	held bool
	// dropping swallows bytes: the sender sees nothing, as behind a dead router.
	dropping bool
	// remaining is how many more bytes pass before all links break; -1 is no limit.
	remaining int64
	// passed counts the bytes that went through.
	passed int64
}

// link is one connection through the relay.
type link struct {
	conns [directions]net.Conn
}

func (k *link) close() {
	for _, c := range k.conns {
		c.Close()
	}
}

// Start listens on a free port of the loopback.
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

// Addr is where to dial.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetBackend sends new connections to another backend.
func (r *Relay) SetBackend(backend string) { r.update(func() { r.Backend = backend }) }

// Stop breaks all connections and ends the relay.
func (r *Relay) Stop() {
	r.update(func() { r.closed = true })
	r.listener.Close()
	r.CloseConnections()
}

// Hold keeps bytes of one way back, in order, until Heal.
func (r *Relay) Hold(w Direction) { r.update(func() { r.states[w].held = true }) }

// Blackhole swallows all further bytes of one way; nobody is told.
func (r *Relay) Blackhole(w Direction) { r.update(func() { r.states[w].dropping = true }) }

// BreakAfter breaks the connection that carries the n-th byte from now on of one
// way, right behind it, and any other at its next byte of that way.
func (r *Relay) BreakAfter(w Direction, n int64) { r.update(func() { r.states[w].remaining = n }) }

// Refuse closes new connections at once.
func (r *Relay) Refuse() { r.update(func() { r.refuse = true }) }

// Heal releases what is held and ends all misbehaviour. Bytes that a cut
// swallowed stay lost, so links that lost some are best broken as well.
func (r *Relay) Heal() {
	r.update(func() {
		r.refuse = false
		for w := range r.states {
			r.states[w] = directionState{remaining: -1, passed: r.states[w].passed}
		}
	})
}

// CloseConnections closes all connections: both sides see it.
func (r *Relay) CloseConnections() {
	r.update(func() {
		for k := range r.links {
			k.close()
		}
	})
}

// BytesPassed is how many bytes went one way so far.
func (r *Relay) BytesPassed(w Direction) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[w].passed
}

// AwaitBytes returns once n bytes went one way since the start, or the relay was
// stopped.
func (r *Relay) AwaitBytes(w Direction, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.states[w].passed < n && !r.closed {
		r.changed.Wait()
	}
}

// ConnectionCount is how many connections were made so far.
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
	k := &link{conns: [directions]net.Conn{Up: c, Down: b}}
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

// copy moves the bytes of one way. The end of one way ends the link: nothing
// that is tested here uses half-closed connections.
func (r *Relay) copy(k *link, w Direction) {
	defer r.remove(k)
	from, to := k.conns[w], k.conns[1-w]
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.forward(w, to, buf[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes what may pass, and says whether the link goes on.
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
