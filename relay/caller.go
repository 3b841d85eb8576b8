package relay

import (
	"chestnutstep.example/chestnutstep/guard"
	"chestnutstep.example/chestnutstep/link"
)

// hasCallerLeft reports whether the caller has canceled the request.
func (q *request) hasCallerLeft() bool { return q.callerGone || q.r.Context().Err() != nil }

// isCallerConnClosed checks the caller's connection itself. The background reader of net/http
// detects a closed connection only once it is scheduled, which on a busy host is after the request
// was sent to a target.
func (q *request) isCallerConnClosed() bool {
	c, ok := guard.Conn(q.r.Context()).(*callerConn)
	return ok && link.IsClosed(c.Conn)
}
