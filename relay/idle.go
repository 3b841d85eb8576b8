package relay

import "time"

// IdleTimeout must be set as IdleTimeout of the http.Server. It is a placeholder: Listener replaces
// it by the idle timeout of the current configuration, which can change while connections are open.
const IdleTimeout = 24 * time.Hour

// idleDeadlineThreshold distinguishes the deadline of an idle connection from that of reading
// headers.
const idleDeadlineThreshold = IdleTimeout / 2

// defaultIdleTimeout is the idle timeout while no configuration is available.
const defaultIdleTimeout = 15 * time.Second

// headerDeadlineThreshold distinguishes the deadline of reading headers from the immediate or past
// deadlines that net/http sets to abort a read in progress.
const headerDeadlineThreshold = time.Second

// headerTimeout returns the configured timeout for reading headers, or fallback if none is
// configured.
func (e *Relay) headerTimeout(fallback time.Duration) time.Duration {
	v := e.Roster.View()
	if v == nil || v.Routing.Limits.HeaderTimeout <= 0 {
		return fallback
	}
	return v.Routing.Limits.HeaderTimeout
}

func (e *Relay) idleTimeout() time.Duration {
	v := e.Roster.View()
	if v == nil || v.Routing.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return v.Routing.Limits.IdleTimeout
}
