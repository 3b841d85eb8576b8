package config

import (
	"cmp"
	"fmt"
)

// Stamp orders publications: by version, then by the root's content hash.
//
// Two operators may publish different content under one version, and each
// reaches some processes first. Refusing whichever comes second would leave the
// fleet divided until someone noticed, each half certain of its own rules. With
// the hash as the second key the order is total and the same everywhere: all
// processes end on one of the two, none goes back and forth between them, and
// the clash is reported wherever it is seen.
type Stamp struct {
	Version uint64
	// Digest is the root's Hash.
	Digest string
}

// Compare is negative when s is replaced by other, 0 when they are the same.
func (s Stamp) Compare(other Stamp) int {
	if c := cmp.Compare(s.Version, other.Version); c != 0 {
		return c
	}
	return cmp.Compare(s.Digest, other.Digest)
}

// String gives the version and the start of the digest, for logs.
func (s Stamp) String() string {
	return fmt.Sprintf("%d-%.8s", s.Version, s.Digest)
}
