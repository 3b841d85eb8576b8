package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep/config"
)

// logBuffer is a log whose content tests can read.
type logBuffer struct {
	mu      sync.Mutex
	written []byte
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written = append(l.written, p...)
	return len(p), nil
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.written)
}

// firstPort is below the range of ephemeral ports: the system could give one of those to another
// process between its selection by a test and its use.
const firstPort = 21000

// ports counts the ports assigned at a loopback address that is random per process.
var (
	ports   atomic.Int32
	ownHost = fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(63), rand.IntN(256), 1+rand.IntN(254))
)

// freeAddr returns an address at which no process listens.
func freeAddr(*testing.T) string {
	return fmt.Sprintf("%s:%d", ownHost, firstPort+ports.Add(1))
}

func agentSettings(t *testing.T, listen string) *config.Settings {
	raw := fmt.Sprintf(`{"name": "t1", "host": "h1", "domain": "a", "region": "r", "listen": %q, "admin": %q,
		"platform": "http://127.0.0.1:1", "target": {"name": "t1", "url": "http://127.0.0.1:2", "kind": "engine"}}`,
		listen, freeAddr(t))
	s, err := config.ParseSettings("t1.json", []byte(raw), config.RoleAgent)
	assert.NilError(t, err)
	return s
}

// TestSecondAgentStops guards against two agents of one target, started by mistake. Each would
// admit up to the target's cap and issue tickets that the other one does not recognize. The second
// agent must stop with an error.
func TestSecondAgentStops(t *testing.T) {
	listen := freeAddr(t)
	out := &logBuffer{}
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	a := &Agent{Settings: agentSettings(t, listen), Out: out}
	go func() { first <- a.Run(ctx) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return poll.Continue("not listening")
		}
		c.Close()
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	second := &Agent{Settings: agentSettings(t, listen), Out: out}
	assert.ErrorContains(t, second.Run(ctx), "the slot of t1 is taken")
	cancel()
	assert.NilError(t, <-first)
}

// TestStartWithoutPlatform guards against a process that stops because neither the platform nor a
// peer is available at its start. It must report that it is not ready and why, so that the balancer
// sends no callers.
func TestStartWithoutPlatform(t *testing.T) {
	out := &logBuffer{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	a := &Agent{Settings: agentSettings(t, freeAddr(t)), Out: out}
	assert.NilError(t, a.build())
	assert.ErrorContains(t, a.ready(), "no publication yet")
	b := &Agent{Settings: a.Settings, Out: out}
	go func() { done <- b.Run(ctx) }()
	cancel()
	assert.NilError(t, <-done)
	assert.Assert(t, IsErrNotReady(a.ready()))
}
