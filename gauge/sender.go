package gauge

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// MaxRate is the largest send rate of readings in bytes per second, packet headers included. While
	// readings are sent, reports take this much less.
	MaxRate = 2000.0
	// maxBatch is the number of readings in a datagram. At the same rate larger datagrams are sent less
	// often, which makes readings older; smaller ones spend more of the rate on packet headers.
	maxBatch = 4
	// datagramOverhead is the size of the IPv4 and UDP headers and of the kind, in bytes.
	datagramOverhead = 29
	// idlePause is the pause if there is nothing to send, and quietPause that after activeWindow without
	// a datagram: deployments whose targets don't report their speed should have little cost.
	idlePause  = 20 * time.Millisecond
	quietPause = 100 * time.Millisecond
	// activeWindow is how long the rate stays reserved after a datagram, so that the rate of reports
	// does not change with each pause.
	activeWindow = time.Second
)

// Sender sends the newest readings of a store to random peers. Set the fields before Loop.
type Sender struct {
	Store *Store
	// Incarnation is the number of this run of the process.
	Incarnation uint32
	// Peer returns a random live peer, or false if there is none.
	Peer func(now clock.Stamp) (netip.AddrPort, bool)
	// Send sends a datagram to a peer, which passes it to Store.Receive. It can be lost.
	Send func(to netip.AddrPort, b []byte)

	lastSent atomic.Int64
}

// Loop sends readings until ctx ends.
func (s *Sender) Loop(ctx context.Context) {
	for clock.Sleep(ctx, s.Step(clock.Now())) {
	}
}

// Step sends at most one datagram and returns the pause until the next step, which keeps MaxRate.
func (s *Sender) Step(now clock.Stamp) time.Duration {
	if !s.Store.IsActive(now) {
		return s.idlePause(now)
	}
	to, ok := s.Peer(now)
	if !ok {
		return s.idlePause(now)
	}
	batch := s.Store.takeBatch(now, maxBatch)
	if len(batch) == 0 {
		return s.idlePause(now)
	}
	b, err := cbor.Marshal(message{Incarnation: s.Incarnation, Sent: milliseconds(now), Readings: batch})
	if err != nil {
		return s.idlePause(now) // numbers always have an encoding
	}
	s.Send(to, b)
	s.lastSent.Store(int64(now))
	return time.Duration(float64(len(b)+datagramOverhead) / MaxRate * float64(time.Second))
}

// idlePause returns the pause if nothing can be sent.
func (s *Sender) idlePause(now clock.Stamp) time.Duration {
	if s.Rate(now) == 0 {
		return quietPause
	}
	return idlePause
}

// Rate returns the send rate to reserve for readings now, in bytes per second.
func (s *Sender) Rate(now clock.Stamp) float64 {
	if last := clock.Stamp(s.lastSent.Load()); last == 0 || now.Sub(last) > activeWindow {
		return 0
	}
	return MaxRate
}
