package config

import (
	"cmp"
	"fmt"
)

// Stamp orders publications: by version, then by the root's content hash.
// Two operators can publish different content under one version, and each
// reaches some processes first. If the second one were always refused, the
// fleet would stay divided between the two until an operator intervened. With
// the hash as the second key, the order is total and the same everywhere: all
// processes end with the same publication, none alternates between the two, and
// every process that receives both reports the conflict.
type Stamp struct {
	Version uint64
	// Digest is the root's Hash.
	Digest string
}

// Compare is negative if other replaces s, and 0 if they are equal.
func (s Stamp) Compare(other Stamp) int {
	if c := cmp.Compare(s.Version, other.Version); c != 0 {
		return c
	}
	return cmp.Compare(s.Digest, other.Digest)
}

// String returns the version and the start of the digest, for logs.
func (s Stamp) String() string {
	return fmt.Sprintf("%d-%.8s", s.Version, s.Digest)
}
