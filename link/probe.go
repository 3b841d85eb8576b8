package link

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Life is what a new connection says of a target.
type Life uint8

// The answers.
const (
	// Unknown says that no connection was opened, for whatever reason.
	Unknown Life = iota
	// Lives says that the target takes connections.
	Lives
	// Ended says that its host does, but that nothing listens there.
	Ended
)

// Probe opens a connection to an address, and keeps it for the next request there.
func (p *Pool) Probe(address string) Life {
	c, err := p.open(context.Background(), address, dialLimit)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Ended
	}
	if err != nil {
		return Unknown
	}
	p.put(address, c, 0, 1)
	return Lives
}
