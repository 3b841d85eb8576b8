package node

// FreeAddr and OwnHost provide external tests with addresses that no other process uses.
var (
	FreeAddr = freeAddr
	OwnHost  = ownHost
)
