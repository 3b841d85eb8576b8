// Package guard makes a cut answer visible to callers for whom an answer ends with its connection.
package guard

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// ConnContext stores a caller's connection in the context of its requests. Use it as
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Conn returns the connection of a request that ConnContext has stored, or nil.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// End makes a TCP reset of every end of the caller's connection, that of this process included, until
// the returned function is called. For a caller of HTTP/1.0 an answer without a length ends with its
// connection, so that only a reset shows that it was cut. Other callers are not affected.
func End(r *http.Request) (allowEnd func()) {
	tcp := tcpConn(Conn(r.Context()))
	if r.ProtoAtLeast(1, 1) || tcp == nil {
		return func() {}
	}
	_ = tcp.SetLinger(0) // fails only on a closed connection
	return func() { _ = tcp.SetLinger(-1) }
}

// tcpConn returns the TCP connection below c, or nil.
func tcpConn(c net.Conn) *net.TCPConn {
	for c != nil {
		if tcp, ok := c.(*net.TCPConn); ok {
			return tcp
		}
		below, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = below.NetConn()
	}
	return nil
}
