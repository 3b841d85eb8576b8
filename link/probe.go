package link

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ProbeResult is what a new connection says of a target.
type ProbeResult uint8

// The answers.
const (
	// Unknown says that no connection was opened, for whatever reason.
	Unknown ProbeResult = iota
	// Alive says that the target takes connections.
	Alive
	// Refused says that its host does, but that nothing listens there.
	Refused
)

// Probe opens a connection to an address, and keeps it for the next request there.
func (p *Pool) Probe(address string) ProbeResult {
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
