package stand

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// KillStep is how far an answer gets before its target ends.
type KillStep string

// The steps.
const (
	AtAccept KillStep = "accept" // the request was read
	AtHead   KillStep = "head"   // the head of the answer was sent
	AtFirst  KillStep = "first"  // so was the first event, or the first byte of a body
	AtMiddle KillStep = "middle" // three events, or half of a body
	AtLast   KillStep = "last"   // all but the end of the answer
)

// KillSteps are all steps.
var KillSteps = []KillStep{AtAccept, AtHead, AtFirst, AtMiddle, AtLast}

// KillRule is content that ends each target which runs it: for good, and with all connections.
type KillRule struct {
	// Text is in the body of such requests.
	Text string
	Step KillStep
	// Reset has connections reset rather than closed.
	Reset bool
	// Delay is how long the target takes to end, whether or not its caller has left meanwhile.
	Delay time.Duration
}

// matches reports whether a request is deadly.
func (d *KillRule) matches(run *Run) bool { return d != nil && strings.Contains(run.Body, d.Text) }

// Kill ends the target: nothing listens any more, and all connections end. Its port stays taken:
// given to another test's target, it would look alive.
func (t *Target) Kill(byReset bool) {
	t.mu.Lock()
	if t.dead {
		t.mu.Unlock()
		return
	}
	t.dead = true
	conns := t.conns
	t.conns = nil
	_ = t.server.Listener.Close()
	t.reservedPort = reservePort(t.server.Listener.Addr())
	t.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok && byReset {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// noPort stands for a port that is not taken.
const noPort = -1

// reservePort binds a socket to an address without listening there: connections are refused.
func reservePort(a net.Addr) int {
	addr, ok := a.(*net.TCPAddr)
	if !ok || addr.IP.To4() == nil {
		return noPort
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return noPort
	}
	// An error leaves the port free, as it was before.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	_ = unix.Bind(fd, &unix.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())})
	return fd
}

// releasePort gives the port of a dead target back. The caller holds the lock.
func (t *Target) releasePort() {
	if t.dead && t.reservedPort != noPort {
		_ = unix.Close(t.reservedPort)
		t.reservedPort = noPort
	}
}

// IsDead reports whether the target has ended.
func (t *Target) IsDead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dead
}

// track keeps the connections that a death ends.
func (t *Target) track(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case http.StateNew:
		t.connections++
		if t.conns == nil {
			t.conns = make(map[net.Conn]bool)
		}
		t.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

// killDuringAnswer answers up to the step, and ends the target.
func (t *Target) killDuringAnswer(w http.ResponseWriter, r *http.Request, run *Run) {
	defer t.Kill(t.KillRule.Reset)
	time.Sleep(t.KillRule.Delay)
	step := t.KillRule.Step
	if step == AtAccept {
		return
	}
	t.sign(w.Header(), run.ID)
	if strings.Contains(run.Path, "/stream/") {
		t.killStream(w, r, step)
		return
	}
	text := "answer to " + run.ID
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(http.StatusOK)
	part := map[KillStep]int{AtFirst: 1, AtMiddle: len(text) / 2, AtLast: len(text) - 1}
	_, _ = io.WriteString(w, text[:part[step]])
	_ = http.NewResponseController(w).Flush()
}

func (t *Target) killStream(w http.ResponseWriter, r *http.Request, step KillStep) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	part := map[KillStep]int{AtFirst: 1, AtMiddle: 3, AtLast: t.EventCount}
	for id := from + 1; id <= min(from+part[step], t.EventCount); id++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
	}
	_ = http.NewResponseController(w).Flush()
}
