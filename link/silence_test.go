package link

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoppedWatchLeavesTheConnectionAlone guards against a look that was under way when the answer
// came, and resets the connection under the next request.
func TestStoppedWatchLeavesTheConnectionAlone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer raw.Close()
	go func() { _, _ = raw.Write([]byte(strings.Repeat("x", 16<<20))) }()
	found := make(chan struct{}, 1)
	s := &silence{conn: &Conn{Conn: raw}, found: func() bool { found <- struct{}{}; return true }}
	s.watch()
	time.Sleep(silentLook + silentLook/2)
	assert.Assert(t, !s.stop())
	s.look() // one that the timer had begun
	select {
	case <-found:
		t.Fatal("the watch went on after its end")
	case <-time.After(2 * silentLook):
	}
}
