package crash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a hash of a request's content: the same workspace, path and body, in whatever
// segments, give the same number in every process. It is never 0, which means "unknown". The lengths are hashed too,
// so that bytes can't be moved between workspace, path and body without changing the hash. The
// workspace is hashed so that a crash caused by one customer never condemns the same text of
// another one.
func Fingerprint(workspace, path string, body ...[]byte) uint64 {
	d := xxhash.New()
	var n [16]byte
	binary.LittleEndian.PutUint64(n[:8], uint64(len(workspace)))
	binary.LittleEndian.PutUint64(n[8:], uint64(len(path)))
	d.Write(n[:])
	d.WriteString(workspace)
	d.WriteString(path)
	for _, segment := range body {
		d.Write(segment)
	}
	return max(d.Sum64()&^partBit, 1)
}

// partBit is set in the fingerprints of parts and cleared in those of contents.
const partBit = 1 << 63

// PartFingerprint returns a hash of a part that the prompts of a service's requests can share.
func PartFingerprint(service string, part uint64) uint64 {
	d := xxhash.New()
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], part)
	d.Write(n[:])
	d.WriteString(service)
	return d.Sum64() | partBit
}

// IsPart reports whether a fingerprint is that of a part.
func IsPart(fingerprint uint64) bool { return fingerprint&partBit != 0 }
