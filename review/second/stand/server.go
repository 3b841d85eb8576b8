package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const healthPath = "/healthz"

// server stands in for a server of the users: it serves one request at a time on a channel, echoes the id, signs its
// answers, and knows its own id.
type server struct {
	lab *lab
	id  string
	// idle is how long a channel without a request stays open; whole seconds are told in Keep-Alive.
	idle time.Duration
	// answer runs a request whose head was read and answers it. It returns false if the channel must be closed.
	answer func(c *channel, r *http.Request) bool

	listener net.Listener
	slots    slots
	mu       sync.Mutex
	runs     map[string]int
}

// channel is a channel that a server has accepted.
type channel struct {
	*net.TCPConn
	server *server
	br     *bufio.Reader
	// late are bytes that are sent when the next request is there; they belong to no request.
	late string
}

func (l *lab) newServer(id string, idle time.Duration) (*server, error) {
	return l.newServerAt(anyPort, id, idle, 0)
}

// anyPort is an address with a free port.
const anyPort = "127.0.0.1:0"

// newServerAt is newServer for a server at an address, whose host takes a number of unread bytes of a channel; 0 for the
// usual one.
func (l *lab) newServerAt(address, id string, idle time.Duration, window int) (*server, error) {
	s := &server{lab: l, id: id, idle: idle, runs: make(map[string]int)}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if window == 0 {
			return nil
		}
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	var err error
	if s.listener, err = config.Listen(context.Background(), "tcp", address); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// run accepts channels until the case ends.
func (s *server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := &channel{TCPConn: conn.(*net.TCPConn), server: s, br: bufio.NewReader(conn)}
		go c.run()
	}
}

func (c *channel) run() {
	defer c.Close()
	for {
		_ = c.SetReadDeadline(time.Now().Add(c.server.idle))
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(c.br)
		if err != nil || !c.serve(r) {
			return
		}
	}
}

// serve serves one request and reports whether the channel stays open.
func (c *channel) serve(r *http.Request) bool {
	if r.URL.Path == healthPath {
		ctx, cancel := c.whileOpen()
		defer cancel()
		if !c.server.slots.take(ctx) {
			return false
		}
		defer c.server.slots.release()
		return c.write("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", c.server.id, c.server.keepAlive())
	}
	if strings.HasPrefix(r.URL.Path, "/api/") {
		return c.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	if r.Header.Get("Expect-Instance") != c.server.id {
		_, _ = io.Copy(io.Discard, r.Body)
		return c.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", c.server.id)
	}
	return c.server.answer(c, r)
}

func (s *server) keepAlive() string {
	if s.idle < time.Second {
		return ""
	}
	return fmt.Sprintf("Keep-Alive: timeout=%d\r\n", int(s.idle.Seconds()))
}

// head returns the head of a signed answer, without its framing.
func (s *server) head(r *http.Request) string {
	id := r.Header.Get("Attempt-Id")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s-%s\r\n%s", id, s.id, id, s.keepAlive())
}

func (c *channel) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}

// begin records that the server begins to work on a request.
func (s *server) begin(r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.lab.note("run %s at %s", id, s.id)
}

// end records that the server has sent its whole answer.
func (s *server) end(r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	s.lab.note("whole answer of %s sent by %s", id, s.id)
}

func (s *server) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// chunk returns a chunk of a chunked answer.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// whileOpen returns a context that ends when the caller has closed the channel.
func (c *channel) whileOpen() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	if c.server.slots != nil {
		go c.watch(ctx, cancel)
	}
	return ctx, cancel
}

// watch looks every few milliseconds whether the caller has closed the channel.
func (c *channel) watch(ctx context.Context, left context.CancelFunc) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		closed := false
		_ = raw.Control(func(fd uintptr) {
			var b [1]byte
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			closed = n == 0 && err == nil || err == syscall.ECONNRESET
		})
		if closed {
			left()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
