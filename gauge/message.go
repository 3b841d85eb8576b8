package gauge

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// hopAge is added to an age at each hop, for the time on the network: more than the one-way time
	// between failure domains. A reading that comes back to its entry is therefore never newer.
	hopAge = 2 * time.Millisecond
	// maxReadingsAccepted limits the readings that are read of one datagram.
	maxReadingsAccepted = 64
)

// message is a datagram with readings.
type message struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation identifies the run of the sender, and Sent is its clock in milliseconds modulo 2^16.
	// Only differences of Sent have a meaning to the receiver.
	Incarnation uint32
	Sent        uint16
	Readings    []wireReading
}

// wireReading is a reading in a datagram.
type wireReading struct {
	_                struct{} `cbor:",toarray"`
	Target           uint32
	Running, Waiting uint16
	// Percent is the slowdown times 100, and AgeMs the age in milliseconds, rounded up.
	Percent, AgeMs uint16
}

func encodeReading(now clock.Stamp, key uint32, r *Reading) wireReading {
	return wireReading{
		Target: key, Running: clampCount(r.Running), Waiting: clampCount(r.Waiting),
		Percent: clampCount(int(math.Round(100 * r.Slowdown))),
		AgeMs:   clampCount(int((now.Sub(r.At) + time.Millisecond - 1) / time.Millisecond)),
	}
}

func clampCount(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// decode returns the reading, and false if it is out of range or too old to have a weight.
func (w *wireReading) decode(now clock.Stamp, delay time.Duration) (Reading, bool) {
	age := time.Duration(w.AgeMs)*time.Millisecond + hopAge + delay
	r := Reading{Running: int(w.Running), Waiting: int(w.Waiting), Slowdown: float64(w.Percent) / 100, At: now.Add(-age)}
	return r, r.Slowdown > 0 && r.IsPlausible(0) && age < Lifetime
}

// Receive merges the readings of a peer. It returns an error if the datagram is not valid. The
// content is not trusted: a reading out of range is dropped, and none is newer than its arrival.
func (s *Store) Receive(now clock.Stamp, b []byte) error {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return errors.Wrap(err, "decode readings")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := s.senders.delay(now, m.Incarnation, m.Sent)
	for i := range m.Readings[:min(len(m.Readings), maxReadingsAccepted)] {
		w := &m.Readings[i]
		r, ok := w.decode(now, delay)
		switch {
		case ok:
			if s.add(w.Target, r) {
				s.counts.Peer++
			}
		case time.Duration(w.AgeMs)*time.Millisecond+hopAge+delay >= Lifetime:
			s.counts.Old++
		default:
			s.counts.Invalid++
		}
	}
	return nil
}
