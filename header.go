package chestnutstep

import (
	"slices"
	"strings"
)

// headerPrefix begins the names of our own headers.
const headerPrefix = "Chestnut-"

// hopHeaders belong to one connection, not to the message.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// IsHopHeader says whether a header, by its canonical name, belongs to one
// connection. Passed on, it would tell the next connection of a framing or an
// upgrade that it does not have, and the message would be read wrongly.
func IsHopHeader(name string) bool { return slices.Contains(hopHeaders, name) }

// IsChestnutHeader says whether a header, by its canonical name, is between callers,
// entries and agents alone. One that a caller sends must not reach the target,
// nor one of the target's the caller: either could pass for what we say.
func IsChestnutHeader(name string) bool { return strings.HasPrefix(name, headerPrefix) }
