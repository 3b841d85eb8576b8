package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// attempt is one request of a client with its answer.
type attempt struct {
	id     string
	sentAt time.Time
	unsafe bool
	// status is that of the answer; 0 if there was none.
	status int
	signed bool
	err    error
}

// client sends requests over a kept channel, one at a time.
type client struct {
	address string
	// key is the client's key; clientKey if it is empty.
	key    string
	record *record

	conn net.Conn
	br   *bufio.Reader
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and reads its answer. It opens a channel if there is none.
func (c *client) send(method, path string, body []byte, deadline time.Duration) (a attempt, h http.Header) {
	a = attempt{id: newID(), sentAt: time.Now(), unsafe: method == http.MethodPost}
	defer func() {
		c.record.add("client: %s %s %s %d bytes: status %d signed %v error %v", method, path, a.id, len(body), a.status, a.signed, a.err)
	}()
	if c.conn == nil {
		if c.conn, a.err = net.DialTimeout("tcp", c.address, time.Second); a.err != nil {
			c.conn = nil
			return a, nil
		}
		c.br = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n", method, path, hostName, a.id, deadline.Milliseconds(), cmp.Or(c.key, clientKey))
	if method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	c.record.add("client: sends %s to %s", a.id, c.address)
	if _, a.err = c.conn.Write(append([]byte(head+"\r\n"), body...)); a.err != nil {
		c.close()
		return a, nil
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		return a, nil
	}
	if _, a.err = io.Copy(io.Discard, resp.Body); a.err != nil {
		c.close()
		return a, resp.Header
	}
	a.status, a.signed = resp.StatusCode, resp.Header.Get("Server-Signature") != ""
	if resp.Close {
		c.close()
	}
	return a, resp.Header
}

// log collects the attempts of all clients.
type log struct {
	mu   sync.Mutex
	list []attempt
}

func (l *log) add(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

// retryAfter returns the time that an answer asks a client to wait, up to a third of the time left.
func retryAfter(h http.Header, left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 50 * time.Millisecond
	}
	return min(time.Duration(seconds*float64(time.Second)), left/3)
}
