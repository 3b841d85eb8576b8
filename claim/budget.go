package claim

import "chestnutstep.example/chestnutstep/clock"

const (
	// maxSendRate limits the datagrams of an entry in bytes per second. With reports and records of
	// crashes they stay below the control budget of an entry.
	maxSendRate = 4000
	// sendBurst is the number of bytes that can be sent at once.
	sendBurst = 2000
)

// Budget limits the bytes that an entry sends about claims. The zero value has sendBurst bytes after a moment.
type Budget struct {
	bytes  float64
	usedAt clock.Stamp
}

// CanSend reports whether a datagram may be sent now.
func (b *Budget) CanSend(now clock.Stamp) bool {
	b.bytes = min(b.bytes+maxSendRate*now.Sub(b.usedAt).Seconds(), sendBurst)
	b.usedAt = now
	return b.bytes > 0
}

// Use records a datagram of n bytes.
func (b *Budget) Use(n int) { b.bytes -= float64(n) }
