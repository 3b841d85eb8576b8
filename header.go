package chestnutstep

import (
	"slices"
	"strings"
)

// MaxHeadBytes limits the status line and the headers of an HTTP answer, those of interim answers before
// it included. It applies to the answers of targets, of the platform and of peers.
const MaxHeadBytes = 64 << 10

// headerPrefix is the prefix of the fleet's own headers.
const headerPrefix = "Chestnut-"

// hopHeaders apply to a single connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// IsHopHeader reports whether a header, given by its canonical name, applies to a single
// connection. If it were forwarded, the next connection would be parsed with framing or
// an upgrade that it does not have.
func IsHopHeader(name string) bool { return slices.Contains(hopHeaders, name) }

// IsChestnutHeader reports whether a header, given by its canonical name, is reserved for
// callers, entries and agents. Such a header from a caller must not reach the target, nor
// one from a target the caller: either could be mistaken for a header of the fleet.
func IsChestnutHeader(name string) bool { return strings.HasPrefix(name, headerPrefix) }
