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

// startServer starts a peer that implements no call but keeps its connections open, and returns its
// address.
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

// TestIdleConnectionsAreClosedAndRemoved guards against memory growth until the process is
// killed: an entry sends requests to each of 2,700 targets a few times per hour, and its
// connections must not stay open.
func TestIdleConnectionsAreClosedAndRemoved(t *testing.T) {
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

// TestConnectionInUseIsKept guards against closing a connection that was returned by the pool long
// ago and still carries a long response.
func TestConnectionInUseIsKept(t *testing.T) {
	p := &Pool{Credentials: insecure.NewCredentials()}
	addr := startServer(t)
	connect(t, p, addr)
	p.sweep(time.Now().Add(time.Hour))
	assert.Equal(t, p.Len(), 1)
}

// TestConnectToUnresponsiveHostTimesOut guards against a wait beyond the deadline for a host that
// does not respond, which delays the attempt at the next target.
func TestConnectToUnresponsiveHostTimesOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	p := &Pool{Credentials: insecure.NewCredentials()}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, p.Connect(ctx, l.Addr().String()), context.DeadlineExceeded)
}

// BenchmarkIdle measures the memory of one idle open connection, at both ends.
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
