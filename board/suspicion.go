package board

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// suspicionTTL is how long a target whose host did not answer, here or at a peer, is
	// suspected, unless it answers.
	suspicionTTL = 2 * time.Second
	// alertWindow is how long after the last suspicion of any target requests that
	// verify hosts open a connection: hosts mostly fall silent together.
	alertWindow = 2 * time.Second
	// livenessTTL is how long an answer proves that a host is there.
	livenessTTL = 100 * time.Millisecond
	// linkLivenessTTL is how recent an answer of any target has to be to prove this host's own link.
	linkLivenessTTL = 100 * time.Millisecond
)

// suspicion is what is known of whether a target's host is there.
type suspicion struct {
	until clock.Stamp
	// answeredAt is when the target last answered this entry.
	answeredAt clock.Stamp
}

func (s *suspicion) isActive(now clock.Stamp) bool { return now < s.until }

// recordAnswer notes a sign of life.
func (s *suspicion) recordAnswer(now clock.Stamp) { s.answeredAt, s.until = now, 0 }

// raise makes the target suspected.
func (s *suspicion) raise(now clock.Stamp) { s.until = now.Add(suspicionTTL) }

// RecordUnresponsive notes that a target's host does not acknowledge a request, and reports whether that
// says something of the target: where nothing answers, this host's own link may be the cause.
func (b *Board) RecordUnresponsive(now clock.Stamp, t *roster.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isOverloaded() || now.Sub(b.answeredAt) > linkLivenessTTL {
		return false
	}
	_, s := b.instanceState(&t.Instance)
	s.health.markDown(now)
	b.countIndividually(s)
	b.raiseSuspicion(now, s, loadKey(t.ID))
	return true
}

func (b *Board) isOverloaded() bool { return b.Overloaded != nil && b.Overloaded() }

// raiseSuspicion makes a target suspected, here and at the peers.
func (b *Board) raiseSuspicion(now clock.Stamp, s *targetState, key uint32) {
	if !s.suspicion.isActive(now) {
		b.unresponsive = append(b.unresponsive, key)
	}
	s.suspicion.raise(now)
	b.alertUntil = now.Add(alertWindow)
}

// mergeSuspicions takes the targets that did not answer a peer. They still get requests:
// the peer may be the one that is cut off.
func (b *Board) mergeSuspicions(now clock.Stamp, keys []uint32) {
	for _, key := range keys {
		b.alertUntil = now.Add(alertWindow)
		if s := b.targets[key]; s != nil && now.Sub(s.suspicion.answeredAt) > livenessTTL {
			s.suspicion.raise(now)
		}
	}
}

// needsHandshake reports whether a request should open a connection, to verify that the host is
// there. An entry that is overloaded verifies nothing: its handshakes time out at sound hosts too,
// and each would have the next requests verify theirs.
func (b *Board) needsHandshake(now clock.Stamp, s *targetState, verify bool) bool {
	if b.isOverloaded() {
		return false
	}
	if s.suspicion.isActive(now) {
		return true
	}
	return verify && now < b.alertUntil && now.Sub(s.suspicion.answeredAt) > livenessTTL
}

// Suspicions returns the targets that were found to be silent since the last call.
func (b *Board) Suspicions() []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.unresponsive
	b.unresponsive = nil
	return list
}
