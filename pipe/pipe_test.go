package pipe

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// echo answers with what it gets.
func echo(t *testing.T) string {
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
	r := &Relay{Backend: echo(t)}
	assert.NilError(t, r.Start())
	t.Cleanup(r.Stop)
	c, err := net.Dial("tcp", r.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return r, c
}

func say(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := c.Write([]byte(s))
	assert.NilError(t, err)
}

func hear(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

func TestHold(t *testing.T) {
	r, c := start(t)
	say(t, c, "one")
	hear(t, c, "one")
	r.Hold(Down)
	say(t, c, "two")
	r.Await(Up, 6)
	assert.Equal(t, r.Passed(Down), int64(3))
	r.Heal()
	hear(t, c, "two")
}

func TestCutSwallowsOneWay(t *testing.T) {
	r, c := start(t)
	say(t, c, "one")
	hear(t, c, "one")
	r.Cut(Down)
	say(t, c, "two")
	r.Await(Up, 6)
	r.Break()
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, r.Passed(Down), int64(3))
}

func TestLimitBreaks(t *testing.T) {
	r, c := start(t)
	r.Limit(Down, 4)
	say(t, c, "abcdef")
	hear(t, c, "abcd")
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
	say(t, c, "again")
	hear(t, c, "again")
}
