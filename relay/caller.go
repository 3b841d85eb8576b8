package relay

import (
	"context"
	"net"

	"chestnutstep.example/chestnutstep/link"
)

// connKey is the context key of the caller's connection.
type connKey struct{}

// ConnContext stores the caller's connection in the context of its requests. Use it as
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// hasCallerLeft reports whether the caller has canceled the request.
func (q *request) hasCallerLeft() bool { return q.callerGone || q.r.Context().Err() != nil }

// isCallerConnClosed checks the caller's connection itself. The background reader of net/http
// detects a closed connection only once it is scheduled, which on a busy host is after the request
// was sent to a target.
func (q *request) isCallerConnClosed() bool {
	c, ok := q.r.Context().Value(connKey{}).(*callerConn)
	return ok && link.IsClosed(c.Conn)
}
