package link

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ProbeResult is the result of opening a connection to a target.
type ProbeResult uint8

// The results of a probe.
const (
	// Unknown means that no connection could be opened, for a reason other than a refusal.
	Unknown ProbeResult = iota
	// Alive means that the target accepts connections.
	Alive
	// Refused means that the host responds but no process listens at the address.
	Refused
)

// Probe opens a connection to an address and keeps it for the next request.
func (p *Pool) Probe(address string) ProbeResult {
	p.mu.Lock()
	p.probed++
	p.mu.Unlock()
	c, err := p.open(context.Background(), address, dialTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Refused
	}
	if err != nil {
		return Unknown
	}
	p.put(address, c, 0, 1)
	return Alive
}
