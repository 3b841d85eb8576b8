package gauge

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// hopAge is added to an age at each hop, for the time on the network: more than the usual one-way
	// time between failure domains, which is up to 3.4 ms. A datagram that takes longer without being
	// measured, such as the first one of a sender, makes a reading younger by the difference.
	hopAge = 4 * time.Millisecond
	// hopError is by how much a peer's reading must be newer than the known one to replace it. Rounding and
	// unmeasured delay change the age of the same reading by less at each hop, so that it is not taken
	// for a newer one.
	hopError = 4 * time.Millisecond
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
	// Excess is the slowdown above the usual one in percent, which takes one byte at the usual speed, and
	// AgeMs the age in milliseconds, rounded up.
	Excess int16
	AgeMs  uint16
}

func encodeReading(now clock.Stamp, key uint32, r *Reading) wireReading {
	return wireReading{
		Target: key, Running: clampCount(r.Running), Waiting: clampCount(r.Waiting),
		Excess: int16(min(max(math.Round(100*r.Slowdown)-100, -100), math.MaxInt16)),
		AgeMs:  clampCount(int((now.Sub(r.At) + time.Millisecond - 1) / time.Millisecond)),
	}
}

func clampCount(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// age returns the age at the arrival of a datagram with the given delay.
func (w *wireReading) age(delay time.Duration) time.Duration {
	return time.Duration(w.AgeMs)*time.Millisecond + hopAge + delay
}

// decode returns the reading, and false if it is out of range or too old to have a weight.
func (w *wireReading) decode(now clock.Stamp, delay time.Duration) (Reading, bool) {
	age := w.age(delay)
	r := Reading{Running: int(w.Running), Waiting: int(w.Waiting), Slowdown: float64(int(w.Excess)+100) / 100, At: now.Add(-age)}
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
			if s.add(w.Target, r, hopError) {
				s.counts.Peer++
			}
		case w.age(delay) >= Lifetime:
			s.counts.Old++
		default:
			s.counts.Invalid++
		}
	}
	return nil
}
