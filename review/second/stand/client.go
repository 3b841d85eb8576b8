package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// caller is a client with one channel to an entry, which it keeps.
type caller struct {
	lab  *lab
	name string
	to   *entry

	conn net.Conn
	br   *bufio.Reader
	sent int
}

// request is what a client sends.
type request struct {
	method, path string
	timeout      time.Duration
	body         []byte
}

// reply is what a client got for a request.
type reply struct {
	id     string
	status int
	body   string
	// signature is that of the server.
	signature string
	// complete reports whether the answer has ended as its framing says.
	complete bool
	// kept reports whether the channel had carried a request before.
	kept bool
	err  error
}

func (c *caller) dial() error {
	conn, err := net.DialTimeout("tcp", c.to.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.br = conn, bufio.NewReader(conn)
	return nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request on the kept channel, or on a new one, and reads its answer. It does not retry.
func (c *caller) do(r request) (a reply) {
	c.sent++
	a.id = fmt.Sprintf("%s-%d", c.name, c.sent)
	a.kept = c.conn != nil && c.sent > 1
	if c.conn == nil {
		if a.err = c.dial(); a.err != nil {
			return a
		}
	}
	a.err = c.exchange(r, &a)
	c.lab.note("answer %s status %d complete %t bytes %d kept channel %t error %v", a.id, a.status, a.complete, len(a.body), a.kept, a.err)
	if !a.complete {
		c.close()
	}
	return a
}

func (c *caller) exchange(r request, a *reply) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n",
		r.method, r.path, host, a.id, r.timeout.Milliseconds(), key)
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	c.lab.note("send %s %s %s to %s", a.id, r.method, r.path, c.to.ip)
	_ = c.conn.SetDeadline(time.Now().Add(r.timeout + time.Second))
	if _, err := c.conn.Write(append([]byte(head+"\r\n"), r.body...)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	a.status, a.signature = resp.StatusCode, resp.Header.Get("Server-Signature")
	body, err := io.ReadAll(resp.Body)
	a.body = string(body)
	if err != nil {
		return err
	}
	a.complete = true
	if resp.Close {
		c.close()
	}
	return nil
}
