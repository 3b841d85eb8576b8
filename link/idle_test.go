package link

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestIdleConnectionsOverAllEntries guards against the idle connections of many entries using all
// connections that a target accepts, so that requests on further ones are reset. In a fleet of any
// size, half of the connections remain for requests.
func TestIdleConnectionsOverAllEntries(t *testing.T) {
	for _, connections := range []int{0, 96, 110, 200, 370} {
		for _, entries := range []int{0, 1, 5, 24, 350} {
			kept := MaxIdle(connections, entries) * entries
			assert.Assert(t, connections == 0 || kept <= connections/2, "%d kept of %d by %d entries", kept, connections, entries)
		}
	}
	assert.Equal(t, MaxIdle(110, 5), 11)
	assert.Equal(t, MaxIdle(200, 350), 0)
	assert.Equal(t, MaxIdle(0, 350), maxIdleConns)
}

// TestPoolClosesExcessIdleConnections guards against idle connections beyond the maximum.
func TestPoolClosesExcessIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	target := l.Addr().String()
	p := &Pool{}
	for range 2 {
		raw, err := Dial(t.Context(), "tcp", target)
		assert.NilError(t, err)
		p.put(target, &Conn{Conn: raw}, 0, 1)
	}
	assert.Equal(t, len(p.idle[target]), 1)
}

// TestClosed guards against requests that are sent although their callers have disconnected.
func TestClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	c, err := l.Accept()
	assert.NilError(t, err)
	defer c.Close()
	assert.Assert(t, !IsClosed(c))
	_, err = peer.Write([]byte("x"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return success(!IsIdle(c)) })
	assert.Assert(t, !IsClosed(c), "bytes are pending")
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, !IsClosed(c))
	assert.NilError(t, peer.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result { return success(IsClosed(c)) })
}

func success(ok bool) poll.Result {
	if ok {
		return poll.Success()
	}
	return poll.Continue("not yet")
}
