package node

import (
	"crypto/rand"
	"encoding/hex"
)

// newIncarnation draws the name of one life of a process.
func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
