package node

import (
	"crypto/rand"
	"encoding/hex"
)

// newIncarnation returns a random name that identifies one run of a process.
func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
