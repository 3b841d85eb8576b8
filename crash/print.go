package crash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names a request's content: the same workspace, path and body give
// the same number at every process. It is never 0, which stands for "unknown".
// Lengths are hashed too, so that bytes can't be moved from one part to the
// next; the workspace is, so that one customer's crash never condemns the same
// words of another.
func Fingerprint(workspace, path string, body []byte) uint64 {
	d := xxhash.New()
	var n [16]byte
	binary.LittleEndian.PutUint64(n[:8], uint64(len(workspace)))
	binary.LittleEndian.PutUint64(n[8:], uint64(len(path)))
	d.Write(n[:])
	d.WriteString(workspace)
	d.WriteString(path)
	d.Write(body)
	return max(d.Sum64(), 1)
}
