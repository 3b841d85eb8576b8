package dial

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep/wire"
)

// startServer is a peer that answers nothing but holds its connections.
func startServer(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := grpc.NewServer(grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize), grpc.SharedWriteBuffer(true))
	wire.RegisterPeerServer(srv, wire.UnimplementedPeerServer{})
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	return l.Addr().String()
}

func connect(t testing.TB, p *Pool, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, p.Connect(ctx, addr))
}

// An entry talks to each of 2,700 targets a few times an hour. Connections that
// stayed open would fill its memory until it is killed in mid-answer.
func TestIdleConnectionsAreClosedAndForgotten(t *testing.T) {
	p := &Pool{Credentials: insecure.NewCredentials(), IdleTimeout: 50 * time.Millisecond}
	addr := startServer(t)
	connect(t, p, addr)
	conn := p.conns[addr].conn
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := conn.GetState(); s != connectivity.Idle {
			return poll.Continue("connection is %s", s)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	p.sweep(p.conns[addr].lastUsed)
	assert.Equal(t, p.Len(), 1)
	p.sweep(time.Now().Add(time.Minute))
	assert.Equal(t, p.Len(), 0)
	connect(t, p, addr)
}

// A long answer is under way on a connection that was taken out of the pool a
// while ago. Closing it would cut the answer.
func TestConnectionInUseIsKept(t *testing.T) {
	p := &Pool{Credentials: insecure.NewCredentials()}
	addr := startServer(t)
	connect(t, p, addr)
	p.sweep(time.Now().Add(time.Hour))
	assert.Equal(t, p.Len(), 1)
}

// A host that is cut off does not refuse. Whoever waits for it longer than the
// limit keeps a caller from the next target.
func TestConnectToUnresponsiveHostTimesOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	p := &Pool{Credentials: insecure.NewCredentials()}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, p.Connect(ctx, l.Addr().String()), context.DeadlineExceeded)
}

// BenchmarkIdle counts the memory of one open connection that carries nothing,
// at both of its ends.
func BenchmarkIdle(b *testing.B) {
	const conns = 200
	addrs := make([]string, conns)
	for i := range addrs {
		addrs[i] = startServer(b)
	}
	for b.Loop() {
		before := memoryInUse()
		p := &Pool{Credentials: insecure.NewCredentials()}
		for _, addr := range addrs {
			connect(b, p, addr)
		}
		b.ReportMetric(float64(memoryInUse()-before)/conns, "B/conn")
		for _, e := range p.conns {
			e.conn.Close()
		}
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
