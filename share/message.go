package share

import (
	"net/netip"

	"chestnutstep.example/chestnutstep/clock"
)

// messagePrefix is the first byte of a datagram that is not a report. A report is a CBOR array,
// which never begins with it.
const messagePrefix = 0x00

// SendMessage sends a datagram that the peer passes to its OnMessage. Like a report, it can be lost.
func (p *Peers) SendMessage(to netip.AddrPort, b []byte) {
	n := p.send(append([]byte{messagePrefix}, b...), nil, to)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentBytes += int64(n)
}

// handleMessage passes the content of a datagram to OnMessage.
func (p *Peers) handleMessage(now clock.Stamp, b []byte) {
	p.mu.Lock()
	p.receivedBytes += int64(1 + len(b) + packetOverhead)
	p.mu.Unlock()
	if p.OnMessage == nil {
		return
	}
	if err := p.OnMessage(now, b); err != nil {
		p.OnError(err)
	}
}
