package link

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// resetter is a target at its limit: it accepts connections and resets them at once.
type resetter struct{ listener net.Listener }

func (x *resetter) run() {
	for {
		c, err := x.listener.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// TestDroppedConnectionIsNotUnreached guards against a target at its limit of connections that counts as one that can't be
// reached, because its reset arrives before this process has noticed that the connection was open.
func TestDroppedConnectionIsNotUnreached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go (&resetter{l}).run()
	var all sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for range 32 {
		all.Go(func() {
			for range 200 {
				c, err := (&Pool{}).open(t.Context(), l.Addr().String(), dialTimeout)
				if err == nil {
					c.reset()
					continue
				}
				mu.Lock()
				failed++
				mu.Unlock()
				if !isDropped(err) {
					t.Errorf("%v", err)
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d of 6400 failed to open", failed)
}
