package share

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"chestnutstep.example/chestnutstep/clock"
)

// MessageKind is the first byte of a datagram that is not a report. A report is a CBOR array, whose
// first byte is at least minReportByte.
type MessageKind byte

// The kinds of messages.
const (
	// MessageOrigins carries records of the builds that began streams.
	MessageOrigins MessageKind = iota
	// MessageReadings carries the load that targets reported about themselves.
	MessageReadings
	// MessageClaims carries the claims of refused callers that were told when to return.
	MessageClaims
)

// minReportByte is the smallest first byte of a CBOR array.
const minReportByte = 0x80

// ErrMessageKind is the error for a message of a kind without a handler, for example from a newer
// entry.
type ErrMessageKind struct{ Kind MessageKind }

func (e ErrMessageKind) Error() string { return fmt.Sprintf("message kind %d has no handler", e.Kind) }

// SendMessage sends a datagram that the peer passes to its handler of the kind. Like a report, it can
// be lost.
func (p *Peers) SendMessage(to netip.AddrPort, kind MessageKind, b []byte) {
	n := p.send(append([]byte{byte(kind)}, b...), nil, to)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentBytes += int64(n)
}

// RandomPeer returns a random live peer that is not leaving, or false if there is none.
func (p *Peers) RandomPeer(now clock.Stamp) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var to netip.AddrPort
	n := 0
	for a, x := range p.peers {
		if !x.isLive(now) || x.leaving {
			continue
		}
		if n++; rand.IntN(n) == 0 {
			to = a
		}
	}
	return to, n > 0
}

// handleMessage passes the content of a datagram to the handler of its kind.
func (p *Peers) handleMessage(now clock.Stamp, kind MessageKind, b []byte) {
	p.mu.Lock()
	p.receivedBytes += int64(1 + len(b) + packetOverhead)
	p.mu.Unlock()
	handle := p.Handlers[kind]
	if handle == nil {
		p.OnError(ErrMessageKind{kind})
		return
	}
	if err := handle(now, b); err != nil {
		p.OnError(err)
	}
}
