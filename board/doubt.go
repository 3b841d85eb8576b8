package board

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// doubtFor is how long a target whose host did not answer, here or at a peer, is in doubt,
	// unless it answers.
	doubtFor = 2 * time.Second
	// alertFor is how long after the last doubt of any target requests that need to be sure
	// are sent to proven hosts alone: hosts mostly fall silent together.
	alertFor = 2 * time.Second
	// provenFor is how long an answer proves that a host is there.
	provenFor = 100 * time.Millisecond
	// linkProof is how recent an answer of any target has to be to prove this host's own link.
	linkProof = 100 * time.Millisecond
)

// doubt is what is known of whether a target's host is there.
type doubt struct {
	until clock.Stamp
	// heard is when the target last answered this entry.
	heard clock.Stamp
}

func (d *doubt) in(now clock.Stamp) bool { return now < d.until }

// answered notes a sign of life.
func (d *doubt) answered(now clock.Stamp) { d.heard, d.until = now, 0 }

// raise puts the target in doubt.
func (d *doubt) raise(now clock.Stamp) { d.until = now.Add(doubtFor) }

// Silent notes that a target's host does not acknowledge a request, and reports whether that
// says something of the target: where nothing answers, this host's own link may be the cause.
func (b *Board) Silent(now clock.Stamp, t *roster.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.heard) > linkProof {
		return false
	}
	_, s := b.instance(&t.Instance)
	s.health.rest(now)
	b.setApart(s)
	b.raiseDoubt(now, s, loadKey(t.ID))
	return true
}

// raiseDoubt puts a target in doubt, here and at the peers.
func (b *Board) raiseDoubt(now clock.Stamp, s *state, key uint32) {
	if !s.doubt.in(now) {
		b.silent = append(b.silent, key)
	}
	s.doubt.raise(now)
	b.alert = now.Add(alertFor)
}

// mergeDoubts takes the targets that did not answer a peer. They are not left alone for its
// word: the peer may be the one that is cut off.
func (b *Board) mergeDoubts(now clock.Stamp, keys []uint32) {
	for _, key := range keys {
		b.alert = now.Add(alertFor)
		if s := b.targets[key]; s != nil && now.Sub(s.doubt.heard) > provenFor {
			s.doubt.raise(now)
		}
	}
}

// needsProof reports whether a request should open a connection to prove that the host is there.
func (b *Board) needsProof(now clock.Stamp, s *state, sure bool) bool {
	if s.doubt.in(now) {
		return true
	}
	return sure && now < b.alert && now.Sub(s.doubt.heard) > provenFor
}

// Doubts returns the targets that were found to be silent since the last call.
func (b *Board) Doubts() []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.silent
	b.silent = nil
	return list
}
