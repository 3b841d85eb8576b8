package relay

import (
	"context"
	"net"

	"chestnutstep.example/chestnutstep/link"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// ConnContext keeps a caller's connection for its requests; it is meant for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// hasCallerLeft reports that the caller wants no answer any more.
func (q *request) hasCallerLeft() bool { return q.callerGone || q.r.Context().Err() != nil }

// isCallerConnClosed looks at the caller's connection itself. The server's own reader notices a
// close once it gets the processor, which on a busy host is after the request was sent on.
func (q *request) isCallerConnClosed() bool {
	c, ok := q.r.Context().Value(connKey{}).(*callerConn)
	return ok && link.IsClosed(c.Conn)
}
