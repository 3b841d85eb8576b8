package link

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppedWatcherDoesNotResetConnection guards against a check that is running when the response
// arrives, and resets the connection during the next request.
func TestStoppedWatcherDoesNotResetConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer raw.Close()
	go func() { _, _ = raw.Write([]byte(strings.Repeat("x", 16<<20))) }()
	notified := make(chan struct{}, 1)
	watcher := &ackWatcher{conn: &Conn{Conn: raw}, onUnresponsive: func() bool { notified <- struct{}{}; return true }}
	watcher.start()
	time.Sleep(ackCheckInterval + ackCheckInterval/2)
	assert.Assert(t, !watcher.stop())
	watcher.check() // a check that the timer has already started
	select {
	case <-notified:
		t.Fatal("the watcher continued after stop")
	case <-time.After(2 * ackCheckInterval):
	}
}
