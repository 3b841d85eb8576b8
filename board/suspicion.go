package board

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// suspicionTTL is how long a target stays suspected after its host did not answer this
	// entry or a peer, unless it answers earlier.
	suspicionTTL = 2 * time.Second
	// alertWindow is how long after the last suspicion of any target requests with VerifyHost
	// open a connection: hosts usually fail in groups.
	alertWindow = 2 * time.Second
	// livenessTTL is how long an answer of a target proves that its host is reachable.
	livenessTTL = 100 * time.Millisecond
	// linkLivenessTTL is the maximum age of an answer of any target that proves that this
	// host's own link works.
	linkLivenessTTL = 100 * time.Millisecond
)

// suspicion tracks whether a target's host is reachable.
type suspicion struct {
	until clock.Stamp
	// answeredAt is when the target last answered this entry.
	answeredAt clock.Stamp
}

func (s *suspicion) isActive(now clock.Stamp) bool { return now < s.until }

// recordAnswer records an answer and clears the suspicion.
func (s *suspicion) recordAnswer(now clock.Stamp) { s.answeredAt, s.until = now, 0 }

// raise marks the target suspected.
func (s *suspicion) raise(now clock.Stamp) { s.until = now.Add(suspicionTTL) }

// RecordUnresponsive records that a target's host does not acknowledge a request. It returns
// false and records nothing if this entry is overloaded or no target has answered recently: the
// cause can then be this host's own link.
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

// IsOverloaded reports whether work is waiting for this entry's own processor.
func (b *Board) IsOverloaded() bool { return b.isOverloaded() }

// raiseSuspicion marks a target suspected, here and in the next report to peers.
func (b *Board) raiseSuspicion(now clock.Stamp, s *targetState, key uint32) {
	if !s.suspicion.isActive(now) {
		b.unresponsive = append(b.unresponsive, key)
	}
	s.suspicion.raise(now)
	b.alertUntil = now.Add(alertWindow)
}

// mergeSuspicions marks targets suspected that did not answer a peer. They still get requests,
// because the peer can be the one that is isolated.
func (b *Board) mergeSuspicions(now clock.Stamp, keys []uint32) {
	for _, key := range keys {
		b.alertUntil = now.Add(alertWindow)
		if s := b.targets[key]; s != nil && now.Sub(s.suspicion.answeredAt) > livenessTTL {
			s.suspicion.raise(now)
		}
	}
}

// needsHandshake reports whether a request should open a connection to verify that the host is
// reachable. An overloaded entry does not verify hosts: its handshakes time out at healthy
// hosts too, and each timeout would make the next requests verify theirs.
func (b *Board) needsHandshake(now clock.Stamp, s *targetState, verify bool) bool {
	if b.isOverloaded() {
		return false
	}
	if s.suspicion.isActive(now) {
		return true
	}
	return verify && now < b.alertUntil && now.Sub(s.suspicion.answeredAt) > livenessTTL
}

// Suspicions returns the keys of targets found unresponsive since the last call.
func (b *Board) Suspicions() []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.unresponsive
	b.unresponsive = nil
	return list
}
