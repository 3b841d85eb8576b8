package stand

import (
	"fmt"
	"net"
	"net/http"
	"strings"
)

// UnreadBytes is the size of a request whose body an UnreadServer leaves unread: more than the buffers of a connection.
const UnreadBytes = 900 << 10

// UnreadServer answers each request at once with a part of an answer that has neither a length nor chunks, reads nothing
// of the request's body, and ends the connection.
type UnreadServer struct {
	// Headers is sent in the head of each answer; "%s" stands for the Attempt-Id of the request.
	Headers string
	// Resets lets it reset the connection; otherwise it is closed with bytes that were not read.
	Resets bool

	listener net.Listener
}

// Start listens on a free port of this host.
func (s *UnreadServer) Start() (err error) {
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go s.run()
	return nil
}

// Address returns the address of the server.
func (s *UnreadServer) Address() string { return s.listener.Addr().String() }

// Close ends the server.
func (s *UnreadServer) Close() { _ = s.listener.Close() }

func (s *UnreadServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&unreadConn{s, c}).run()
	}
}

// unreadConn is a connection of an UnreadServer.
type unreadConn struct {
	server *UnreadServer
	net.Conn
}

func (c *unreadConn) run() {
	defer c.Close()
	head, isHealthCheck := c.readHead()
	for ; isHealthCheck; head, isHealthCheck = c.readHead() {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nid: 1\ndata: 1\n\n", strings.ReplaceAll(c.server.Headers, "%s", head.Get("Attempt-Id")))
	if c.server.Resets {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}
}

// maxHead is the size of a head in bytes that is read at once.
const maxHead = 512

// readHead reads the head of a request, and hardly more.
func (c *unreadConn) readHead() (h http.Header, isHealthCheck bool) {
	b := make([]byte, maxHead)
	n, err := c.Read(b)
	if err != nil {
		return nil, false
	}
	lines := strings.Split(string(b[:n]), "\r\n")
	h = make(http.Header)
	for _, line := range lines[1:] {
		if name, value, ok := strings.Cut(line, ": "); ok {
			h.Set(name, value)
		}
	}
	return h, strings.HasPrefix(lines[0], http.MethodGet)
}
