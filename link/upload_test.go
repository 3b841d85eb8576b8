package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/memory"
)

const (
	uploadBytes  = 1 << 20
	uploadWindow = 64 << 10
	// uploadPause is how long the target does not read: longer than an unreachable host is waited for.
	uploadPause = 2500 * time.Millisecond
)

// lateReader is a target that begins to answer at once, and reads the rest of the request later.
type lateReader struct{ listener net.Listener }

func (x *lateReader) run() {
	c, err := x.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
	time.Sleep(uploadPause)
	n, _ := io.Copy(io.Discard, r.Body)
	if n == uploadBytes {
		_, _ = io.WriteString(c, "b")
	}
}

// TestBodyIsReadLate guards against an answer that is broken off because its target, which has begun it, leaves the rest of
// the request unread for a while: its host acknowledges what has come, and has no room for more.
func TestBodyIsReadLate(t *testing.T) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, uploadWindow)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go (&lateReader{l}).run()
	body := memory.Bytes(make([]byte, uploadBytes))
	a, err := (&link.Pool{}).Do(context.Background(), l.Addr().String(), &link.Call{Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, Body: body, HasBody: true})
	assert.NilError(t, err)
	raw, err := io.ReadAll(a)
	a.Close(err == nil)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), "ab")
}
