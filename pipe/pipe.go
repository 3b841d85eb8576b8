// Package pipe is a test aid: a TCP relay that misbehaves when it is told to.
// It does nothing by timers, so that a test sees the same each time.
package pipe

import (
	"io"
	"net"
	"sync"
)

// Way is a direction through a relay.
type Way int

// The ways.
const (
	// Up is from who dialled to who listens.
	Up Way = iota
	// Down is from who listens to who dialled.
	Down
	ways
)

// buffer is how much is read at once. It is small, so that Limit and Hold stop
// close to the byte that was meant.
const buffer = 512

// Relay passes connections on to a backend. Set Backend, then Start.
type Relay struct {
	// Backend is the address to pass connections on to.
	Backend string

	mu      sync.Mutex
	changed *sync.Cond
	l       net.Listener
	links   map[*link]bool
	lines   [ways]line
	refuse  bool
	closed  bool
	dialled int
}

// line is what is told about one way.
type line struct {
	// held keeps bytes back until they are released.
	held bool
	// cut swallows bytes: the sender sees nothing, as behind a dead router.
	cut bool
	// left is how many more bytes pass before all links break; -1 is no limit.
	left int64
	// passed counts the bytes that went through.
	passed int64
}

// link is one connection through the relay.
type link struct {
	ends [ways]net.Conn
}

func (k *link) close() {
	for _, c := range k.ends {
		c.Close()
	}
}

// Start listens on a free port of the loopback.
func (r *Relay) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.l = l
	r.changed = sync.NewCond(&r.mu)
	r.links = make(map[*link]bool)
	r.Heal()
	go r.run()
	return nil
}

// Addr is where to dial.
func (r *Relay) Addr() string { return r.l.Addr().String() }

// Aim sends new connections to another backend.
func (r *Relay) Aim(backend string) { r.tell(func() { r.Backend = backend }) }

// Stop breaks all connections and ends the relay.
func (r *Relay) Stop() {
	r.tell(func() { r.closed = true })
	r.l.Close()
	r.Break()
}

// Hold keeps bytes of one way back, in order, until Heal.
func (r *Relay) Hold(w Way) { r.tell(func() { r.lines[w].held = true }) }

// Cut swallows all further bytes of one way; nobody is told.
func (r *Relay) Cut(w Way) { r.tell(func() { r.lines[w].cut = true }) }

// Limit breaks the connection that carries the n-th byte from now on of one
// way, right behind it, and any other at its next byte of that way.
func (r *Relay) Limit(w Way, n int64) { r.tell(func() { r.lines[w].left = n }) }

// Refuse closes new connections at once.
func (r *Relay) Refuse() { r.tell(func() { r.refuse = true }) }

// Heal releases what is held and ends all misbehaviour. Bytes that a cut
// swallowed stay lost, so links that lost some are best broken as well.
func (r *Relay) Heal() {
	r.tell(func() {
		r.refuse = false
		for w := range r.lines {
			r.lines[w] = line{left: -1, passed: r.lines[w].passed}
		}
	})
}

// Break closes all connections: both sides see it.
func (r *Relay) Break() {
	r.tell(func() {
		for k := range r.links {
			k.close()
		}
	})
}

// Passed is how many bytes went one way so far.
func (r *Relay) Passed(w Way) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[w].passed
}

// Await returns once n bytes went one way since the start, or the relay was
// stopped.
func (r *Relay) Await(w Way, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.lines[w].passed < n && !r.closed {
		r.changed.Wait()
	}
}

// Dialled is how many connections were made so far.
func (r *Relay) Dialled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dialled
}

func (r *Relay) tell(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	r.changed.Broadcast()
}

func (r *Relay) run() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		r.accept(c)
	}
}

func (r *Relay) accept(c net.Conn) {
	r.mu.Lock()
	r.dialled++
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
	k := &link{ends: [ways]net.Conn{Up: c, Down: b}}
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
func (r *Relay) copy(k *link, w Way) {
	defer r.drop(k)
	from, to := k.ends[w], k.ends[1-w]
	room := make([]byte, buffer)
	for {
		n, err := from.Read(room)
		if n > 0 && !r.pass(w, to, room[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass writes what may pass, and says whether the link goes on.
func (r *Relay) pass(w Way, to io.Writer, p []byte) bool {
	p, more := r.admit(w, p)
	if len(p) == 0 {
		return more
	}
	_, err := to.Write(p)
	return more && err == nil
}

func (r *Relay) admit(w Way, p []byte) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.lines[w]
	for l.held && !l.cut && !r.closed {
		r.changed.Wait()
	}
	if l.cut {
		return nil, true
	}
	more := true
	if l.left >= 0 && int64(len(p)) >= l.left {
		p = p[:l.left]
		more = false
	}
	if l.left > 0 {
		l.left -= int64(len(p))
	}
	l.passed += int64(len(p))
	r.changed.Broadcast()
	return p, more
}

func (r *Relay) drop(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k.close()
	delete(r.links, k)
}
