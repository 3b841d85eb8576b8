package pipe

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// startEchoServer starts a server that returns all bytes that it receives, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String()
}

func start(t *testing.T) (*Relay, net.Conn) {
	t.Helper()
	r := &Relay{Backend: startEchoServer(t)}
	assert.NilError(t, r.Start())
	t.Cleanup(r.Stop)
	c, err := net.Dial("tcp", r.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return r, c
}

func send(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := c.Write([]byte(s))
	assert.NilError(t, err)
}

func expect(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

func TestHold(t *testing.T) {
	r, c := start(t)
	send(t, c, "one")
	expect(t, c, "one")
	r.Hold(Down)
	send(t, c, "two")
	r.AwaitBytes(Up, 6)
	assert.Equal(t, r.BytesPassed(Down), int64(3))
	r.Heal()
	expect(t, c, "two")
}

func TestBlackholeDropsOneDirection(t *testing.T) {
	r, c := start(t)
	send(t, c, "one")
	expect(t, c, "one")
	r.Blackhole(Down)
	send(t, c, "two")
	r.AwaitBytes(Up, 6)
	r.CloseConnections()
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, r.BytesPassed(Down), int64(3))
}

func TestBreakAfter(t *testing.T) {
	r, c := start(t)
	r.BreakAfter(Down, 4)
	send(t, c, "abcdef")
	expect(t, c, "abcd")
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

func TestRefuse(t *testing.T) {
	r, _ := start(t)
	r.Refuse()
	c, err := net.Dial("tcp", r.Addr())
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	r.Heal()
	c, err = net.Dial("tcp", r.Addr())
	assert.NilError(t, err)
	defer c.Close()
	send(t, c, "again")
	expect(t, c, "again")
}
