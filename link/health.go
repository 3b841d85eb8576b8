package link

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

// errNotKept is the error of a health check after which the target closes the connection.
var errNotKept = errors.New("the target closes the connection after its answer")

// healthCheck is a health check in progress. Its connection must not be used for anything else until done is closed.
type healthCheck struct {
	conn *Conn
	path string
	// done is closed once the answer was read, however late, or can't come any more; err is set before.
	done chan struct{}
	err  error
}

func (c *Conn) startHealthCheck(path string) *healthCheck {
	h := &healthCheck{conn: c, path: path, done: make(chan struct{})}
	go h.run()
	return h
}

func (h *healthCheck) run() {
	defer close(h.done)
	h.err = h.conn.checkHealth(h.path, 0)
}

// checkHealth sends a health check on a connection and reads its answer, without a limit on the time if timeout is 0.
func (c *Conn) checkHealth(path string, timeout time.Duration) error {
	if timeout > 0 {
		_ = c.SetDeadline(time.Now().Add(timeout)) // fails only on a closed connection
		defer func() { _ = c.SetDeadline(time.Time{}) }()
	}
	h := &Call{Method: http.MethodGet, URI: path, Host: c.RemoteAddr().String(), Header: http.Header{}}
	if _, err := c.Write(h.head()); err != nil {
		return err
	}
	resp, err := readHead(c, http.MethodGet)
	if err != nil {
		return err
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, chestnutstep.MaxHeadBytes)); err != nil {
		return err
	} else if n == chestnutstep.MaxHeadBytes {
		return ErrTooLarge{"body", chestnutstep.MaxHeadBytes}
	}
	c.usedAt = time.Now()
	if resp.Close {
		return errNotKept
	}
	c.unnamed = c.unnamed || resp.StatusCode != http.StatusOK
	if d := keepAliveTimeout(resp.Header); d > 0 {
		c.idleUntil = c.usedAt.Add(d)
	} else {
		c.idleUntil = c.usedAt.Add(defaultIdleTimeout)
	}
	c.proven = true
	return nil
}
