package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// CutServer answers the first requests of each connection whole, and the next one with a part of an answer
// behind which it ends the connection. Set the fields before Start.
type CutServer struct {
	// Whole is the number of requests of a connection that are answered whole.
	Whole int
	// Part is what it sends of the next answer.
	Part string
	// Resets makes the connection end with a reset.
	Resets bool

	listener net.Listener
}

// Start starts the server at a free port.
func (s *CutServer) Start() (err error) {
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err == nil {
		go s.loop()
	}
	return err
}

// Address returns the server's IP and port.
func (s *CutServer) Address() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *CutServer) Close() { _ = s.listener.Close() }

func (s *CutServer) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		conn := &cutConn{CutServer: s, Conn: c}
		go conn.run()
	}
}

// cutConn is a connection of a CutServer.
type cutConn struct {
	*CutServer
	net.Conn
}

func (c *cutConn) run() {
	defer c.Conn.Close()
	br := bufio.NewReader(c.Conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // the next read returns the error
		if n == c.Whole {
			break
		}
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
	}
	_, _ = io.WriteString(c.Conn, c.Part)
	if c.Resets {
		time.Sleep(time.Millisecond) // else the reset overtakes the bytes
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
	}
}

// FramedAnswers holds a whole answer of status 200 with the given body, by the way in which its end and its head
// are marked.
func FramedAnswers(headers, body string) map[string]string {
	length := fmt.Sprint("Content-Length: ", len(body))
	return map[string]string{
		"length":  "HTTP/1.1 200 OK\r\n" + headers + length + "\r\n\r\n" + body,
		"first":   "HTTP/1.1 200 OK\r\n" + length + "\r\n" + headers + "\r\n" + body,
		"chunks":  "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x", len(body)) + "\r\n" + body + "\r\n0\r\n\r\n",
		"old":     "HTTP/1.0 200 OK\r\n" + headers + length + "\r\n\r\n" + body,
		"interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + headers + length + "\r\n\r\n" + body,
	}
}

// InvalidHeads holds whole answers with the given headers and body whose heads are none of HTTP/1, by what is wrong with
// them.
func InvalidHeads(headers, body string) map[string]string {
	length := fmt.Sprint("Content-Length: ", len(body))
	list := map[string]string{
		"length with a blank": "HTTP/1.1 200 OK\r\n" + headers + "Content-Length : 5\r\n\r\n" + body,
		"chunks with a blank": "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding : chunked\r\n\r\n" + chunked(body, ""),
	}
	for _, status := range []string{"000", "099", "20", "2000", "+20", "600", "999"} {
		list["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + headers + length + "\r\n\r\n" + body
	}
	for _, version := range []string{"0.9", "2.0", "9.9"} {
		list["version "+version] = "HTTP/" + version + " 200 OK\r\n" + headers + length + "\r\n\r\n" + body
	}
	for _, field := range []string{"X Odd: a", "X-Odd : a", " X-Odd: a", "X-\x01Odd: a", "X-Odd: a\x01", "X-\rOdd: a", ": a", "no field"} {
		list[fmt.Sprintf("field %q", field)] = "HTTP/1.1 200 OK\r\n" + field + "\r\n" + headers + length + "\r\n\r\n" + body
	}
	return list
}

// InvalidParts is like InvalidHeads for answers that are wrong beside the head that net/http returns.
func InvalidParts(headers, body string) map[string]string {
	whole := "HTTP/1.1 200 OK\r\n" + headers + fmt.Sprint("Content-Length: ", len(body)) + "\r\n\r\n" + body
	return map[string]string{
		"chunks of HTTP/1.0":              "HTTP/1.0 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, ""),
		"trailer with a blank":            "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, "X Odd: a\r\n"),
		"interim head with a blank":       "HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\n" + whole,
		"interim head of another version": "HTTP/9.9 100 Continue\r\n\r\n" + whole,
		"interim status 101":              "HTTP/1.1 101 Switching Protocols\r\n\r\n" + whole,
	}
}

func chunked(body, trailer string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
}
